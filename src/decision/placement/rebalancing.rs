//! Rebalancing: slices leave lagging hosts, whose latency is higher than that of the others.
//!
//! A host lags while its expected latency exceeds `LAG_LATENCY_MULTIPLE` times the median, for `MIN_LAGGING_TICKS`
//! consecutive ticks. Its slice with the highest rate then moves to the host with the lowest latency, or a slice with a
//! lower rate if the first one would only make the other host lag. The moves are limited to one slice per host and a
//! fraction of the hosts in each tick, and by a quota per day.
use super::slice_moves::{SliceMoves, COLD_CACHE_DEMAND_MULTIPLE};
use crate::decaying::quantile;
use crate::decision::load_estimate::HostLoad;
use crate::interface::{HostId, Seconds, SliceId};

/// Multiple of the median latency above which a host lags.
const LAG_LATENCY_MULTIPLE: f64 = 1.25;
/// Consecutive ticks for which a host lags before a slice leaves it: a single noisy report must not cause a move.
pub const MIN_LAGGING_TICKS: u32 = 2;
/// Fraction by which a move must reduce the latency to be worth the cost of a cold cache.
const MIN_LATENCY_GAIN_FRACTION: f64 = 0.1;
/// Fraction of the hosts that may give up a slice in one tick: latencies lag behind by one report.
const MAX_REBALANCED_HOSTS_FRACTION: f64 = 0.3;
/// Moves per second that each slice adds to the quota, about 5000 a day.
const MOVE_QUOTA_RATE: f64 = 0.058;

/// The moves that rebalancing may still make: a token bucket that holds at most one move per slice.
#[derive(Default)]
pub struct MoveQuota {
    /// Moves that may still be made.
    pub available: f64,
    /// When the quota was last refilled.
    pub refilled_at: Seconds,
}

impl MoveQuota {
    /// Creates a full quota.
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

/// Counts the ticks for which each host has lagged, and returns the hosts that have lagged for long enough, the slowest
/// first.
fn lagging_hosts(moves: &mut SliceMoves) -> Vec<LaggingHost> {
    let latencies = moves.loads.values().map(|load| load.expected_latency(0.0)).collect();
    let Some(median) = quantile(latencies, 0.5) else { return Vec::new() };
    let mut lagging = Vec::new();
    for (id, load) in moves.loads.iter() {
        let host = moves.hosts.get_mut(id).expect("each load belongs to a known host");
        let latency = load.expected_latency(0.0);
        let is_lagging = latency > LAG_LATENCY_MULTIPLE * median;
        host.lagging_ticks = if is_lagging { host.lagging_ticks + 1 } else { 0 };
        if host.lagging_ticks >= MIN_LAGGING_TICKS {
            lagging.push(LaggingHost { host: *id, latency });
        }
    }
    lagging.sort_by(|a, b| b.latency.total_cmp(&a.latency).then(a.host.cmp(&b.host)));
    lagging
}

/// The slice with the highest rate whose move reduces the latency enough at both hosts, and its new host.
fn beneficial_move(moves: &SliceMoves, from: &LaggingHost) -> Option<(SliceId, HostId)> {
    for id in moves.slices_by_rate(from.host) {
        if moves.now < moves.slices[&id].pinned_until {
            continue;
        }
        let rate = moves.rate(id);
        let Some((to, target_latency)) = fastest_target(moves, from.host, rate) else { continue };
        let source_latency = moves.loads[&from.host].expected_latency(-rate);
        if target_latency.max(source_latency) < from.latency * (1.0 - MIN_LATENCY_GAIN_FRACTION) {
            return Some((id, to));
        }
    }
    None
}

/// The host that would have the lowest latency with a slice of this rate added, and that latency.
fn fastest_target(moves: &SliceMoves, from: HostId, rate: f64) -> Option<(HostId, Seconds)> {
    let more_demand = rate * COLD_CACHE_DEMAND_MULTIPLE;
    let others = moves.loads.iter().filter(|(id, _)| **id != from && Some(**id) != moves.ejected);
    let eligible = others.filter(|(_, load)| !load.is_cold || load.fits(more_demand));
    let latency = |load: &HostLoad| load.expected_latency(more_demand);
    let (to, load) = eligible.min_by(|a, b| latency(a.1).total_cmp(&latency(b.1)))?;
    Some((*to, latency(load)))
}
