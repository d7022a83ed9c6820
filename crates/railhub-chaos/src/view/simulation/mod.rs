//! Simulates a view run with the membership code of the controllers: each process is a
//! [`Membership`](railhub_membership::swim::Membership) with its own clock and address, and datagrams are encoded and
//! decoded as on the wire.
//!
//! The simulation owns the time, the event queue and all random draws.
//!
//! - `member`: a process and its protocol.
//! - `process_lifecycle`: how processes start and end.
//! - `network`: datagrams between processes.
//! - `faults`: the effects of faults.
mod faults;
mod member;
mod network;
mod process_lifecycle;

use crate::config::ChaosConfig;
use crate::event_queue::EventQueue;
use crate::fault::{ActiveFaults, Fault};
use crate::view::gossip_tap::GossipTap;
use crate::view::observation::{MemberProcess, Node, ViewObservation};
use crate::view::options::RunOptions;
use crate::view::timeline::end_of_run;
use member::SimulatedProcess;
use network::CapturedDatagram;
use railhub_membership::view::ViewEntry;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Seconds between two observations of each process.
const OBSERVATION_INTERVAL: f64 = 0.1;
/// Minimum time between two ticks of a process, in seconds.
const MIN_TICK_INTERVAL: f64 = 0.002;
/// Maximum start time of the first processes, in seconds.
const MAX_START_DELAY: f64 = 0.3;
/// Maximum number of events in a run; a run that reaches it ends early and does not count as settled.
const MAX_EVENTS: u64 = 2_000_000;
/// The port number before that of the first process.
const BASE_PORT: u16 = 10_000;
/// Makes the draws of a run independent of those of its faults, which use the same seed.
const RUN_SEED_MASK: u64 = 0x0071_e30b;

/// An event of the simulation.
enum ScheduledEvent {
    Tick(Node),
    Observe,
    Datagram { to: SocketAddr, bytes: Vec<u8> },
    FaultBegins(usize),
    FaultEnds(usize),
    FlapToggle { index: usize, until: f64 },
    Start { controller: u16, process: u64 },
}

struct ViewSimulation<'a> {
    config: &'a ChaosConfig,
    faults: &'a [Fault],
    options: RunOptions,
    now: f64,
    end: f64,
    queue: EventQueue<ScheduledEvent>,
    processes: BTreeMap<Node, SimulatedProcess>,
    /// The latest process of each running controller; faults on the controller affect this one.
    current_nodes: BTreeMap<u16, Node>,
    addresses: BTreeMap<u16, SocketAddr>,
    last_node: usize,
    last_port: u16,
    active_faults: ActiveFaults,
    captured: Vec<CapturedDatagram>,
    tap: GossipTap,
    rng: ChaCha8Rng,
    observations: Vec<ViewObservation>,
}

/// Simulates one run and returns the observations of it.
pub fn run(config: &ChaosConfig, seed: u64, faults: &[Fault], options: RunOptions) -> Vec<ViewObservation> {
    let mut simulation = ViewSimulation {
        config,
        faults,
        options,
        now: 0.0,
        end: end_of_run(config.length, faults),
        queue: EventQueue::default(),
        processes: BTreeMap::new(),
        current_nodes: BTreeMap::new(),
        addresses: BTreeMap::new(),
        last_node: 0,
        last_port: BASE_PORT,
        active_faults: ActiveFaults::default(),
        captured: Vec::new(),
        tap: GossipTap::default(),
        rng: ChaCha8Rng::seed_from_u64(seed ^ RUN_SEED_MASK),
        observations: Vec::new(),
    };
    simulation.schedule_starts();
    for (index, fault) in faults.iter().enumerate() {
        simulation.schedule(fault.at, ScheduledEvent::FaultBegins(index));
    }
    simulation.schedule(OBSERVATION_INTERVAL, ScheduledEvent::Observe);
    simulation.run_until_end();
    let totals = simulation.tap.totals(simulation.now, config.base_loss);
    simulation.observations.extend(totals);
    simulation.observations
}

impl ViewSimulation<'_> {
    fn schedule(&mut self, at: f64, event: ScheduledEvent) {
        self.queue.schedule(at.max(self.now), event);
    }

    fn schedule_starts(&mut self) {
        for controller in 0..self.config.controllers {
            let address = self.new_address();
            self.addresses.insert(controller, address);
        }
        for controller in 0..self.config.controllers {
            let at = MAX_START_DELAY * self.rng.random::<f64>();
            if self.config.late_joiners.contains(&controller) {
                continue;
            }
            let process = self.next_process_number();
            self.schedule(at, ScheduledEvent::Start { controller, process });
        }
    }

    fn run_until_end(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            if at > self.end || self.queue.scheduled_count() > MAX_EVENTS {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Tick(node) => self.tick(node),
            ScheduledEvent::Observe => self.observe_all(),
            ScheduledEvent::Datagram { to, bytes } => self.on_datagram(to, bytes),
            ScheduledEvent::FaultBegins(index) => self.begin_fault(index),
            ScheduledEvent::FaultEnds(index) => self.end_fault(index),
            ScheduledEvent::FlapToggle { index, until } => self.flap(index, until),
            ScheduledEvent::Start { controller, process } => self.start_if_down(controller, process),
        }
    }

    fn tick(&mut self, node: Node) {
        let Some(process) = self.processes.get_mut(&node) else { return };
        if let Some(resumes_at) = process.resumes_at(self.now) {
            return self.schedule(resumes_at, ScheduledEvent::Tick(node));
        }
        let local = process.local_time(self.now);
        let messages = process.protocol.tick(local);
        let until_next_tick = process.protocol.next_tick_at() - local;
        self.schedule(self.now + until_next_tick.max(MIN_TICK_INTERVAL), ScheduledEvent::Tick(node));
        self.send_messages(node, messages);
    }

    /// Observes the view of each process that is neither paused nor stopped by starvation.
    fn observe_all(&mut self) {
        for (node, process) in &self.processes {
            if process.resumes_at(self.now).is_none() {
                self.observations.push(observe(self.now, *node, process));
            }
        }
        self.schedule(self.now + OBSERVATION_INTERVAL, ScheduledEvent::Observe);
    }
}

fn observe(now: f64, node: Node, process: &SimulatedProcess) -> ViewObservation {
    let view = process.protocol.view(process.local_time(now));
    ViewObservation::View {
        at: now,
        node,
        controller: process.controller,
        process: process.protocol.process(),
        superseded: process.protocol.is_superseded(),
        alive: members(&view, true),
        gone: members(&view, false),
    }
}

/// The members of a view that are alive, or the others if `alive` is false.
fn members(view: &[ViewEntry], alive: bool) -> Vec<MemberProcess> {
    let chosen = view.iter().filter(|entry| entry.member.status.is_live() == alive);
    chosen.map(|entry| (entry.member.id.0, entry.member.incarnation.process)).collect()
}
