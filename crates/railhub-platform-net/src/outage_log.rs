//! When an outage is worth a log line: once it lasts, once for each cause, then seldom.
//!
//! States: no outage; unlogged (it has not lasted long); logged (each new cause, up to a few, and reminders follow).
use crate::peer_health::Outage;
use railhub::Seconds;

/// Seconds an outage lasts before it is logged.
pub const GRACE_PERIOD: Seconds = 5.0;
/// Seconds between lines about an outage whose causes are all logged.
pub const REMINDER_INTERVAL: Seconds = 60.0;
/// Causes of one outage that are logged at once; further ones wait for the reminder.
const MAX_LOGGED_CAUSES: usize = 4;

/// What is to be logged of an outage.
#[derive(Debug, PartialEq)]
pub enum OutageNotice {
    /// It lasts.
    Ongoing {
        /// Seconds since it began.
        elapsed: Seconds,
        /// The last error; empty where there is none.
        cause: String,
    },
    /// One that was logged has ended.
    Ended {
        /// Seconds that it lasted.
        elapsed: Seconds,
    },
}

/// Decides on the log lines of one kind of outage.
#[derive(Default)]
pub struct OutageLog {
    /// When the outage began that was logged.
    logged_since: Option<Seconds>,
    logged_causes: Vec<String>,
    reminder_at: Seconds,
}

impl OutageLog {
    /// What to log now, given the outage that lasts, if one does.
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
