//! The search that explorers share: how each state was reached, and what a search found.
use serde::Serialize;

/// A shortest sequence of steps that breaks an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Counterexample {
    /// The invariant that is broken, and how.
    #[serde(rename = "broken")]
    pub violation: String,
    /// The steps, in order.
    pub steps: Vec<String>,
}

/// What a search found.
#[derive(Clone, Debug, Serialize)]
pub struct Explored {
    /// States that were checked.
    pub states: usize,
    /// Whether every reachable state was checked.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The first violation that was found.
    pub counterexample: Option<Counterexample>,
}

impl Explored {
    /// A search that checked every reachable state and found no violation.
    pub(super) fn complete(states: usize) -> Explored {
        Explored { states, complete: true, counterexample: None }
    }

    /// A search that reached its limit of states.
    pub(super) fn limited(states: usize) -> Explored {
        Explored { states, complete: false, counterexample: None }
    }

    /// A search that ended at a violation.
    pub(super) fn violated(states: usize, violation: String, steps: Vec<String>) -> Explored {
        Explored { states, complete: false, counterexample: Some(Counterexample { violation, steps }) }
    }
}

/// A state's predecessor, and the step from there.
struct Arrival {
    predecessor: usize,
    step: String,
}

/// How each state was reached, by the number of the state.
pub(super) struct Paths {
    arrivals: Vec<Arrival>,
}

impl Paths {
    /// The paths of a search that knows its first state, number 0.
    pub fn new() -> Paths {
        Paths { arrivals: vec![Arrival { predecessor: 0, step: String::new() }] }
    }

    /// Adds a state; returns its number.
    pub fn add(&mut self, predecessor: usize, step: String) -> usize {
        self.arrivals.push(Arrival { predecessor, step });
        self.arrivals.len() - 1
    }

    /// The steps from the first state to a state, and one more.
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
