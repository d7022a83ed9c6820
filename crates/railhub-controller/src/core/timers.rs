//! Timers set by the decision engine.
use railhub::{Seconds, TimerId};

/// A timer that is not due yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingTimer {
    pub(super) due: Seconds,
    pub(super) timer: TimerId,
}

/// The timers in the order in which they were set.
#[derive(Default)]
pub(super) struct Timers {
    pending: Vec<PendingTimer>,
}

impl Timers {
    pub(super) fn set(&mut self, due: Seconds, timer: TimerId) {
        self.pending.push(PendingTimer { due, timer });
    }

    /// The time at which the next timer is due, if any is set.
    pub(super) fn next_due(&self) -> Option<Seconds> {
        self.pending.iter().map(|pending| pending.due).min_by(Seconds::total_cmp)
    }

    /// Removes and returns the timers that are due, in the order in which they were set.
    pub(super) fn take_due(&mut self, now: Seconds) -> Vec<PendingTimer> {
        let due = self.pending.iter().filter(|pending| pending.due <= now).copied().collect();
        self.pending.retain(|pending| pending.due > now);
        due
    }
}
