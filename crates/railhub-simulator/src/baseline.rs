//! What plain policies publish, for comparing: they go by the list, one of them by sums as well.
use crate::list::Line;
use railhub::{HostId, Phase, SliceAssignment, SliceId, WeightedHost};
use railhub_controller::change::Change;
use railhub_controller::tables::Tables;
use railhub_proto::LoadReport;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Seconds between looks at the sums.
const LOOK: f64 = 1.0;
/// Seconds after which a time that was met counts for 1/e: as long as a few looks, so that one slow report
/// does not empty a host.
const MEMORY: f64 = 5.0;
/// Good tries below which a host counts as unknown, and gets the median.
const KNOWN_BY: f64 = 1.0;
/// Weights are kept to one part in so many: a change below it is not worth a message.
const STEPS: f64 = 10.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Each slice on the host that a weighted rendezvous hash names.
    Hash,
    /// All operations on all hosts, by their weights.
    Even,
    /// All operations on all hosts, each by the inverse of the time that tries took there of late.
    Latency,
}

/// Decaying sums of good tries at a host and the time they took.
#[derive(Clone, Copy, Default)]
struct Met {
    tries: f64,
    time: f64,
    at: f64,
}

/// A plain policy at work.
pub struct Plain {
    policy: Baseline,
    slices: u32,
    tables: Tables,
    met: BTreeMap<SocketAddr, Met>,
}

type Wanted = Vec<Vec<(SocketAddr, f64)>>;

impl Plain {
    pub fn new(policy: Baseline, slices: u32) -> Plain {
        Plain { policy, slices, tables: Tables::default(), met: BTreeMap::new() }
    }

    /// Seconds until it looks at its sums, if it goes by them.
    pub fn wakes(&self) -> Option<f64> {
        (self.policy == Baseline::Latency).then_some(LOOK)
    }

    pub fn hear_charges(&mut self, charges: &[SliceAssignment]) {
        if self.policy == Baseline::Hash {
            for assignment in charges {
                let SliceAssignment::Assigned { slice, entries } = assignment else { continue };
                self.tables.load_table(*slice, entries);
            }
        }
    }

    pub fn hear_sums(&mut self, now: f64, all: impl Iterator<Item = Box<LoadReport>>) {
        for sum in all.flat_map(|sums| sums.hosts) {
            let Ok(host) = sum.host.parse() else { continue };
            let met = self.met.entry(host).or_default();
            let left = (-(now - met.at) / MEMORY).exp();
            let good = f64::from(sum.attempts.saturating_sub(sum.failed));
            (met.tries, met.time, met.at) =
                (met.tries * left + good, met.time * left + sum.success_time, now);
        }
    }

    /// What it wants changed, and the version that this makes; none if all is as it wants.
    pub fn changes(&mut self, told: &BTreeMap<SocketAddr, Line>) -> Option<(Arc<Change>, u64)> {
        let wanted = match self.policy {
            Baseline::Latency => vec![self.by_latency(told)],
            Baseline::Even => vec![ready(told)],
            Baseline::Hash => by_hash(self.slices, told),
        };
        let change = Arc::new(change(&self.tables, &wanted));
        (!change.is_empty()).then(|| (change.clone(), self.tables.apply(change)))
    }

    /// All that a proxy needs which has just come.
    pub fn whole(&self) -> (Change, u64) {
        let mut whole = self.tables.snapshot();
        if self.policy != Baseline::Hash {
            whole.assigned_table = Some(SliceId(0));
        }
        (whole, self.tables.version)
    }

    fn by_latency(&self, told: &BTreeMap<SocketAddr, Line>) -> Vec<(SocketAddr, f64)> {
        let ready = told.iter().filter(|(_, line)| line.phase == Phase::Ready).map(|(host, _)| *host);
        let time = |host: &SocketAddr| {
            self.met.get(host).filter(|met| met.tries >= KNOWN_BY).map(|met| met.time / met.tries)
        };
        let hosts: Vec<SocketAddr> = ready.collect();
        let mut known: Vec<f64> = hosts.iter().filter_map(time).collect();
        known.sort_by(f64::total_cmp);
        let median = known.get(known.len() / 2).copied().unwrap_or(1.0).max(1e-6);
        let weight = |host: &SocketAddr| {
            let part = median / time(host).unwrap_or(median).max(1e-6);
            ((part * STEPS).round() / STEPS).clamp(1.0 / STEPS, STEPS)
        };
        hosts.iter().map(|host| (*host, weight(host))).collect()
    }
}

fn ready(told: &BTreeMap<SocketAddr, Line>) -> Vec<(SocketAddr, f64)> {
    let ready = told.iter().filter(|(_, line)| line.phase == Phase::Ready);
    ready.map(|(host, line)| (*host, line.weight)).collect()
}

fn by_hash(slices: u32, told: &BTreeMap<SocketAddr, Line>) -> Wanted {
    let ready = ready(told);
    let one = |slice: u32| {
        let best = ready.iter().max_by(|a, b| score(slice, a).total_cmp(&score(slice, b)));
        best.map(|(host, _)| (*host, 1.0)).into_iter().collect()
    };
    (0..slices.max(1)).map(one).collect()
}

fn score(slice: u32, (host, weight): &(SocketAddr, f64)) -> f64 {
    let mut bits = (u64::from(host.port()) << 32 | u64::from(slice)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits ^= bits >> 32;
    let unit = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight.max(0.01) / unit.ln()
}

/// What must change for that.
fn change(tables: &Tables, wanted: &[Vec<(SocketAddr, f64)>]) -> Change {
    let mut change = Change::default();
    for (slice, lines) in wanted.iter().enumerate() {
        let slice = SliceId(slice as u16);
        let held = tables.table_entries(slice);
        for (host, weight) in lines {
            if !held.contains(&WeightedHost { host: HostId::from(*host), weight: *weight }) {
                change.lines.insert((slice, HostId::from(*host)), *weight);
            }
        }
        for WeightedHost { host, .. } in held {
            if !lines.iter().any(|line| HostId::from(line.0) == host) {
                change.lines.insert((slice, host), 0.0);
            }
        }
    }
    change
}

#[cfg(test)]
mod tests;
