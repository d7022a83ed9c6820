//! The observations of a run in the form that the rules need: which processes were up, the views that each one showed, and
//! when faults were in force.
use crate::fault::FaultKind;
use crate::view::observation::{MemberProcess, Node, ViewObservation};
use crate::view::timeline::{may_cause_false_deaths, SETTLING_TIMEOUT};
use std::collections::BTreeMap;

/// Base loss from which on suspicions arise and are refuted throughout the run.
const LOSSY_BASE_LOSS: f64 = 0.05;

/// A view that was observed of a process.
pub(crate) struct Poll<'a> {
    pub at: f64,
    pub node: Node,
    pub controller: u16,
    pub process: u64,
    pub superseded: bool,
    pub alive: &'a [MemberProcess],
}

/// The time in which a process was up. The end is infinite for a process that was up until the end of the run.
#[derive(Clone, Copy)]
pub(crate) struct Lifetime {
    pub controller: u16,
    pub since: f64,
    pub until: f64,
}

/// A time in which a fault, or the start or end of a process, disturbed the run.
pub(crate) struct Disturbance {
    pub since: f64,
    pub until: f64,
    /// Whether live members may be declared dead because of the disturbance.
    pub may_cause_false_deaths: bool,
}

/// The traffic of all members in the run.
pub(crate) struct SentTotals {
    /// The end of the run.
    pub at: f64,
    pub datagrams: u64,
    pub bytes: u64,
    pub longest: usize,
    pub base_loss: f64,
}

pub(crate) struct History<'a> {
    pub observations: &'a [ViewObservation],
    pub polls: Vec<Poll<'a>>,
    pub lifetimes: BTreeMap<Node, Lifetime>,
    disturbances: Vec<Disturbance>,
    /// Time of the last observed view.
    pub end: f64,
}

impl<'a> History<'a> {
    pub fn new(observations: &'a [ViewObservation]) -> History<'a> {
        let mut history = History {
            observations,
            polls: Vec::new(),
            lifetimes: BTreeMap::new(),
            disturbances: Vec::new(),
            end: 0.0,
        };
        let mut faults_in_force: Vec<(f64, &FaultKind)> = Vec::new();
        for observation in observations {
            match observation {
                ViewObservation::Fault { at, begins: true, fault } => faults_in_force.push((*at, fault)),
                ViewObservation::Fault { at, begins: false, fault } => {
                    let position = faults_in_force.iter().position(|(_, active)| *active == fault);
                    if let Some(position) = position {
                        let (since, fault) = faults_in_force.remove(position);
                        history.add_disturbance(since, *at, may_cause_false_deaths(fault));
                    }
                }
                other => history.add_observation(other),
            }
        }
        for (since, fault) in faults_in_force {
            history.add_disturbance(since, f64::INFINITY, may_cause_false_deaths(fault));
        }
        history
    }

    fn add_observation(&mut self, observation: &'a ViewObservation) {
        match observation {
            ViewObservation::Started { at, node, controller } => {
                let lifetime = Lifetime { controller: *controller, since: *at, until: f64::INFINITY };
                self.lifetimes.insert(*node, lifetime);
                self.add_disturbance(*at, *at, true);
            }
            ViewObservation::Ended { at, node, .. } => {
                if let Some(lifetime) = self.lifetimes.get_mut(node) {
                    lifetime.until = *at;
                }
                self.add_disturbance(*at, *at, true);
            }
            ViewObservation::View { at, node, controller, process, superseded, alive, .. } => {
                self.polls.push(Poll {
                    at: *at,
                    node: *node,
                    controller: *controller,
                    process: *process,
                    superseded: *superseded,
                    alive,
                });
                self.end = self.end.max(*at);
            }
            _ => {}
        }
    }

    fn add_disturbance(&mut self, since: f64, until: f64, may_cause_false_deaths: bool) {
        self.disturbances.push(Disturbance { since, until, may_cause_false_deaths });
    }

    /// Time at which the last disturbance ended.
    pub fn last_disturbance(&self) -> f64 {
        self.disturbances.iter().map(|disturbance| disturbance.until).fold(0.0, f64::max)
    }

    /// Time from which on every view must be correct.
    pub fn settled_by(&self) -> f64 {
        self.last_disturbance() + SETTLING_TIMEOUT
    }

    /// Whether no disturbance that may cause false deaths was in force at a time, or ended in the `quiet_time` seconds before.
    pub fn is_quiet(&self, at: f64, quiet_time: f64) -> bool {
        let mut disturbances = self.disturbances.iter();
        !disturbances.any(|disturbance| {
            disturbance.may_cause_false_deaths
                && disturbance.since <= at
                && at < disturbance.until + quiet_time
        })
    }

    /// Whether a process was up until the end of the run.
    pub fn is_up_at_end(&self, node: Node) -> bool {
        self.lifetimes.get(&node).is_some_and(|lifetime| lifetime.until == f64::INFINITY)
    }

    /// The members that are actually alive at the end of the run, ordered by id, without superseded processes.
    pub fn actual_members(&self) -> Vec<MemberProcess> {
        let mut latest: BTreeMap<Node, &Poll> = BTreeMap::new();
        for poll in &self.polls {
            latest.insert(poll.node, poll);
        }
        let mut members: BTreeMap<u16, u64> = BTreeMap::new();
        for poll in latest.values() {
            if self.is_up_at_end(poll.node) && !poll.superseded {
                members.insert(poll.controller, poll.process);
            }
        }
        members.into_iter().collect()
    }

    pub fn sent_totals(&self) -> Option<SentTotals> {
        self.observations.iter().find_map(|observation| match *observation {
            ViewObservation::Sent { at, datagrams, bytes, longest, base_loss } => {
                Some(SentTotals { at, datagrams, bytes, longest, base_loss })
            }
            _ => None,
        })
    }

    /// Whether the base loss is so high that suspicions arise and are refuted throughout the run.
    pub fn is_lossy(&self) -> bool {
        self.sent_totals().is_some_and(|sent| sent.base_loss >= LOSSY_BASE_LOSS)
    }
}
