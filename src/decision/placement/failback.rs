//! Fail-back: slices return to the host that failover moved them from.
//!
//! Only a few slices return in each tick, so that a second failure of the host affects few of them, and a slice returns
//! only if the host has capacity for it and is expected to serve it faster than the current owner.
use super::slice_moves::{SliceMoves, COLD_CACHE_DEMAND_MULTIPLE};
use crate::interface::{HostId, SliceId};

/// Maximum number of slices that return in one tick.
const MAX_FAILBACKS_PER_TICK: usize = 2;

/// Moves slices back to their preferred hosts.
pub fn fail_back(moves: &mut SliceMoves) {
    let mut remaining = MAX_FAILBACKS_PER_TICK;
    let candidates: Vec<(SliceId, HostId)> =
        moves.slices.iter().filter_map(|(id, slice)| Some((*id, slice.preferred_host?))).collect();
    for (id, host) in candidates {
        if remaining > 0 && can_fail_back(moves, id, host) {
            remaining -= 1;
            moves.move_slice(id, Some(host));
        }
    }
}

fn can_fail_back(moves: &SliceMoves, id: SliceId, host: HostId) -> bool {
    let slice = &moves.slices[&id];
    let more_demand = moves.rate(id) * COLD_CACHE_DEMAND_MULTIPLE;
    let owner_load = slice.owner.and_then(|owner| moves.loads.get(&owner));
    let present_latency = owner_load.map_or(f64::INFINITY, |load| load.expected_latency(0.0));
    let is_better = moves
        .loads
        .get(&host)
        .is_some_and(|load| load.fits(more_demand) && load.expected_latency(more_demand) < present_latency);
    is_better && moves.ejected != Some(host) && moves.now >= slice.pinned_until
}
