//! The verdict on one invariant: the number of checks, how close they came to the limit, and the violations.
use serde::Serialize;

/// Violations that a verdict describes; further ones are only counted.
const MAX_DESCRIBED_VIOLATIONS: usize = 5;
/// Fraction of the limit that a violated condition counts as having used; a condition has no limit of its own.
const VIOLATED_LIMIT_FRACTION: f64 = 2.0;

/// One violation of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Seconds on the recording's clock.
    pub at: f64,
    /// What was observed, in a sentence.
    #[serde(rename = "what")]
    pub description: String,
}

/// The verdict on one invariant over one recording.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The invariant's number.
    pub rule: u8,
    /// The invariant's name.
    pub name: &'static str,
    /// No check failed. Proves nothing while `check_count` is 0.
    pub kept: bool,
    /// The largest fraction of the limit that a check used; the invariant is violated above 1.
    #[serde(rename = "worst")]
    pub max_limit_fraction: f64,
    /// The number of checks.
    #[serde(rename = "checked")]
    pub check_count: u64,
    /// The number of checks that failed.
    #[serde(rename = "broken")]
    pub violation_count: u64,
    /// The first violations; further ones are only counted.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

impl Verdict {
    pub(crate) fn new(rule: u8, name: &'static str) -> Verdict {
        Verdict {
            rule,
            name,
            kept: true,
            max_limit_fraction: 0.0,
            check_count: 0,
            violation_count: 0,
            violations: Vec::new(),
        }
    }

    /// Counts one check that used `limit_fraction` of its limit. Above 1 it is a violation, described by `describe`.
    pub(crate) fn check(&mut self, at: f64, limit_fraction: f64, describe: impl FnOnce() -> String) {
        self.check_count += 1;
        self.max_limit_fraction = self.max_limit_fraction.max(limit_fraction);
        if limit_fraction > 1.0 {
            self.kept = false;
            self.violation_count += 1;
            if self.violations.len() < MAX_DESCRIBED_VIOLATIONS {
                self.violations.push(Violation { at, description: describe() });
            }
        }
    }

    /// Counts one check of a condition that either holds or is violated.
    pub(crate) fn check_condition(&mut self, at: f64, violated: bool, describe: impl FnOnce() -> String) {
        let limit_fraction = if violated { VIOLATED_LIMIT_FRACTION } else { 0.0 };
        self.check(at, limit_fraction, describe);
    }

    /// Counts one check that cannot fail.
    pub(crate) fn check_passed(&mut self) {
        self.check_count += 1;
    }
}
