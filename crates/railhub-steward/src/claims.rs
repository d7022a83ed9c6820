//! Who may speak for a proxy, and how often. Free of I/O and of clocks.
use railhub::Seconds;

/// Messages a second a proxy may send for long, and how many at once: sums each second and one word for each
/// delta, with room for both to come late together.
const MESSAGES_A_SECOND: f64 = 50.0;
const MESSAGES_AT_ONCE: f64 = 500.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// Nobody speaks for the proxy yet.
    Free,
    /// The same process dials again: its older stream is dead, or soon will be.
    Replaces,
    /// Another process does, and its stream is alive: the newcomer is a mistake until that one ends.
    Taken,
}

/// `holder`: the process that speaks for the proxy now.
pub fn claim(holder: Option<u64>, newcomer: u64) -> RegistrationOutcome {
    match holder {
        None => RegistrationOutcome::Free,
        Some(process) if process == newcomer => RegistrationOutcome::Replaces,
        Some(_) => RegistrationOutcome::Taken,
    }
}

/// What a peer may still send.
pub struct Allowance {
    left: f64,
    at: Seconds,
}

impl Allowance {
    pub fn new(now: Seconds) -> Allowance {
        Allowance { left: MESSAGES_AT_ONCE, at: now }
    }

    /// Whether one more message is within it.
    pub fn spend(&mut self, now: Seconds) -> bool {
        let earned = (now - self.at).max(0.0) * MESSAGES_A_SECOND;
        self.left = (self.left + earned).min(MESSAGES_AT_ONCE) - 1.0;
        self.at = now;
        self.left >= 0.0
    }
}

#[cfg(test)]
mod tests;
