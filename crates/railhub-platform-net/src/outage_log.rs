//! Decides when an outage is logged: after a grace period, once for each cause, then as occasional reminders.
//!
//! States: no outage; unlogged (within the grace period); logged (each new cause up to a limit, then reminders).
use crate::peer_health::Outage;
use railhub::Seconds;

/// Seconds that an outage must last before it is logged.
pub const GRACE_PERIOD: Seconds = 5.0;
/// Seconds between log lines about an outage without a new cause.
pub const REMINDER_INTERVAL: Seconds = 60.0;
/// Maximum number of causes of one outage that are logged immediately; further causes are logged with the reminders.
const MAX_LOGGED_CAUSES: usize = 4;

/// A log line about an outage.
#[derive(Debug, PartialEq)]
pub enum OutageNotice {
    /// The outage is ongoing.
    Ongoing {
        /// Seconds since the outage began.
        elapsed: Seconds,
        /// The last error; empty if there is none.
        cause: String,
    },
    /// An outage that was logged has ended.
    Ended {
        /// Seconds that the outage lasted.
        elapsed: Seconds,
    },
}

/// Decides on the log lines about one kind of outage.
#[derive(Default)]
pub struct OutageLog {
    /// When the logged outage began; `None` if none is logged.
    logged_since: Option<Seconds>,
    logged_causes: Vec<String>,
    reminder_at: Seconds,
}

impl OutageLog {
    /// Returns what to log now, given the current outage, if there is one.
    pub fn check(&mut self, now: Seconds, outage: Option<Outage>) -> Option<OutageNotice> {
        let Some(outage) = outage else { return self.on_no_outage(now) };
        let elapsed = now - outage.since;
        let is_new_cause =
            !self.logged_causes.contains(&outage.cause) && self.logged_causes.len() < MAX_LOGGED_CAUSES;
        let is_due = is_new_cause || now >= self.reminder_at;
        if elapsed < GRACE_PERIOD || !is_due {
            return None;
        }
        if is_new_cause {
            self.logged_causes.push(outage.cause.clone());
        }
        self.logged_since.get_or_insert(outage.since);
        self.reminder_at = now + REMINDER_INTERVAL;
        Some(OutageNotice::Ongoing { elapsed, cause: outage.cause })
    }

    fn on_no_outage(&mut self, now: Seconds) -> Option<OutageNotice> {
        self.logged_causes.clear();
        let since = self.logged_since.take()?;
        Some(OutageNotice::Ended { elapsed: now - since })
    }
}
