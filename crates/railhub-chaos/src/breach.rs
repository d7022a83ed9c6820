//! The breach of a rule, as judges report it.
use serde::Serialize;

/// The first breach of one rule in a run.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Breach {
    /// Name of the rule.
    pub rule: &'static str,
    /// Time of the breach, in seconds since the start of the run.
    pub at: f64,
    /// Which controllers, processes or proxies broke the rule, and how.
    #[serde(rename = "what")]
    pub description: String,
}
