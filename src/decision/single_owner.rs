//! Single owners: when a slice whose writes must go through one host may get a new owner.
//!
//! The table of the slice changes in two updates. The first one clears the table, at once if the owner must be left.
//! The second one names the next owner, when no write to the former owner can be in progress any more: all connected
//! proxies have acknowledged the cleared table, proxies that disconnected earlier write for `write_lease` at most, and
//! the last write takes up to `max_write_duration`. A table that was stored empty may just have been cleared by another
//! controller: it waits for the acknowledgement of a barrier and then for the same time.
use super::slice::{Slice, Slices};
use crate::interface::{ControllerConfig, Seconds, SliceId};
use crate::update_backlog::Update;
use std::collections::BTreeSet;

/// Whether the table of a slice may be published: it names its owner, or no write to a former owner is in progress.
pub fn may_publish(now: Seconds, slice: &Slice) -> bool {
    !slice.published.is_empty() || slice.writes_end_at.is_some_and(|at| at <= now)
}

/// Applies acknowledged updates: all connected proxies have cleared the tables of the updates' `cleared_slices`.
pub fn apply_acknowledged(
    now: Seconds,
    acknowledged: &[Update],
    last_disconnect_at: Seconds,
    config: &ControllerConfig,
    slices: &mut Slices,
) {
    for id in acknowledged.iter().flat_map(|update| &update.cleared_slices) {
        if let Some(slice) = slices.get_mut(id) {
            slice.writes_end_at = Some(writes_end_at(now, last_disconnect_at, slice.assigned_at, config));
        }
    }
}

/// When the last write to the former owner has ended, given that all connected proxies have cleared the table by `now`.
fn writes_end_at(
    now: Seconds,
    last_disconnect_at: Seconds,
    assigned_at: Seconds,
    config: &ControllerConfig,
) -> Seconds {
    let last_write_starts = now.max(last_disconnect_at.max(assigned_at) + config.write_lease);
    last_write_starts + config.max_write_duration
}

/// Slices with an empty table for which neither an acknowledged update nor one in the backlog shows that all proxies
/// have the empty table.
pub fn unconfirmed_cleared_slices(slices: &Slices, in_backlog: &BTreeSet<SliceId>) -> Vec<SliceId> {
    let mut unconfirmed = Vec::new();
    for (id, slice) in slices {
        if slice.published.is_empty() && slice.writes_end_at.is_none() && !in_backlog.contains(id) {
            unconfirmed.push(*id);
        }
    }
    unconfirmed
}
