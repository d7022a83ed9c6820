//! Judges the five rules from a record alone: what crossed the sockets, and what the hosts are.
//!
//! Shares no code with what a steward decides by, and knows nothing of it. Each rule is a function over the
//! events in the order of their times; it says whether the rule was kept, how near it came, and where it broke.
mod channel;
mod charge;
mod cold;
mod leaving;
mod lost;
mod sharing;
mod slow;
mod told;
mod twice;

pub use sharing::taken_up;

use railhub_record::{Event, Limits, What};
use serde::Serialize;

/// Breaches that a verdict names; the rest are counted.
const NAMED: usize = 5;

#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// Seconds on the record's clock.
    pub at: f64,
    pub what: String,
}

#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub rule: u8,
    pub name: &'static str,
    pub kept: bool,
    /// The nearest it came: part of the limit that was used; past 1 the rule is broken.
    pub worst: f64,
    /// How many things were looked at: none means that nothing is proved.
    pub checked: u64,
    pub broken: u64,
    pub breaches: Vec<Breach>,
}

impl Verdict {
    fn new(rule: u8, name: &'static str) -> Verdict {
        Verdict { rule, name, kept: true, worst: 0.0, checked: 0, broken: 0, breaches: Vec::new() }
    }

    /// One thing looked at, and the part of its limit that it used.
    fn look(&mut self, at: f64, used: f64, what: impl FnOnce() -> String) {
        self.checked += 1;
        self.worst = self.worst.max(used);
        if used > 1.0 {
            self.kept = false;
            self.broken += 1;
            if self.breaches.len() < NAMED {
                self.breaches.push(Breach { at, what: what() });
            }
        }
    }
}

/// Seconds of a run, and slices, that are believed: a script has 3600 and 60,000 at the most, and looking through
/// more would take for ever.
const LONGEST_RUN: f64 = 86_400.0;
const SLICES_MOST: u32 = 1 << 16;

/// The verdicts on all five rules, and, where stewards share the slices, on what they promise; an error if the record does not say what the rules are.
pub fn judge(events: &[Event]) -> Result<Vec<Verdict>, String> {
    let limits = limits(events).ok_or("the record has no limits, or some that cannot be")?;
    let mut verdicts = vec![
        lost::judge(events, limits),
        twice::judge(events, limits),
        leaving::judge(events, limits),
        cold::judge(events, limits),
        channel::judge(events, limits),
    ];
    if charge::is_shared(events) {
        verdicts.extend(sharing::judge(events));
    }
    Ok(verdicts)
}

/// What the rules of a run are. A record that says what cannot be says nothing.
pub fn limits(events: &[Event]) -> Option<&Limits> {
    let found = events.iter().find_map(|event| match &event.what {
        Some(What::Limits(limits)) => Some(limits),
        _ => None,
    });
    found.filter(|limits| {
        limits.from >= 0.0
            && (0.0..=LONGEST_RUN).contains(&(limits.until - limits.from))
            && limits.slices <= SLICES_MOST
    })
}

#[cfg(test)]
mod tests;
