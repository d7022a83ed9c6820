//! When an outage is worth a log line: once it lasts, once for each cause, then seldom.
use crate::health::Outage;
use railhub::Seconds;

/// Seconds an outage lasts before it is logged.
pub const GRACE: Seconds = 5.0;
/// Seconds between lines about an outage whose causes are all logged.
pub const REMINDER_INTERVAL: Seconds = 60.0;
/// Causes of one outage that are logged at once; further ones wait for the reminder.
const MAX_CAUSES: usize = 4;

#[derive(Debug, PartialEq)]
pub enum Notice {
    Lasts { seconds: Seconds, cause: String },
    Ended { seconds: Seconds },
}

/// The log lines of one kind of outage.
#[derive(Default)]
pub struct OutageLog {
    /// Since when the outage lasts that was logged.
    logged: Option<Seconds>,
    causes: Vec<String>,
    reminder_at: Seconds,
}

impl OutageLog {
    /// What to log now, given the outage that lasts.
    pub fn check(&mut self, now: Seconds, outage: Option<Outage>) -> Option<Notice> {
        let Some(outage) = outage else {
            self.causes.clear();
            return self.logged.take().map(|since| Notice::Ended { seconds: now - since });
        };
        let seconds = now - outage.since;
        let is_new = !self.causes.contains(&outage.cause) && self.causes.len() < MAX_CAUSES;
        if seconds < GRACE || !(is_new || now >= self.reminder_at) {
            return None;
        }
        if is_new {
            self.causes.push(outage.cause.clone());
        }
        self.logged.get_or_insert(outage.since);
        self.reminder_at = now + REMINDER_INTERVAL;
        Some(Notice::Lasts { seconds, cause: outage.cause })
    }
}
