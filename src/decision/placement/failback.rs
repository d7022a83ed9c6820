//! Fail-back: slices return to the host they were taken from.
//!
//! A few slices each tick, so that a relapse costs little, and each only where its host has capacity for it and will
//! serve it faster than the present owner does.
use super::slice_moves::{SliceMoves, COLD_CACHE_DEMAND_MULTIPLE};
use crate::interface::{HostId, SliceId};

/// Slices that return in one tick.
const MAX_FAILBACKS_PER_TICK: usize = 2;

/// Moves slices back.
pub fn fail_back(moves: &mut SliceMoves) {
    let mut remaining = MAX_FAILBACKS_PER_TICK;
    let away: Vec<(SliceId, HostId)> =
        moves.slices.iter().filter_map(|(id, slice)| Some((*id, slice.preferred_host?))).collect();
    for (id, host) in away {
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
