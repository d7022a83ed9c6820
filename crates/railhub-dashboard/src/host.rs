//! Status of one host: its state, its recent load and its slices.
//!
//! A host is `Warming` after a cold start and then `Ready`; `Draining` or `Removed` according to the endpoint list; and
//! `Down` while its process is not running and the list has not removed it.
use railhub_record::{Attempt, EndpointPhase, HostStarted};

/// Time after which the contribution of an attempt to the rate of work has decayed to 1/e.
const LOAD_TIME_CONSTANT_SECONDS: f64 = 3.0;

/// State of a host at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// The process is running, the host is warm, and the endpoint list does not mark it as draining or removed.
    Ready,
    /// The process started with a cold cache and is still warming up.
    Warming,
    /// The endpoint list marks the host as draining.
    Draining,
    /// The endpoint list has removed the host.
    Removed,
    /// The process is not running, but the endpoint list has not removed the host.
    Down,
}

impl HostState {
    /// Text for the state in the dashboard.
    pub fn label(self) -> &'static str {
        match self {
            HostState::Ready => "ready",
            HostState::Warming => "cold",
            HostState::Draining => "draining",
            HostState::Removed => "gone",
            HostState::Down => "down",
        }
    }
}

/// Status of one host, updated by events.
#[derive(Clone, Debug, Default)]
pub struct HostStatus {
    /// Zone of the host.
    pub zone: u32,
    /// Number of slices whose heaviest line is for this host.
    pub slices: usize,
    /// Whether the host is excluded from all tables.
    pub excluded: bool,
    /// Core seconds per second, at speed 1.
    capacity: f64,
    /// Decaying average of work in core seconds per second at speed 1, as of `work_rate_at`.
    work_rate: f64,
    /// Time of the latest attempt, in seconds of the scenario.
    work_rate_at: f64,
    /// End of the warm-up, in seconds of the scenario.
    warm_at: f64,
    running: bool,
    listed_phase: Option<EndpointPhase>,
}

impl HostStatus {
    /// Handles a start of the process at second `at` of the scenario.
    pub fn on_started(&mut self, started: &HostStarted, at: f64) {
        self.zone = started.zone;
        self.capacity = started.cores * started.speed;
        self.running = true;
        self.warm_at = if started.cold { at + started.warm_up_time } else { f64::NEG_INFINITY };
    }

    /// Handles the end of the process.
    pub fn on_stopped(&mut self) {
        self.running = false;
    }

    /// Handles an entry of the endpoint list for the host.
    pub fn on_listed(&mut self, phase: EndpointPhase) {
        self.listed_phase = Some(phase);
    }

    /// Handles an attempt that reaches the host at second `at` of the scenario.
    pub fn on_attempt(&mut self, attempt: &Attempt, at: f64) {
        self.work_rate = self.decayed_work_rate(at) + attempt.work / LOAD_TIME_CONSTANT_SECONDS;
        self.work_rate_at = at;
    }

    /// Rate of work, decayed to second `now` of the scenario.
    fn decayed_work_rate(&self, now: f64) -> f64 {
        self.work_rate * (-(now - self.work_rate_at).max(0.0) / LOAD_TIME_CONSTANT_SECONDS).exp()
    }

    /// Recent rate of work over capacity; 0 if the capacity is unknown.
    pub fn load(&self, now: f64) -> f64 {
        if self.capacity > 0.0 {
            self.decayed_work_rate(now) / self.capacity
        } else {
            0.0
        }
    }

    /// State of the host at second `now` of the scenario.
    pub fn state(&self, now: f64) -> HostState {
        match self.listed_phase {
            Some(EndpointPhase::Gone) => HostState::Removed,
            _ if !self.running => HostState::Down,
            Some(EndpointPhase::Draining) => HostState::Draining,
            _ if self.warm_at > now => HostState::Warming,
            _ => HostState::Ready,
        }
    }
}
