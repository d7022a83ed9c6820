//! A broken invariant, as judges report it.
use serde::Serialize;

/// The first time that a run broke a rule.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Breach {
    /// The rule's name.
    pub rule: &'static str,
    /// Seconds of the run.
    pub at: f64,
    /// Who broke it and how.
    #[serde(rename = "what")]
    pub description: String,
}
