//! Single owners: when a slice whose writes must go through one host may have a new owner.
//!
//! Its table changes in two updates. The first clears it, at once where the owner must be left. The second names the
//! next owner, when no write to the former one can be in progress: all connected proxies have acknowledged the
//! clear, proxies that disconnected before write for `write_lease` at most, and the last write lasts
//! `max_write_duration`. A table that was stored empty may have just been cleared by another controller: it waits for
//! the acknowledgement of a barrier and then as long.
use super::slice::{Slice, Slices};
use crate::interface::{ControllerConfig, Seconds, SliceId};
use crate::update_backlog::Update;
use std::collections::BTreeSet;

/// The slice's table may be published: it names its owner, or no write to a former one is in progress.
pub fn may_publish(now: Seconds, slice: &Slice) -> bool {
    !slice.published.is_empty() || slice.writes_end_at.is_some_and(|at| at <= now)
}

/// Applies acknowledged updates: all connected proxies know by now that these slices' tables are clear.
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

/// When the last write to the former owner has ended, once all connected proxies know that the table is clear.
fn writes_end_at(
    now: Seconds,
    last_disconnect_at: Seconds,
    assigned_at: Seconds,
    config: &ControllerConfig,
) -> Seconds {
    let last_write_starts = now.max(last_disconnect_at.max(assigned_at) + config.write_lease);
    last_write_starts + config.max_write_duration
}

/// Slices with a clear table of which no update in the backlog will show that all proxies know.
pub fn unconfirmed_cleared_slices(slices: &Slices, in_backlog: &BTreeSet<SliceId>) -> Vec<SliceId> {
    let mut unconfirmed = Vec::new();
    for (id, slice) in slices {
        if slice.published.is_empty() && slice.writes_end_at.is_none() && !in_backlog.contains(id) {
            unconfirmed.push(*id);
        }
    }
    unconfirmed
}
