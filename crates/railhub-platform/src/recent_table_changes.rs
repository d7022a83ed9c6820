//! Tables that accepted commands have changed recently.
//!
//! Calls and news have separate connections. So a slice may be assigned with a table from before a command, though the
//! response to that command came first.
use crate::command::Command;
use railhub::{Seconds, SliceId};
use std::collections::BTreeMap;

/// Seconds after the response to a command within which the news may still be older than the command: the driver ends a
/// subscription after 2.5 s of silence, and passes the time at least every 0.2 s.
const MAX_NEWS_DELAY: Seconds = 3.0;

/// When a command that changes the table of a slice was last accepted, for recent commands.
#[derive(Debug, Default)]
pub(crate) struct RecentTableChanges {
    accepted_at: BTreeMap<SliceId, Seconds>,
}

impl RecentTableChanges {
    /// The relay accepted these commands.
    pub(crate) fn on_accepted(&mut self, now: Seconds, commands: &[Command]) {
        self.accepted_at.retain(|_, at| now - *at <= MAX_NEWS_DELAY);
        self.accepted_at.extend(commands.iter().filter_map(Command::table).map(|slice| (slice, now)));
    }

    /// Whether the news of this slice may be older than a command that was accepted.
    pub(crate) fn contains(&self, now: Seconds, slice: SliceId) -> bool {
        self.accepted_at.get(&slice).is_some_and(|at| now - at <= MAX_NEWS_DELAY)
    }
}
