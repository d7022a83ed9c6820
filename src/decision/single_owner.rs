//! Single owners: when a slice whose writes must go through one host may get a new owner.
//!
//! The table of the slice changes in two updates. The first one clears the table, at once if the owner must be left.
//! The second one names the next owner, when no write to the former owner can be in progress any more: all connected
//! proxies have acknowledged the cleared table, proxies that disconnected earlier write for `write_lease` at most, and
//! the last write takes up to `max_write_duration`. A table that was stored empty may just have been cleared by another
//! controller: it waits for the acknowledgement of a barrier and then for the same time.
//!
//! While the observation is interrupted ([`crate::interface::Observation`]), the slice may have been assigned to another
//! controller that names an owner, so none is named here. After that, an empty table may again have just been cleared
//! by another controller, unless there is none.
use super::slice::{Slice, Slices};
use super::table::tables_match;
use crate::interface::{ControllerConfig, Seconds, SliceAssignment, SliceId};
use crate::update_backlog::Update;
use std::collections::BTreeSet;

/// Whether the table of a slice may be published. A table that names an owner is cleared, which changes no other table:
/// that needs no wait. An owner is named only if no write to a former one is in progress, and while this controller
/// would hear of it if the slice were assigned elsewhere.
pub fn may_publish(now: Seconds, is_observing: bool, slice: &Slice) -> bool {
    let names_owner = !slice.published.is_empty();
    names_owner || (is_observing && slice.writes_end_at.is_some_and(|at| at <= now))
}

/// Whether no other controller can have changed the table of the assigned slice since this one published it.
pub fn is_table_history_known(
    config: &ControllerConfig,
    slices: &Slices,
    assignment: &SliceAssignment,
) -> bool {
    let SliceAssignment::Retained { slice, entries } = assignment else { return false };
    let is_as_published = |slice: &Slice| tables_match(&slice.published, entries);
    config.sole_controller && slices.get(slice).is_some_and(is_as_published)
}

/// Applies acknowledged updates: all connected proxies have cleared the tables of the updates' `cleared_slices`. An
/// update without recipients shows nothing, not even that it was carried out before the next proxy connects.
pub fn apply_acknowledged(
    now: Seconds,
    acknowledged: &[Update],
    last_disconnect_at: Seconds,
    config: &ControllerConfig,
    slices: &mut Slices,
) {
    let received = acknowledged.iter().filter(|update| !update.recipients.is_empty());
    for id in received.flat_map(|update| &update.cleared_slices) {
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
