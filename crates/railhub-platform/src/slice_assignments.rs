//! Slices assigned since the last batch, kept until their tables are complete: the relay sends a table's entries right
//! after the assignment.
use crate::table::Table;
use railhub::{Seconds, SliceAssignment, SliceId, WeightedHost};

/// Time without an event after which the tables of assigned slices count as complete.
const ASSIGNMENT_IDLE_TIMEOUT: Seconds = 0.02;

/// Assignments whose entries may not all have arrived yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingAssignments {
    assignments: Vec<SliceAssignment>,
    last_event_at: Seconds,
}

impl PendingAssignments {
    /// A slice was assigned to this controller, or revoked from it.
    pub(crate) fn on_assigned(&mut self, now: Seconds, slice: SliceId, assigned: bool) {
        self.last_event_at = now;
        self.assignments.push(if assigned {
            SliceAssignment::Assigned { slice, entries: Table::new() }
        } else {
            SliceAssignment::Revoked { slice }
        });
    }

    /// Adds an entry to the latest assignment of its slice, pending here or in the next batch, or else to the table
    /// that the decision logic knows. With a single owner, the last entry replaces the table.
    pub(crate) fn on_stored_entry(
        &mut self,
        now: Seconds,
        slice: SliceId,
        entry: WeightedHost,
        single_owner: bool,
        batched: &mut [SliceAssignment],
        known_table: impl FnOnce() -> Option<Table>,
    ) {
        self.last_event_at = now;
        let candidates = batched.iter_mut().chain(&mut self.assignments);
        match candidates.filter(|assignment| assignment.slice() == slice).last() {
            Some(SliceAssignment::Revoked { .. }) => {}
            Some(SliceAssignment::Assigned { entries, .. } | SliceAssignment::Retained { entries, .. }) => {
                add_entry(entries, entry, single_owner);
            }
            None => {
                if let Some(mut entries) = known_table() {
                    add_entry(&mut entries, entry, single_owner);
                    self.assignments.push(SliceAssignment::Assigned { slice, entries });
                }
            }
        }
    }

    /// Discards all assignments: a snapshot contains them.
    pub(crate) fn clear(&mut self) {
        self.assignments.clear();
    }

    /// Whether there are no assignments.
    pub(crate) fn is_empty(&self) -> bool {
        self.assignments.is_empty()
    }

    /// The slices, each with whether it is assigned.
    pub(crate) fn slices(&self) -> Vec<(SliceId, bool)> {
        let is_assigned =
            |assignment: &SliceAssignment| !matches!(assignment, SliceAssignment::Revoked { .. });
        self.assignments.iter().map(|assignment| (assignment.slice(), is_assigned(assignment))).collect()
    }

    /// Moves all assignments into the next batch.
    pub(crate) fn move_into(&mut self, batched: &mut Vec<SliceAssignment>) {
        batched.append(&mut self.assignments);
    }

    /// When the assignments count as complete if no event arrives before.
    pub(crate) fn idle_deadline(&self) -> Option<Seconds> {
        (!self.assignments.is_empty()).then_some(self.last_event_at + ASSIGNMENT_IDLE_TIMEOUT)
    }

    /// Whether there are assignments and all of them count as complete.
    pub(crate) fn are_complete(&self, now: Seconds) -> bool {
        !self.assignments.is_empty() && now - self.last_event_at >= ASSIGNMENT_IDLE_TIMEOUT
    }
}

/// Adds a stored entry, which may have weight 0. With a single owner it becomes the only entry.
fn add_entry(table: &mut Table, entry: WeightedHost, single_owner: bool) {
    table.retain(|known| known.host != entry.host && !single_owner);
    table.push(entry);
}
