//! Owns the load of each host over a recording.
use railhub_record::{Event, EventKind, HostStarted, Limits};
use serde::Serialize;
use std::collections::BTreeMap;

/// What one host was sent.
#[derive(Clone, Debug, Serialize)]
pub struct HostLoad {
    /// Address of the host.
    pub host: String,
    /// Zone of the host.
    pub zone: u32,
    /// Attempts sent to the host.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Core seconds of work at speed 1 over the core seconds available while the host ran. Cached keys shorten work:
    /// a load above 1 does not prove overload.
    pub load: f64,
}

#[derive(Default)]
struct HostTotals {
    zone: u32,
    /// Core seconds a second, at speed 1.
    capacity: f64,
    /// Second of the recording's clock; `None` while the process is down.
    up_since: Option<f64>,
    /// Seconds of the runs that have ended.
    seconds_up: f64,
    attempts: u64,
    /// Core seconds at speed 1.
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

/// All hosts of a recording, idle ones included, by descending load.
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
