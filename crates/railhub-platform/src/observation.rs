//! Whether the controller hears of every change of proxy streams and slice assignments.
//!
//! The observation is interrupted while no subscription is current: from its end, or from the request of one under a
//! newer configuration, until a later snapshot is complete. What a snapshot replaces may have changed several times in
//! between. So the batch that carries the snapshot is marked as [`Observation::Resumed`].
//!
//! A subscription that is open but silent loses nothing. Its news may be late, though, so the observation counts as
//! interrupted until the next event; so it does while the tables of newly assigned slices are being received.
use railhub::Observation;

/// Tracks interruptions from one batch to the next.
#[derive(Debug)]
pub(crate) struct ObservationTracker {
    /// Changes may have been missed since the latest batch that was not interrupted.
    may_have_missed_changes: bool,
}

impl Default for ObservationTracker {
    /// Before the first snapshot, nothing has been observed.
    fn default() -> ObservationTracker {
        ObservationTracker { may_have_missed_changes: true }
    }
}

impl ObservationTracker {
    /// Changes may be missed from now on.
    pub(crate) fn on_interrupted(&mut self) {
        self.may_have_missed_changes = true;
    }

    /// The observation of the batch that is handled now. `is_current`: a snapshot is complete and its subscription is
    /// open; `is_late`: there may be changes that the batch does not contain yet, but none that are missed.
    pub(crate) fn next_batch(&mut self, is_current: bool, is_late: bool) -> Observation {
        if !is_current {
            self.may_have_missed_changes = true;
        }
        if !is_current || is_late {
            Observation::Interrupted
        } else if std::mem::take(&mut self.may_have_missed_changes) {
            Observation::Resumed
        } else {
            Observation::Complete
        }
    }
}

#[cfg(test)]
mod tests;
