//! Owns the status of one host: its state, its recent load and its slices.
//!
//! States: `Ready`; `Warming` after a cold start; `Draining` and `Removed` as the endpoint list has it; `Down` while the
//! process is not running and the list has not removed the host.
use railhub_record::{Attempt, EndpointPhase, HostStarted};

/// Seconds after which an attempt counts for 1/e in the rate of work.
const LOAD_TIME_CONSTANT_SECONDS: f64 = 3.0;

/// State of a host at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It runs, is listed and warm.
    Ready,
    /// It started cold and is still warming up.
    Warming,
    /// The endpoint list drains it.
    Draining,
    /// The endpoint list has removed it.
    Removed,
    /// Its process has ended; the endpoint list has not removed it.
    Down,
}

impl HostState {
    /// The state as the dashboard shows it.
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

/// What is known of one host.
#[derive(Clone, Debug, Default)]
pub struct HostStatus {
    /// Zone of the host.
    pub zone: u32,
    /// Slices whose heaviest line is this host.
    pub slices: usize,
    /// Whether it is excluded from every table.
    pub excluded: bool,
    /// Core seconds a second, at speed 1.
    capacity: f64,
    /// Core seconds a second at speed 1, as of `work_rate_at`.
    work_rate: f64,
    work_rate_at: f64,
    /// Second of the scenario at which the warm-up ends.
    warm_at: f64,
    running: bool,
    listed_phase: Option<EndpointPhase>,
}

impl HostStatus {
    /// The process starts at second `at` of the scenario.
    pub fn on_started(&mut self, started: &HostStarted, at: f64) {
        self.zone = started.zone;
        self.capacity = started.cores * started.speed;
        self.running = true;
        self.warm_at = if started.cold { at + started.warm_up_time } else { f64::NEG_INFINITY };
    }

    /// The process ends.
    pub fn on_stopped(&mut self) {
        self.running = false;
    }

    /// The endpoint list has an entry for the host.
    pub fn on_listed(&mut self, phase: EndpointPhase) {
        self.listed_phase = Some(phase);
    }

    /// An attempt reaches the host at second `at` of the scenario.
    pub fn on_attempt(&mut self, attempt: &Attempt, at: f64) {
        self.work_rate = self.work_rate_by(at) + attempt.work / LOAD_TIME_CONSTANT_SECONDS;
        self.work_rate_at = at;
    }

    fn work_rate_by(&self, now: f64) -> f64 {
        self.work_rate * (-(now - self.work_rate_at).max(0.0) / LOAD_TIME_CONSTANT_SECONDS).exp()
    }

    /// Recent rate of work over capacity; 0 without a known capacity.
    pub fn load(&self, now: f64) -> f64 {
        if self.capacity > 0.0 {
            self.work_rate_by(now) / self.capacity
        } else {
            0.0
        }
    }

    /// State at second `now` of the scenario.
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
