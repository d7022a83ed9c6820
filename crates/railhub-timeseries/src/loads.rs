//! What each host had to do.
use railhub_record::{Event, EventKind, Limits};
use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Serialize)]
pub struct HostLoad {
    pub host: String,
    pub zone: u32,
    pub tries: u64,
    /// Core seconds asked for at speed 1 over what its cores could do while it ran, within the day. Kept keys
    /// make work shorter: above 1 need not mean that it could not.
    pub load: f64,
}

#[derive(Default)]
struct Sum {
    zone: u32,
    power: f64,
    up_since: Option<f64>,
    up: f64,
    tries: u64,
    work: f64,
}

/// Hosts by load, the most loaded first; those that nothing was sent to as well.
pub fn by_host(events: &[Event], limits: &Limits) -> Vec<HostLoad> {
    let inside = |at: f64| at.clamp(limits.from, limits.until);
    let mut sums: BTreeMap<&str, Sum> = BTreeMap::new();
    for event in events {
        match &event.kind {
            Some(EventKind::HostStarted(up)) => {
                let sum = sums.entry(&up.host).or_default();
                (sum.zone, sum.power, sum.up_since) = (up.zone, up.cores * up.speed, Some(inside(event.at)));
            }
            Some(EventKind::HostStopped(down)) => {
                let sum = sums.entry(&down.host).or_default();
                sum.up += sum.up_since.take().map_or(0.0, |since| inside(event.at) - since);
            }
            Some(EventKind::Attempt(tried)) => {
                let sum = sums.entry(&tried.host).or_default();
                sum.tries += 1;
                sum.work += tried.work;
            }
            _ => {}
        }
    }
    let mut loads: Vec<HostLoad> =
        sums.into_iter().map(|(host, sum)| load(host, &sum, limits.until)).collect();
    loads.sort_by(|a, b| b.load.total_cmp(&a.load));
    loads
}

fn load(host: &str, sum: &Sum, until: f64) -> HostLoad {
    let could = sum.power * (sum.up + sum.up_since.map_or(0.0, |since| until - since));
    let load = if could > 0.0 { sum.work / could } else { 0.0 };
    HostLoad { host: host.to_owned(), zone: sum.zone, tries: sum.tries, load }
}
