//! Simulates a lease run: controllers with lease managers and clocks of their own, a store, and proxies that fence, all
//! connected by messages with random delays.
//!
//! The simulation owns the time, the event queue and all random draws. An event for a paused process is deferred until the
//! process resumes; an event for a process that has ended is dropped.
//!
//! - `controller`: a controller's process, its clock and its unacknowledged commands.
//! - `commands`: commands from controllers to proxies, and their acknowledgements.
//! - `exchange`: messages between controllers, and lease requests to the store.
//! - `store`: the lease store with copies of its earlier states.
//! - `proxy`: fencing and deduplication of commands.
//! - `faults`: the effects of faults.
mod commands;
mod controller;
mod exchange;
mod faults;
mod proxy;
mod store;

use crate::config::ChaosConfig;
use crate::event_queue::EventQueue;
use crate::fault::{ActiveFaults, Fault, FaultKind};
use crate::lease::observation::{LeaseObservation, Sabotage};
use controller::{Command, SimulatedClock, SimulatedController};
use proxy::SimulatedProxy;
use railhub_membership::lease_manager::{LeaseManager, LeaseManagerOptions};
use railhub_membership::lease_messages::{LeaseRequest, LeaseResponse};
use railhub_membership::messages::Message;
use railhub_membership::swim::MembershipConfig;
use railhub_membership::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use store::SimulatedStore;

/// Minimum delay of a message in seconds.
const MIN_MESSAGE_DELAY: f64 = 0.0005;
/// Maximum delay of a message in seconds.
const MAX_MESSAGE_DELAY: f64 = 0.004;
/// Maximum time in seconds by which a controller's clock is ahead when the controller starts.
const MAX_CLOCK_OFFSET: f64 = 1000.0;
/// Makes the draws of a run independent of those of its faults, which use the same seed.
const RUN_SEED_MASK: u64 = 0x000c_4a05;

/// An event of the simulation.
enum ScheduledEvent {
    Tick { controller: u16, process: u64 },
    IssueCommands { controller: u16, process: u64 },
    Message { to: u16, message: Message },
    LeaseRequest { controller: u16, request: LeaseRequest },
    LeaseResponse { controller: u16, process: u64, response: LeaseResponse },
    CommandArrives { proxy: u16, command: Command, controller: u16 },
    Acknowledgement { controller: u16, process: u64, proxy: u16, number: u64 },
    FaultBegins(usize),
    FaultEnds(usize),
    FlapToggle { index: usize, until: f64 },
}

struct LeaseSimulation<'a> {
    config: &'a ChaosConfig,
    faults: &'a [Fault],
    sabotage: Option<Sabotage>,
    now: f64,
    queue: EventQueue<ScheduledEvent>,
    controllers: BTreeMap<u16, SimulatedController>,
    /// Rates of the clocks that drift, by controller.
    clock_speeds: BTreeMap<u16, f64>,
    last_process: u64,
    last_command: u64,
    active_faults: ActiveFaults,
    store: SimulatedStore,
    proxies: Vec<SimulatedProxy>,
    rng: ChaCha8Rng,
    observations: Vec<LeaseObservation>,
}

/// Simulates one run and returns the observations of it.
pub fn run(
    config: &ChaosConfig,
    seed: u64,
    faults: &[Fault],
    sabotage: Option<Sabotage>,
) -> Vec<LeaseObservation> {
    let reuses_epochs = sabotage == Some(Sabotage::EpochReused);
    let mut simulation = LeaseSimulation {
        config,
        faults,
        sabotage,
        now: 0.0,
        queue: EventQueue::default(),
        controllers: BTreeMap::new(),
        clock_speeds: BTreeMap::new(),
        last_process: 0,
        last_command: 0,
        active_faults: ActiveFaults::default(),
        store: SimulatedStore::new(config.lease_duration, reuses_epochs),
        proxies: vec![SimulatedProxy::default(); config.proxies as usize],
        rng: ChaCha8Rng::seed_from_u64(seed ^ RUN_SEED_MASK),
        observations: Vec::new(),
    };
    simulation.schedule_faults();
    for controller in 0..config.controllers {
        simulation.start(controller);
    }
    simulation.run_until_end();
    simulation.observations
}

impl LeaseSimulation<'_> {
    fn schedule(&mut self, at: f64, event: ScheduledEvent) {
        self.queue.schedule(at.max(self.now), event);
    }

    fn schedule_faults(&mut self) {
        for (index, fault) in self.faults.iter().enumerate() {
            // A clock drifts from the start of the run, because no observation would show the start of a drift.
            if let FaultKind::ClockDrift { controller, fraction } = fault.kind {
                self.clock_speeds.insert(controller, 1.0 + fraction);
            } else {
                self.schedule(fault.at, ScheduledEvent::FaultBegins(index));
            }
        }
    }

    fn draw_message_delay(&mut self) -> f64 {
        MIN_MESSAGE_DELAY + (MAX_MESSAGE_DELAY - MIN_MESSAGE_DELAY) * self.rng.random::<f64>()
    }

    fn run_until_end(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            if self.now > self.config.length {
                return;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: ScheduledEvent) {
        if let Some(resumes_at) = self.deferred_until(&event) {
            return self.schedule(resumes_at, event);
        }
        match event {
            ScheduledEvent::Tick { controller, process } => {
                if self.is_running(controller, process) {
                    self.tick(controller);
                }
            }
            ScheduledEvent::IssueCommands { controller, process } => {
                if self.is_running(controller, process) {
                    self.issue_commands(controller);
                }
            }
            ScheduledEvent::Message { to, message } => self.on_message(to, &message),
            ScheduledEvent::LeaseRequest { controller, request } => {
                self.on_lease_request(controller, &request);
            }
            ScheduledEvent::LeaseResponse { controller, process, response } => {
                if self.is_running(controller, process) {
                    self.on_lease_response(controller, &response);
                }
            }
            ScheduledEvent::CommandArrives { proxy, command, controller } => {
                self.on_command(proxy, &command, controller);
            }
            ScheduledEvent::Acknowledgement { controller, process, proxy, number } => {
                self.on_acknowledgement(controller, process, proxy, number);
            }
            ScheduledEvent::FaultBegins(index) => self.begin_fault(index),
            ScheduledEvent::FaultEnds(index) => self.end_fault(index),
            ScheduledEvent::FlapToggle { index, until } => self.flap(index, until),
        }
    }

    /// The time until which an event is deferred because its process is paused; `None` if it is not deferred.
    ///
    /// A command that a paused process has sent is deferred too: it is still in the socket of that process.
    fn deferred_until(&self, event: &ScheduledEvent) -> Option<f64> {
        let controller = match event {
            ScheduledEvent::Tick { controller, process }
            | ScheduledEvent::IssueCommands { controller, process }
            | ScheduledEvent::LeaseResponse { controller, process, .. } => {
                self.running(*controller, *process)?
            }
            ScheduledEvent::CommandArrives { controller, command, .. } => {
                self.running(*controller, command.process)?
            }
            ScheduledEvent::Message { to, .. } => self.controllers.get(to)?,
            _ => return None,
        };
        (controller.paused_until > self.now).then_some(controller.paused_until)
    }

    fn running(&self, id: u16, process: u64) -> Option<&SimulatedController> {
        self.controllers.get(&id).filter(|controller| controller.process == process)
    }

    fn is_running(&self, id: u16, process: u64) -> bool {
        self.running(id, process).is_some()
    }

    fn start(&mut self, id: u16) {
        self.last_process += 1;
        let process = self.last_process;
        let weights = (0..self.config.controllers).map(|id| (NodeId(id), 1.0)).collect();
        let options = LeaseManagerOptions {
            id: NodeId(id),
            process,
            weights: &weights,
            metadata: Default::default(),
            config: MembershipConfig::default(),
            slices: self.config.slices,
            lease_duration: self.config.lease_duration,
            settle_time: 0.0,
            seed: self.rng.random(),
        };
        let speed = self.clock_speeds.get(&id).copied().unwrap_or(1.0);
        let offset = self.rng.random::<f64>() * MAX_CLOCK_OFFSET;
        let clock = SimulatedClock { speed, offset, within_bound: true };
        let lease_manager = LeaseManager::new(&options, clock.local_time(self.now));
        self.controllers.insert(id, SimulatedController::new(lease_manager, process, clock));
        self.observations.push(LeaseObservation::Process { at: self.now, controller: id, process, up: true });
        self.schedule(self.now, ScheduledEvent::Tick { controller: id, process });
        self.schedule_first_commands(id, process);
    }

    fn kill(&mut self, id: u16) {
        let Some(controller) = self.controllers.remove(&id) else { return };
        let process = controller.process;
        self.observations.push(LeaseObservation::Process {
            at: self.now,
            controller: id,
            process,
            up: false,
        });
    }
}
