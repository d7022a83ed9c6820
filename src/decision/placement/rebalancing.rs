//! Rebalancing: slices leave hosts whose latency lags behind.
//!
//! A host lags while its expected latency is `LAG_LATENCY_MULTIPLE` times the middle one, for several ticks in a row.
//! Its slice with the highest rate then goes to the host with the lowest latency, or one with a lower rate if
//! that slice would only carry the lag along. One slice a host, a fraction of the hosts a tick, a quota a day.
use super::slice_moves::{SliceMoves, COLD_CACHE_DEMAND_MULTIPLE};
use crate::decaying::quantile;
use crate::decision::load_estimate::HostLoad;
use crate::interface::{HostId, Seconds, SliceId};

/// Multiple of the middle latency at which a host lags.
const LAG_LATENCY_MULTIPLE: f64 = 1.25;
/// Ticks in a row for which a host lags before a slice leaves it: one noisy report is no reason.
pub const MIN_LAGGING_TICKS: u32 = 2;
/// Fraction of the latency that a move must take away, to be worth a cold cache.
const MIN_LATENCY_GAIN_FRACTION: f64 = 0.1;
/// Fraction of the hosts that may give up a slice in one tick: latencies are stale by a report.
const MAX_REBALANCED_HOSTS_FRACTION: f64 = 0.3;
/// Moves a second that a slice may make on average, about 5000 a day.
const MOVE_QUOTA_RATE: f64 = 0.058;

/// Moves that rebalancing may still make: a token bucket that holds one move a slice.
#[derive(Default)]
pub struct MoveQuota {
    pub available: f64,
    pub refilled_at: Seconds,
}

impl MoveQuota {
    /// A full quota.
    pub fn new(slices: u16) -> MoveQuota {
        MoveQuota { available: f64::from(slices), refilled_at: 0.0 }
    }

    fn refill(&mut self, now: Seconds, slices: u16) {
        let full = f64::from(slices);
        self.available = (self.available + (now - self.refilled_at) * MOVE_QUOTA_RATE * full).min(full);
        self.refilled_at = now;
    }
}

/// A host that lags, and its expected latency in seconds.
struct LaggingHost {
    host: HostId,
    latency: Seconds,
}

/// Moves slices off the hosts that lag most.
pub fn rebalance(moves: &mut SliceMoves, quota: &mut MoveQuota) {
    quota.refill(moves.now, moves.config.slice_count);
    let max_hosts = (MAX_REBALANCED_HOSTS_FRACTION * moves.loads.len() as f64) as usize + 1;
    let lagging = lagging_hosts(moves);
    for from in lagging.into_iter().take(max_hosts) {
        if quota.available < 1.0 {
            return;
        }
        if let Some((slice, to)) = beneficial_move(moves, &from) {
            quota.available -= 1.0;
            moves.move_slice(slice, Some(to));
        }
    }
}

/// Counts the ticks for which hosts lag; those that do for long enough, the slowest first.
fn lagging_hosts(moves: &mut SliceMoves) -> Vec<LaggingHost> {
    let latencies = moves.loads.values().map(|load| load.expected_latency(0.0)).collect();
    let Some(middle) = quantile(latencies, 0.5) else { return Vec::new() };
    let mut lagging = Vec::new();
    for (id, load) in moves.loads.iter() {
        let host = moves.hosts.get_mut(id).expect("loads are of known hosts");
        let latency = load.expected_latency(0.0);
        let is_lagging = latency > LAG_LATENCY_MULTIPLE * middle;
        host.lagging_ticks = if is_lagging { host.lagging_ticks + 1 } else { 0 };
        if host.lagging_ticks >= MIN_LAGGING_TICKS {
            lagging.push(LaggingHost { host: *id, latency });
        }
    }
    lagging.sort_by(|a, b| b.latency.total_cmp(&a.latency).then(a.host.cmp(&b.host)));
    lagging
}

/// The slice with the highest rate whose move shortens the latency enough, at both hosts, and where it goes.
fn beneficial_move(moves: &SliceMoves, from: &LaggingHost) -> Option<(SliceId, HostId)> {
    for id in moves.slices_by_rate(from.host) {
        if moves.now < moves.slices[&id].pinned_until {
            continue;
        }
        let rate = moves.rate(id);
        let Some((to, latency_there)) = fastest_target(moves, from.host, rate) else { continue };
        let latency_here = moves.loads[&from.host].expected_latency(-rate);
        if latency_there.max(latency_here) < from.latency * (1.0 - MIN_LATENCY_GAIN_FRACTION) {
            return Some((id, to));
        }
    }
    None
}

/// The host that would have the lowest latency with a slice of this rate, and that latency.
fn fastest_target(moves: &SliceMoves, from: HostId, rate: f64) -> Option<(HostId, Seconds)> {
    let more_demand = rate * COLD_CACHE_DEMAND_MULTIPLE;
    let others = moves.loads.iter().filter(|(id, _)| **id != from && Some(**id) != moves.ejected);
    let open = others.filter(|(_, load)| !load.is_cold || load.fits(more_demand));
    let latency = |load: &HostLoad| load.expected_latency(more_demand);
    let (to, load) = open.min_by(|a, b| latency(a.1).total_cmp(&latency(b.1)))?;
    Some((*to, latency(load)))
}
