//! State of one simulation run, and its event loop.
use crate::baseline::Baseline;
use crate::controller::Controller;
use crate::endpoint_list::{EndpointState, SimulatedEndpointList};
use crate::events::{EventQueue, HostIndex, ProxyIndex, ScheduledEvent};
use crate::hosts::Host;
use crate::operations::OperationState;
use railhub::Phase;
use railhub_controller::core::StreamId;
use railhub_controller::ControllerSettings;
use railhub_emulator::host::{HostConfig, SeenOperations};
use railhub_emulator::load_totals::LoadTotals;
use railhub_emulator::routing::RoutingState;
use railhub_emulator::OperationClass;
use railhub_external_engine::process::EngineErrorSlot;
use railhub_ini::Document;
use railhub_record::{Event, EventKind, Limits};
use railhub_scenario::controller_settings::controller_settings;
use railhub_scenario::draw::{self, Arrival};
use railhub_scenario::fault::FaultKind;
use railhub_scenario::initial_state::{initial_tables, proxy_config, Tables};
use railhub_scenario::Scenario;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Time between the start of the fleet and the first operation; the same as with the emulator.
const STARTUP_SECONDS: f64 = 2.0;
/// Time of the controller's first start.
const CONTROLLER_START_AT_SECONDS: f64 = 0.02;
/// Time from which on proxies connect for the first time, each at a random moment within the spread.
const FIRST_CONNECT_AT_SECONDS: f64 = 0.05;
const FIRST_CONNECT_SPREAD_SECONDS: f64 = 0.02;
/// Time that the fleet keeps running after the last operation and fault have ended.
const TRAILING_SECONDS: f64 = 1.0;
/// Spreads a small proxy seed over all bits, so that different proxy seeds give unrelated random numbers.
const PROXY_SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Port of the first simulated host. Ports only name the hosts; nothing listens on them.
const FIRST_HOST_PORT: u16 = 10_000;

/// What decides the tables of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The controller core of this build.
    Controller,
    /// No controller: tables stay as they were at the start.
    Fixed,
    /// A simple policy to compare with.
    Baseline(Baseline),
    /// The controller core with another version of the decisions: a program that speaks the adapter's protocol.
    Version(PathBuf),
}

/// Delays of the machine, in seconds, that a scenario does not contain; [`crate::fit`] reads them from a loopback
/// recording.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingModel {
    /// One-way time of a message between two processes.
    pub message_latency: f64,
    /// How much later than planned work ends, since timers are not exact.
    pub completion_delay: f64,
}

impl Default for TimingModel {
    /// The result of `railhub model fit` for a loopback run of `first-bad-day.ini` on four cores.
    fn default() -> TimingModel {
        TimingModel { message_latency: 0.000_073, completion_delay: 0.000_21 }
    }
}

/// State of a simulated proxy.
pub struct Proxy {
    pub zone: u32,
    pub routing: RoutingState,
    pub load_totals: LoadTotals,
    pub rng: ChaCha8Rng,
    /// Outstanding attempts by host.
    pub outstanding: BTreeMap<SocketAddr, usize>,
    pub stream: Option<StreamId>,
    /// Set by a fault: the proxy rejects the next delta.
    pub rejects_next_delta: bool,
}

impl Proxy {
    pub fn random(&mut self) -> f64 {
        self.rng.random()
    }
}

/// All state of a run.
pub struct Simulation<'a> {
    pub scenario: &'a Scenario,
    pub policy: Policy,
    pub timing_model: TimingModel,
    pub controller_settings: ControllerSettings,
    /// Time of the first operation; the times of a scenario are relative to it.
    pub load_start: f64,
    pub event_queue: EventQueue,
    pub classes: Vec<OperationClass>,
    pub arrivals: Vec<Arrival>,
    pub operations: Vec<Option<OperationState>>,
    pub unfinished_operations: usize,
    pub last_attempt: u64,
    pub hosts: Vec<Host>,
    /// Hosts by address.
    pub host_indexes: BTreeMap<SocketAddr, HostIndex>,
    pub seen_operations: SeenOperations,
    pub proxies: Vec<Proxy>,
    pub endpoint_list: SimulatedEndpointList,
    /// The endpoint list as a baseline policy has received it.
    pub known_endpoints: BTreeMap<SocketAddr, EndpointState>,
    /// The tables in the store.
    pub tables: Tables,
    pub store_unavailable: bool,
    /// Tables to write once the store is available again.
    pub unsaved_tables: Tables,
    pub controller: Option<Controller>,
    pub incarnation: u64,
    pub last_stream: u64,
    /// Proxies that connect as soon as a controller starts.
    pub waiting_proxies: Vec<ProxyIndex>,
    /// Factor by which writing a delta takes longer.
    pub channel_slowdown: f64,
    /// When the update channel, which all proxies share, has sent what was written.
    pub channel_free_at: f64,
    /// Seconds that faults add to the delay of load reports.
    pub extra_report_delay: f64,
    /// Numbers of the active faults that slow a link between zones.
    pub slow_links: BTreeSet<usize>,
    /// Hosts chosen by a fault, which other faults do not choose.
    pub affected_hosts: BTreeSet<HostIndex>,
    /// Chosen hosts by fault.
    pub fault_targets: Vec<Vec<HostIndex>>,
    /// Errors of external engines, one slot for each start of a [`Policy::Version`].
    pub engine_errors: Vec<EngineErrorSlot>,
    events: Vec<Event>,
}

/// Runs a scenario to its end and returns its recording.
pub fn run(scenario: &Scenario, policy: &Policy, timing_model: TimingModel) -> Result<Vec<Event>, String> {
    run_with_proxy_seed(scenario, policy, timing_model, 0)
}

/// Like [`run`], with another seed for the proxies: hosts, operations and faults stay the same; the proxies' random
/// choices and the times of their reports differ, as they do between two loopback runs of a scenario.
pub fn run_with_proxy_seed(
    scenario: &Scenario,
    policy: &Policy,
    timing_model: TimingModel,
    proxy_seed: u64,
) -> Result<Vec<Event>, String> {
    if scenario.controllers > 1 {
        return Err("days with several stewards are played on loopback".into());
    }
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
    let document = Document::parse(
        "the steward's settings",
        &controller_settings(scenario, unused_address, unused_address),
    );
    let controller_settings =
        document.and_then(|document| ControllerSettings::read(&document)).map_err(|e| e.to_string())?;
    let mut simulation =
        Simulation::new(scenario, policy.clone(), timing_model, controller_settings, proxy_seed);
    simulation.schedule_start();
    simulation.run_to_end();
    for slot in &simulation.engine_errors {
        if let Some(error) = slot.lock().expect("no holder panics").take() {
            return Err(error.to_string());
        }
    }
    let mut events = simulation.events;
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(events)
}

impl Simulation<'_> {
    fn new(
        scenario: &Scenario,
        policy: Policy,
        timing_model: TimingModel,
        controller_settings: ControllerSettings,
        proxy_seed: u64,
    ) -> Simulation<'_> {
        let host_configs = draw::hosts(scenario, scenario.hosts, "hosts");
        let proxies = (0..scenario.proxies).map(|n| {
            let config = proxy_config(scenario, n);
            Proxy {
                zone: config.zone,
                routing: RoutingState::default(),
                load_totals: LoadTotals::new(0.0),
                rng: ChaCha8Rng::seed_from_u64(config.seed ^ proxy_seed.wrapping_mul(PROXY_SEED_MULTIPLIER)),
                outstanding: BTreeMap::new(),
                stream: None,
                rejects_next_delta: false,
            }
        });
        let mut simulation = Simulation {
            scenario,
            policy,
            timing_model,
            controller_settings,
            load_start: STARTUP_SECONDS,
            event_queue: EventQueue::default(),
            classes: scenario.emulated_classes(),
            arrivals: draw::arrivals(scenario, draw::capacity(&host_configs)),
            operations: Vec::new(),
            unfinished_operations: 0,
            last_attempt: 0,
            hosts: Vec::new(),
            host_indexes: BTreeMap::new(),
            seen_operations: SeenOperations::default(),
            proxies: proxies.collect(),
            endpoint_list: SimulatedEndpointList::default(),
            known_endpoints: BTreeMap::new(),
            tables: Tables::new(),
            store_unavailable: false,
            unsaved_tables: Tables::new(),
            controller: None,
            incarnation: 0,
            last_stream: 0,
            waiting_proxies: Vec::new(),
            channel_slowdown: 1.0,
            channel_free_at: 0.0,
            extra_report_delay: 0.0,
            slow_links: BTreeSet::new(),
            affected_hosts: BTreeSet::new(),
            fault_targets: vec![Vec::new(); scenario.faults.len()],
            engine_errors: Vec::new(),
            events: Vec::new(),
        };
        simulation.unfinished_operations = simulation.arrivals.len();
        for config in &host_configs {
            simulation.register_host(config.clone());
        }
        let addresses: Vec<SocketAddr> = simulation.hosts.iter().map(|host| host.address).collect();
        simulation.tables = initial_tables(scenario, &host_configs, &addresses);
        let routing = RoutingState::with_tables(simulation.tables.clone());
        simulation.proxies.iter_mut().for_each(|proxy| proxy.routing = routing.clone());
        simulation
    }

    /// Adds a host that has not started.
    pub fn register_host(&mut self, config: HostConfig) -> HostIndex {
        let host_index = self.hosts.len();
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_HOST_PORT + host_index as u16));
        self.hosts.push(Host::new(address, config));
        self.host_indexes.insert(address, host_index);
        host_index
    }

    /// Adds an event of the current time to the recording.
    pub fn record(&mut self, kind: EventKind) {
        self.record_at(self.event_queue.now, kind);
    }

    /// Adds an event of the given time, which may be later than now: the recording is sorted at the end of the run.
    pub fn record_at(&mut self, at: f64, kind: EventKind) {
        self.events.push(Event { at, kind: Some(kind) });
    }

    /// Additional one-way delay in seconds and loss fraction between two zones.
    pub fn link_impairment(&self, a: u32, b: u32) -> (f64, f64) {
        let mut impairment = (0.0, 0.0f64);
        for number in &self.slow_links {
            if let FaultKind::SlowZoneLink { zone, other, delay, loss_fraction } =
                self.scenario.faults[*number].kind
            {
                let connects_to = |end: u32| other.is_none_or(|other| other == end);
                if a != b && (zone == a && connects_to(b) || zone == b && connects_to(a)) {
                    impairment = (impairment.0 + delay, impairment.1.max(loss_fraction));
                }
            }
        }
        impairment
    }

    /// Starts the hosts and schedules the controller, the proxies, the faults and all operations.
    fn schedule_start(&mut self) {
        let (from, until) = (self.load_start, self.load_start + self.scenario.length);
        let limits = Limits { from, until, ..self.scenario.limits.clone() };
        self.events.push(Event { at: 0.0, kind: Some(EventKind::Limits(limits)) });
        for host_index in 0..self.hosts.len() {
            self.start_host(host_index, false);
            let host = &self.hosts[host_index];
            let (weight, kind) = (host.weight, host.config.kind);
            self.endpoint_list
                .update(host.address, EndpointState { phase: Phase::Ready, started_at: None, weight, kind });
        }
        self.event_queue.at(CONTROLLER_START_AT_SECONDS, ScheduledEvent::ControllerStarts);
        for proxy in 0..self.proxies.len() {
            let connect_at =
                FIRST_CONNECT_AT_SECONDS + self.proxies[proxy].random() * FIRST_CONNECT_SPREAD_SECONDS;
            self.event_queue.at(connect_at, ScheduledEvent::ProxyConnects(proxy));
            let report_at = self.scenario.report_interval * (1.0 + self.proxies[proxy].random());
            self.event_queue.at(report_at, ScheduledEvent::LoadReportDue(proxy));
        }
        for (number, fault) in self.scenario.faults.iter().enumerate() {
            self.event_queue.at(self.load_start + fault.at, ScheduledEvent::FaultStarts(number));
        }
        for number in 0..self.arrivals.len() {
            self.event_queue
                .at(self.load_start + self.arrivals[number].at, ScheduledEvent::OperationArrives(number));
        }
    }

    /// Handles events until all operations and faults have ended, and [`TRAILING_SECONDS`] longer.
    fn run_to_end(&mut self) {
        let fault_ends = self.scenario.faults.iter().map(|fault| fault.end());
        let scenario_end = self.load_start + fault_ends.fold(self.scenario.length, f64::max);
        let mut ends_at = f64::INFINITY;
        while let Some(event) = self.event_queue.next() {
            let now = self.event_queue.now;
            if self.unfinished_operations == 0 && now >= scenario_end && ends_at.is_infinite() {
                ends_at = now + TRAILING_SECONDS;
            }
            if now > ends_at {
                return;
            }
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::OperationArrives(number) => self.on_operation_arrival(number),
            ScheduledEvent::RequestStarts(operation) => self.start_request(operation),
            ScheduledEvent::HostSelection(operation) => self.select_host(operation),
            ScheduledEvent::AttemptArrives(operation, attempt) => self.on_attempt_arrival(operation, attempt),
            ScheduledEvent::AttemptTimesOut(operation, attempt) => {
                self.on_attempt_timeout(operation, attempt)
            }
            ScheduledEvent::AttemptEnds(operation, attempt, result) => {
                self.on_attempt_end(operation, attempt, result)
            }
            ScheduledEvent::WorkStarts(host, generation, job) => self.start_work(host, generation, job),
            ScheduledEvent::WorkEnds(host, generation, job, is_duplicate) => {
                self.end_work(host, generation, job, is_duplicate)
            }
            ScheduledEvent::ProxyConnects(proxy) => self.connect_proxy(proxy),
            ScheduledEvent::LoadReportDue(proxy) => self.send_load_report(proxy),
            ScheduledEvent::LoadReportArrives(proxy, load_report) => self.on_load_report(proxy, load_report),
            ScheduledEvent::DeltaArrives(proxy, stream, publication) => {
                self.on_delta(proxy, stream, &publication)
            }
            ScheduledEvent::ResponseArrives(proxy, stream, nonce, rejected) => {
                self.on_delta_response(proxy, stream, nonce, rejected)
            }
            ScheduledEvent::ChannelReady(proxy) => self.write_to_channel(proxy),
            ScheduledEvent::HealthCheckArrives(host) => self.on_health_check(host),
            ScheduledEvent::HealthCheckEnds(host, outcome) => self.on_health_check_end(host, outcome),
            ScheduledEvent::ListUpdateArrives => self.deliver_list_update(),
            ScheduledEvent::ListChanges(host, phase) => self.change_list(host, phase),
            ScheduledEvent::ControllerWakes => self.wake_controller(),
            ScheduledEvent::ControllerStarts => self.start_controller(),
            ScheduledEvent::FaultStarts(number) => self.start_fault(number),
            ScheduledEvent::FaultEnds(number) => self.end_fault(number),
            ScheduledEvent::FaultStep(number, step) => self.advance_fault(number, step),
            ScheduledEvent::DrainEnds(host) => self.end_drain(host),
        }
    }
}
