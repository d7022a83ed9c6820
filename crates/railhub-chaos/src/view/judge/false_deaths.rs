//! Finds processes that were declared dead while they were up.
use super::history::{History, Poll};
use crate::view::observation::ViewObservation;

/// A process that was declared dead while it was up.
pub(crate) struct FalseDeath {
    /// Time of the declaration, in seconds.
    pub at: f64,
    /// The controller that declared the process dead.
    pub declared_by: u16,
    /// The controller whose process was declared dead.
    pub subject: u16,
    /// The process number that was declared dead.
    pub process: u64,
}

/// The false deaths of a run, in the order in which they were declared.
pub(crate) fn false_deaths<'a>(history: &'a History) -> impl Iterator<Item = FalseDeath> + 'a {
    history.observations.iter().filter_map(|observation| {
        let ViewObservation::DeclaredDead { at, by, about, process, .. } = *observation else { return None };
        // The polls show which node has the process number; the node's lifetime shows whether it was up.
        let is_subject = |poll: &Poll| poll.controller == about && poll.process == process;
        let was_up = |poll: &Poll| {
            let lifetime = history.lifetimes.get(&poll.node);
            lifetime.is_some_and(|lifetime| (lifetime.since..lifetime.until).contains(&at))
        };
        let is_false = history.polls.iter().any(|poll| is_subject(poll) && was_up(poll));
        is_false.then_some(FalseDeath { at, declared_by: by, subject: about, process })
    })
}
