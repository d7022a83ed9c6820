//! Failover: slices whose host must be left get a new owner at once.
//!
//! A host must be left when it is not usable or is ejected. A cold host above its offload limit gives up the slices
//! with the highest rates until its utilization is within its limit. The new owner is the standby of the slice, or else
//! the first host in rendezvous order that has capacity, or else the warm host with the lowest expected latency. If all
//! remaining hosts are cold and full, the slice has no owner: the excess operations are refused, or the remaining hosts
//! would fail too.
use super::slice_moves::{SliceMoves, COLD_CACHE_DEMAND_MULTIPLE};
use crate::decision::rendezvous;
use crate::decision::slow_start::started_long_ago;
use crate::interface::{HostId, Phase, SliceId};

/// Moves the slices that must leave their hosts; returns the number of moved slices.
pub fn fail_over(moves: &mut SliceMoves) -> usize {
    let mut leaving = slices_without_usable_owner(moves);
    leaving.extend(slices_offloaded_by_cold_hosts(moves));
    let mut moved = 0;
    for id in leaving {
        let slice = &moves.slices[&id];
        let (owner, preferred_host) = (slice.owner, slice.preferred_host.or(slice.owner));
        let target = failover_target(moves, id).or_else(|| fallback_host(moves, owner));
        if target != owner {
            moves.move_slice(id, target);
            moves.slices.get_mut(&id).expect("the moved slice is assigned").preferred_host = preferred_host;
            moved += 1;
        }
    }
    moved
}

fn slices_without_usable_owner(moves: &SliceMoves) -> Vec<SliceId> {
    let may_stay = |owner: HostId| moves.loads.contains_key(&owner) && Some(owner) != moves.ejected;
    let leaving = moves.slices.iter().filter(|(_, slice)| !slice.owner.is_some_and(may_stay));
    leaving.map(|(id, _)| *id).collect()
}

fn slices_offloaded_by_cold_hosts(moves: &SliceMoves) -> Vec<SliceId> {
    let mut offloaded = Vec::new();
    for (host, load) in moves.loads.iter() {
        if load.utilization(0.0) <= load.limits.offload_utilization {
            continue;
        }
        let mut remaining = *load;
        for id in moves.slices_by_rate(*host) {
            if remaining.fits(0.0) {
                break;
            }
            remaining.demand -= moves.rate(id);
            offloaded.push(id);
        }
    }
    offloaded
}

/// The host that takes over a slice, if a host has capacity for it or is warm.
fn failover_target(moves: &SliceMoves, id: SliceId) -> Option<HostId> {
    let rate = moves.rate(id);
    let standby = moves.slices[&id].standby;
    let eligible = || moves.loads.iter().filter(|(host, _)| Some(**host) != moves.ejected);
    let rank =
        |host: &HostId| (standby == Some(*host), rendezvous::rank(id, *host, moves.hosts[host].weight));
    let with_capacity = eligible().filter(|(_, load)| load.fits(rate * COLD_CACHE_DEMAND_MULTIPLE));
    let first = with_capacity.max_by(|a, b| rank(a.0).partial_cmp(&rank(b.0)).expect("finite"));
    let warm = eligible().filter(|(_, load)| !load.is_cold);
    let fastest = || warm.min_by(|a, b| a.1.expected_latency(rate).total_cmp(&b.1.expected_latency(rate)));
    first.or_else(fastest).map(|(host, _)| *host)
}

/// The owner of a slice for which no usable host was found: its present owner if that is listed and warm, even if it is
/// down, or else the first listed and warm host. A table may be empty only while every listed host is cold.
fn fallback_host(moves: &SliceMoves, owner: Option<HostId>) -> Option<HostId> {
    let is_listed_and_warm = |id: &HostId| {
        let host = moves.hosts.get(id);
        host.is_some_and(|host| {
            host.phase == Phase::Ready && started_long_ago(moves.now, host.started_at, moves.config)
        })
    };
    owner.filter(is_listed_and_warm).or_else(|| moves.hosts.keys().copied().find(is_listed_and_warm))
}
