//! State of a run at a point in time, built from the events up to then.
use crate::host::HostStatus;
use crate::service_window::{ServiceHistory, ServiceWindow};
use railhub_proto::{Delta, RetryCondition};
use railhub_record::{
    EndpointsReceived, Event, EventKind, InjectedFault, Limits, OperationEnd, Outcome, ProxyStream,
};
use railhub_timeseries::tables::Tables;
use railhub_timeseries::unacknowledged::UnacknowledgedDeltas;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of log entries that are kept.
const MAX_LOG_ENTRIES: usize = 12;
/// Upper bound of the time before the first operation.
const MAX_LEAD_SECONDS: f64 = 1e9;

/// Admission rate and retry condition of one class, as last received by a proxy.
#[derive(Clone, Debug)]
pub struct AdmissionStatus {
    /// Name of the class.
    pub class: String,
    /// Fraction of the operations that are admitted.
    pub rate: f64,
    /// Condition under which a failed attempt may be retried.
    pub retry: RetryCondition,
}

/// An entry of the dashboard's log.
#[derive(Clone, Debug)]
pub struct LogEntry {
    /// Time in seconds of the scenario.
    pub at: f64,
    /// Description of the event.
    pub description: String,
}

/// State of a run at a point in time.
#[derive(Clone, Debug, Default)]
pub struct RunState {
    /// Limits of the scenario; `None` until their event, the first of a recording, is applied.
    pub limits: Option<Limits>,
    /// Current time in seconds of the scenario; negative before the first operation.
    pub now: f64,
    /// Status of the hosts, by address.
    pub hosts: BTreeMap<String, HostStatus>,
    /// Admission status, by class index.
    pub admission: BTreeMap<u32, AdmissionStatus>,
    /// Numbers of the proxies with an open stream.
    pub connected_proxies: BTreeSet<u32>,
    /// Whether the controller is running.
    pub controller_running: bool,
    /// Newest table version that any proxy has received.
    pub version: u64,
    /// Number of table lines whose weight was set to 0.
    pub cleared_lines: u64,
    /// Number of times the heaviest line of a slice moved to another host.
    pub moves: u64,
    /// Number of deltas that reached proxies.
    pub messages: u64,
    /// Names of the injected faults that are active.
    pub active_faults: BTreeSet<String>,
    /// The latest log entries, oldest first.
    pub log: VecDeque<LogEntry>,
    /// Number of operations, by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    unacknowledged: UnacknowledgedDeltas,
    tables: Tables,
    service: ServiceWindow,
}

impl RunState {
    /// Applies the next event of the recording. Events of several writers may be slightly out of order.
    pub fn on_event(&mut self, event: &Event) {
        let at = event.at - self.limits.as_ref().map_or(event.at, |limits| limits.from);
        self.now = self.now.max(at);
        let Some(kind) = &event.kind else { return };
        match kind {
            EventKind::Limits(limits) => self.on_limits(limits),
            EventKind::HostStarted(started) => self.host(&started.host).on_started(started, at),
            EventKind::HostStopped(stopped) => self.host(&stopped.host).on_stopped(),
            EventKind::EndpointsReceived(update) => self.on_endpoints(update),
            EventKind::ProxyStream(stream) => self.on_stream(stream),
            EventKind::DeltaReceived(received) => self.on_delta(received.proxy, &received.delta),
            EventKind::DeltaAcknowledged(ack) => self.unacknowledged.on_acknowledged(ack.proxy, ack.nonce),
            EventKind::Attempt(attempt) => self.host(&attempt.host).on_attempt(attempt, at),
            EventKind::OperationEnd(end) => self.on_operation_end(end),
            EventKind::InjectedFault(fault) => self.on_fault(fault, at),
            EventKind::ControllerLifecycle(lifecycle) => self.on_controller(lifecycle.running, at),
            EventKind::AttemptEnd(_)
            | EventKind::Effect(_)
            | EventKind::SliceGranted(_)
            | EventKind::TableWrite(_) => {}
        }
    }

    fn host(&mut self, host: &str) -> &mut HostStatus {
        self.hosts.entry(host.to_owned()).or_default()
    }

    fn on_limits(&mut self, limits: &Limits) {
        self.now = -limits.from.min(MAX_LEAD_SECONDS);
        self.limits = Some(limits.clone());
    }

    fn on_endpoints(&mut self, update: &EndpointsReceived) {
        for entry in &update.entries {
            self.host(&entry.host).on_listed(entry.phase());
        }
    }

    fn on_stream(&mut self, stream: &ProxyStream) {
        if stream.open {
            self.connected_proxies.insert(stream.proxy);
        } else {
            self.connected_proxies.remove(&stream.proxy);
            self.unacknowledged.on_stream_closed(stream.proxy);
        }
    }

    fn on_operation_end(&mut self, end: &OperationEnd) {
        let outcome = end.outcome();
        *self.outcomes.entry(outcome).or_default() += 1;
        let Some(limits) = &self.limits else { return };
        let class = limits.classes.get(end.class as usize);
        let priority_weight = class.map_or(0.0, |class| class.priority_weight);
        let began = end.began - limits.from;
        self.service.on_operation_end(began, priority_weight, outcome == Outcome::Completed);
    }

    fn on_fault(&mut self, fault: &InjectedFault, at: f64) {
        let name = fault.name.clone();
        self.append_log(at, format!("{name} {}", if fault.active { "begins" } else { "ends" }));
        if fault.active {
            self.active_faults.insert(name);
        } else {
            self.active_faults.remove(&name);
        }
    }

    fn on_controller(&mut self, running: bool, at: f64) {
        self.controller_running = running;
        self.append_log(at, format!("the controller {}", if running { "starts" } else { "is killed" }));
    }

    fn append_log(&mut self, at: f64, description: String) {
        self.log.push_back(LogEntry { at, description });
        if self.log.len() > MAX_LOG_ENTRIES {
            self.log.pop_front();
        }
    }

    fn on_delta(&mut self, proxy: u32, delta: &Delta) {
        self.messages += 1;
        self.unacknowledged.on_received(proxy, delta.version, delta.cost());
        let Some(changes) = self.tables.apply(delta) else { return };
        self.version = self.tables.version();
        self.moves += u64::from(changes.moves);
        self.cleared_lines += u64::from(changes.cleared_lines);
        self.apply_admission(delta);
        for exclusion in &delta.exclusions {
            self.host(&exclusion.host).excluded = exclusion.excluded;
        }
        let slices = self.tables.slices_by_host();
        for (name, host) in &mut self.hosts {
            host.slices = slices.get(name).copied().unwrap_or(0);
        }
    }

    fn apply_admission(&mut self, delta: &Delta) {
        for admission in &delta.admission_rates {
            let class = self.class_name(admission.class);
            let status = AdmissionStatus { class, rate: admission.rate, retry: admission.retry() };
            self.admission.insert(admission.class, status);
        }
    }

    /// Name of a class; its index if the limits do not have it.
    fn class_name(&self, index: u32) -> String {
        let class = self.limits.as_ref().and_then(|limits| limits.classes.get(index as usize));
        class.map_or_else(|| index.to_string(), |class| class.name.clone())
    }

    /// Deltas that proxies have not acknowledged.
    pub fn unacknowledged(&self) -> &UnacknowledgedDeltas {
        &self.unacknowledged
    }

    /// Service of the latest seconds, except those whose operations may still be running.
    pub fn service(&self) -> ServiceHistory {
        self.service.history(self.now, self.longest_contract_time())
    }

    /// Longest contract time of all classes, in seconds.
    fn longest_contract_time(&self) -> f64 {
        let Some(limits) = &self.limits else { return 0.0 };
        limits.classes.iter().map(|class| class.contract_time).fold(0.0, f64::max)
    }
}
