//! The observations of a run, arranged for the rules: who was up, what each process showed, and when faults were in force.
use crate::fault::FaultKind;
use crate::view::observation::{MemberProcess, Node, ViewObservation};
use crate::view::timeline::{may_cause_false_deaths, SETTLING_TIMEOUT};
use std::collections::BTreeMap;

/// The base loss from which suspicions come and go for ever.
const LOSSY_BASE_LOSS: f64 = 0.05;

/// A view that a process showed.
pub(crate) struct Poll<'a> {
    pub at: f64,
    pub node: Node,
    pub controller: u16,
    pub process: u64,
    pub superseded: bool,
    pub alive: &'a [MemberProcess],
}

/// When a process was up. The end is infinite for one that lives on.
#[derive(Clone, Copy)]
pub(crate) struct Lifetime {
    pub controller: u16,
    pub since: f64,
    pub until: f64,
}

/// When something disturbed the run.
pub(crate) struct Disturbance {
    pub since: f64,
    pub until: f64,
    /// Whether live members may be declared dead meanwhile.
    pub may_cause_false_deaths: bool,
}

/// What all members sent.
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
    /// When the last view was shown.
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

    /// When the last disturbance ended.
    pub fn last_disturbance(&self) -> f64 {
        self.disturbances.iter().map(|disturbance| disturbance.until).fold(0.0, f64::max)
    }

    /// When every view must be true.
    pub fn settled_by(&self) -> f64 {
        self.last_disturbance() + SETTLING_TIMEOUT
    }

    /// Whether nothing that may cause false deaths has happened for so many seconds.
    pub fn is_quiet(&self, at: f64, quiet_time: f64) -> bool {
        let mut disturbances = self.disturbances.iter();
        !disturbances.any(|disturbance| {
            disturbance.may_cause_false_deaths
                && disturbance.since <= at
                && at < disturbance.until + quiet_time
        })
    }

    /// Whether a process lives at the end.
    pub fn is_up(&self, node: Node) -> bool {
        self.lifetimes.get(&node).is_some_and(|lifetime| lifetime.until == f64::INFINITY)
    }

    /// The members that live at the end, by id, without superseded processes.
    pub fn truth(&self) -> Vec<MemberProcess> {
        let mut latest: BTreeMap<Node, &Poll> = BTreeMap::new();
        for poll in &self.polls {
            latest.insert(poll.node, poll);
        }
        let mut members: BTreeMap<u16, u64> = BTreeMap::new();
        for poll in latest.values() {
            if self.is_up(poll.node) && !poll.superseded {
                members.insert(poll.controller, poll.process);
            }
        }
        members.into_iter().collect()
    }

    pub fn sent(&self) -> Option<SentTotals> {
        self.observations.iter().find_map(|observation| match *observation {
            ViewObservation::Sent { at, datagrams, bytes, longest, base_loss } => {
                Some(SentTotals { at, datagrams, bytes, longest, base_loss })
            }
            _ => None,
        })
    }

    /// Whether so much is lost without any fault that suspicions come and go for ever.
    pub fn is_lossy(&self) -> bool {
        self.sent().is_some_and(|sent| sent.base_loss >= LOSSY_BASE_LOSS)
    }
}
