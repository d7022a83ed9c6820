//! Simple policies to compare the controller with: they use the endpoint list only, [`Baseline::Latency`] uses load
//! reports as well.
use crate::endpoint_list::EndpointState;
use railhub::{HostId, Phase, SliceAssignment, SliceId, WeightedHost};
use railhub_controller::change::Change;
use railhub_controller::tables::Tables;
use railhub_proto::LoadReport;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time between evaluations of the load reports.
const WAKE_INTERVAL_SECONDS: f64 = 1.0;
/// Time after which a measured latency counts for 1/e: a few evaluations, so that one slow report does not take all
/// load off a host.
const LATENCY_DECAY_SECONDS: f64 = 5.0;
/// Successful attempts below which a host's latency counts as unknown; the median is used then.
const MIN_KNOWN_ATTEMPTS: f64 = 1.0;
/// Weights are rounded to 1/10, since a smaller change is not worth a message.
const WEIGHT_STEPS_PER_UNIT: f64 = 10.0;

/// A policy that a baseline controller follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Assigns each slice to the host that a weighted rendezvous hash selects.
    Hash,
    /// Distributes all operations over all hosts by their weights.
    Even,
    /// Distributes all operations over all hosts by the inverse of their recent latency.
    Latency,
}

/// Exponentially decaying sums over a host's successful attempts: their number and their time in seconds.
#[derive(Clone, Copy, Default)]
struct AttemptTimes {
    attempts: f64,
    time: f64,
    at: f64,
}

/// Publishes tables according to a [`Baseline`] policy.
pub struct BaselineController {
    policy: Baseline,
    slices: u32,
    tables: Tables,
    attempt_times: BTreeMap<SocketAddr, AttemptTimes>,
}

/// Hosts and weights by slice.
type DesiredTables = Vec<Vec<(SocketAddr, f64)>>;

impl BaselineController {
    pub fn new(policy: Baseline, slices: u32) -> BaselineController {
        BaselineController { policy, slices, tables: Tables::default(), attempt_times: BTreeMap::new() }
    }

    /// Seconds until the next evaluation of load reports, if the policy uses them.
    pub fn wake_interval(&self) -> Option<f64> {
        (self.policy == Baseline::Latency).then_some(WAKE_INTERVAL_SECONDS)
    }

    pub fn load_assignments(&mut self, assignments: &[SliceAssignment]) {
        if self.policy == Baseline::Hash {
            for assignment in assignments {
                let SliceAssignment::Assigned { slice, entries } = assignment else { continue };
                self.tables.load_table(*slice, entries);
            }
        }
    }

    pub fn on_load_reports(&mut self, now: f64, reports: impl Iterator<Item = Box<LoadReport>>) {
        for host_load in reports.flat_map(|report| report.hosts) {
            let Ok(host) = host_load.host.parse() else { continue };
            let times = self.attempt_times.entry(host).or_default();
            let remaining = (-(now - times.at) / LATENCY_DECAY_SECONDS).exp();
            let successes = f64::from(host_load.attempts.saturating_sub(host_load.failed));
            (times.attempts, times.time, times.at) = (
                times.attempts * remaining + successes,
                times.time * remaining + host_load.success_time,
                now,
            );
        }
    }

    /// Applies and returns the change that leads to the desired tables, with the version it makes; `None` if there
    /// is nothing to change.
    pub fn next_change(
        &mut self,
        endpoints: &BTreeMap<SocketAddr, EndpointState>,
    ) -> Option<(Arc<Change>, u64)> {
        let desired = match self.policy {
            Baseline::Latency => vec![self.by_latency(endpoints)],
            Baseline::Even => vec![ready(endpoints)],
            Baseline::Hash => by_hash(self.slices, endpoints),
        };
        let change = Arc::new(change(&self.tables, &desired));
        (!change.is_empty()).then(|| (change.clone(), self.tables.apply(change)))
    }

    /// The complete tables and their version, for a proxy that has just connected.
    pub fn snapshot(&self) -> (Change, u64) {
        let mut snapshot = self.tables.snapshot();
        if self.policy != Baseline::Hash {
            snapshot.assigned_table = Some(SliceId(0));
        }
        (snapshot, self.tables.version)
    }

    fn by_latency(&self, endpoints: &BTreeMap<SocketAddr, EndpointState>) -> Vec<(SocketAddr, f64)> {
        let ready =
            endpoints.iter().filter(|(_, endpoint)| endpoint.phase == Phase::Ready).map(|(host, _)| *host);
        let latency = |host: &SocketAddr| {
            self.attempt_times
                .get(host)
                .filter(|times| times.attempts >= MIN_KNOWN_ATTEMPTS)
                .map(|times| times.time / times.attempts)
        };
        let hosts: Vec<SocketAddr> = ready.collect();
        let mut latencies: Vec<f64> = hosts.iter().filter_map(latency).collect();
        latencies.sort_by(f64::total_cmp);
        let median = latencies.get(latencies.len() / 2).copied().unwrap_or(1.0).max(1e-6);
        let weight = |host: &SocketAddr| {
            let relative_speed = median / latency(host).unwrap_or(median).max(1e-6);
            ((relative_speed * WEIGHT_STEPS_PER_UNIT).round() / WEIGHT_STEPS_PER_UNIT)
                .clamp(1.0 / WEIGHT_STEPS_PER_UNIT, WEIGHT_STEPS_PER_UNIT)
        };
        hosts.iter().map(|host| (*host, weight(host))).collect()
    }
}

/// The ready hosts with the weights of the list.
fn ready(endpoints: &BTreeMap<SocketAddr, EndpointState>) -> Vec<(SocketAddr, f64)> {
    let ready = endpoints.iter().filter(|(_, endpoint)| endpoint.phase == Phase::Ready);
    ready.map(|(host, endpoint)| (*host, endpoint.weight)).collect()
}

fn by_hash(slices: u32, endpoints: &BTreeMap<SocketAddr, EndpointState>) -> DesiredTables {
    let hosts = ready(endpoints);
    let table = |slice: u32| {
        let best = hosts.iter().max_by(|a, b| score(slice, a).total_cmp(&score(slice, b)));
        best.map(|(host, _)| (*host, 1.0)).into_iter().collect()
    };
    (0..slices.max(1)).map(table).collect()
}

/// Weighted rendezvous score of a host for a slice.
fn score(slice: u32, (host, weight): &(SocketAddr, f64)) -> f64 {
    let mut bits = (u64::from(host.port()) << 32 | u64::from(slice)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits ^= bits >> 32;
    let unit = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight.max(0.01) / unit.ln()
}

/// The change from the current to the desired tables.
fn change(tables: &Tables, desired: &[Vec<(SocketAddr, f64)>]) -> Change {
    let mut change = Change::default();
    for (slice, entries) in desired.iter().enumerate() {
        let slice = SliceId(slice as u16);
        let current = tables.table_entries(slice);
        for (host, weight) in entries {
            if !current.contains(&WeightedHost { host: HostId::from(*host), weight: *weight }) {
                change.lines.insert((slice, HostId::from(*host)), *weight);
            }
        }
        for WeightedHost { host, .. } in current {
            if !entries.iter().any(|entry| HostId::from(entry.0) == host) {
                change.lines.insert((slice, host), 0.0);
            }
        }
    }
    change
}

#[cfg(test)]
mod tests;
