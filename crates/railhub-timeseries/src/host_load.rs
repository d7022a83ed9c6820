//! Load of each host over a recording.
use railhub_record::{Event, EventKind, HostStarted, Limits};
use serde::Serialize;
use std::collections::BTreeMap;

/// Attempts and load of one host.
#[derive(Clone, Debug, Serialize)]
pub struct HostLoad {
    /// Address of the host.
    pub host: String,
    /// Zone of the host.
    pub zone: u32,
    /// Number of attempts sent to the host.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Work sent to the host over its capacity while it ran, both in core seconds at speed 1. A load above 1 does not
    /// prove overload, because cached keys need less work.
    pub load: f64,
}

#[derive(Default)]
struct HostTotals {
    zone: u32,
    /// Core seconds per second, at speed 1.
    capacity: f64,
    /// Start of the current run on the recording's clock, in seconds; `None` while the process is down.
    up_since: Option<f64>,
    /// Total duration in seconds of the runs that have ended.
    seconds_up: f64,
    attempts: u64,
    /// Sum of the work of all attempts, in core seconds at speed 1.
    work: f64,
}

impl HostTotals {
    fn on_started(&mut self, started: &HostStarted, at: f64) {
        self.zone = started.zone;
        self.capacity = started.cores * started.speed;
        self.up_since = Some(at);
    }

    fn on_stopped(&mut self, at: f64) {
        self.seconds_up += self.up_since.take().map_or(0.0, |since| at - since);
    }

    fn load(&self, host: &str, until: f64) -> HostLoad {
        let current_run = self.up_since.map_or(0.0, |since| until - since);
        let available = self.capacity * (self.seconds_up + current_run);
        let load = if available > 0.0 { self.work / available } else { 0.0 };
        HostLoad { host: host.to_owned(), zone: self.zone, attempts: self.attempts, load }
    }
}

/// Loads of all hosts of a recording, including idle ones, by decreasing load.
pub fn by_host(events: &[Event], limits: &Limits) -> Vec<HostLoad> {
    let mut totals: BTreeMap<&str, HostTotals> = BTreeMap::new();
    for event in events {
        let at = event.at.clamp(limits.from, limits.until);
        match &event.kind {
            Some(EventKind::HostStarted(started)) => {
                totals.entry(&started.host).or_default().on_started(started, at);
            }
            Some(EventKind::HostStopped(stopped)) => totals.entry(&stopped.host).or_default().on_stopped(at),
            Some(EventKind::Attempt(attempt)) => {
                let host = totals.entry(&attempt.host).or_default();
                host.attempts += 1;
                host.work += attempt.work;
            }
            _ => {}
        }
    }
    let mut loads: Vec<HostLoad> =
        totals.into_iter().map(|(host, totals)| totals.load(host, limits.until)).collect();
    loads.sort_by(|a, b| b.load.total_cmp(&a.load));
    loads
}
