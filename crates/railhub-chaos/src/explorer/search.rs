//! Common types of the explorers: how each state was reached, and the result of a search.
use serde::Serialize;

/// A shortest sequence of steps that violates an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Counterexample {
    /// The violated invariant, and how it is violated.
    #[serde(rename = "broken")]
    pub violation: String,
    /// The steps, in order.
    pub steps: Vec<String>,
}

/// The result of a search.
#[derive(Clone, Debug, Serialize)]
pub struct SearchResult {
    /// Number of states that were reached.
    pub states: usize,
    /// Whether the search covered every reachable state.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The first violation that was found, if any.
    pub counterexample: Option<Counterexample>,
}

impl SearchResult {
    /// A search that covered every reachable state and found no violation.
    pub(super) fn complete(states: usize) -> SearchResult {
        SearchResult { states, complete: true, counterexample: None }
    }

    /// A search that reached its limit of states without a violation.
    pub(super) fn limited(states: usize) -> SearchResult {
        SearchResult { states, complete: false, counterexample: None }
    }

    /// A search that found a violation.
    pub(super) fn violated(states: usize, violation: String, steps: Vec<String>) -> SearchResult {
        SearchResult { states, complete: false, counterexample: Some(Counterexample { violation, steps }) }
    }
}

/// How a state was first reached: its predecessor, and the step from there.
struct Arrival {
    predecessor: usize,
    step: String,
}

/// How each state was first reached, by the number of the state.
pub(super) struct Paths {
    arrivals: Vec<Arrival>,
}

impl Paths {
    /// The paths of a search that has reached only its initial state, which has the number 0.
    pub fn new() -> Paths {
        Paths { arrivals: vec![Arrival { predecessor: 0, step: String::new() }] }
    }

    /// Adds a state and returns its number.
    pub fn add(&mut self, predecessor: usize, step: String) -> usize {
        self.arrivals.push(Arrival { predecessor, step });
        self.arrivals.len() - 1
    }

    /// The steps from the initial state to a state, followed by `last_step`.
    pub fn steps_with(&self, mut state: usize, last_step: String) -> Vec<String> {
        let mut steps = vec![last_step];
        while state > 0 {
            steps.push(self.arrivals[state].step.clone());
            state = self.arrivals[state].predecessor;
        }
        steps.reverse();
        steps
    }
}
