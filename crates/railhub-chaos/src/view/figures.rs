//! Measures a view run: how fast it settled, how fast deaths were detected, and how much traffic and processor time it
//! used.
use crate::view::judge::false_deaths::false_deaths;
use crate::view::judge::history::{History, Lifetime};
use crate::view::observation::{Node, ViewObservation};
use serde::Serialize;

/// Seconds after a death in which its detection is measured. Deaths after which another process of the controller starts
/// within this time are not measured.
const DETECTION_WINDOW: f64 = 12.0;
/// Seconds for which a process must have been up before a death for its detection to be measured.
const MIN_OBSERVER_UPTIME: f64 = 2.0;
/// Seconds for which all views must be correct at the end of a run that has settled.
const MIN_SETTLED_TIME: f64 = 0.3;

/// The measurements of a run. Times are in seconds.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct ViewFigures {
    /// Time from the last disturbance to the last incorrect view; `None` if the run did not settle.
    #[serde(rename = "settled")]
    pub settling_time: Option<f64>,
    /// For each death and each process that lived on: the time until the view of this process showed the death.
    #[serde(rename = "known")]
    pub detection_times: Vec<f64>,
    /// Number of times that a live process was declared dead, including those during disturbances.
    #[serde(rename = "slanders")]
    pub false_deaths: u64,
    /// Mean number of datagrams that a member sent per second.
    pub datagrams: f64,
    /// Mean number of bytes that a member sent per second.
    pub bytes: f64,
    /// Mean fraction of a core that a member used; only measured on real processes.
    #[serde(rename = "processor")]
    pub processor_fraction: Option<f64>,
    /// Number of views that were observed.
    pub polls: usize,
}

/// Measures a run.
pub fn view_figures(observations: &[ViewObservation]) -> ViewFigures {
    let history = History::new(observations);
    let (datagrams, bytes, end) = match history.sent_totals() {
        Some(sent) => (sent.datagrams as f64, sent.bytes as f64, sent.at),
        None => (0.0, 0.0, 1.0),
    };
    let lifetimes = history.lifetimes.values();
    let total_lifetime: f64 = lifetimes.map(|lifetime| lifetime.until.min(end) - lifetime.since).sum();
    let member_seconds = total_lifetime.max(1.0);
    ViewFigures {
        settling_time: settling_time(&history),
        detection_times: detection_times(&history),
        false_deaths: false_deaths(&history).count() as u64,
        datagrams: datagrams / member_seconds,
        bytes: bytes / member_seconds,
        processor_fraction: processor_seconds(observations).map(|seconds| seconds / member_seconds),
        polls: history.polls.len(),
    }
}

fn settling_time(history: &History) -> Option<f64> {
    let actual_members = history.actual_members();
    let last_disturbance = history.last_disturbance();
    let mut last_incorrect = last_disturbance;
    for poll in &history.polls {
        let is_relevant = poll.at >= last_disturbance && !poll.superseded && history.is_up_at_end(poll.node);
        if is_relevant && poll.alive != actual_members {
            last_incorrect = last_incorrect.max(poll.at);
        }
    }
    (last_incorrect < history.end - MIN_SETTLED_TIME).then_some(last_incorrect - last_disturbance)
}

/// Processor time of all processes in seconds; `None` if none was measured.
fn processor_seconds(observations: &[ViewObservation]) -> Option<f64> {
    let times: Vec<f64> = observations.iter().filter_map(processor_time).collect();
    (!times.is_empty()).then(|| times.iter().sum())
}

fn processor_time(observation: &ViewObservation) -> Option<f64> {
    match observation {
        ViewObservation::ProcessorTime { processor_seconds, .. } => Some(*processor_seconds),
        _ => None,
    }
}

/// The detection time for each death after which no process of the controller started, and each process that was up
/// throughout.
fn detection_times(history: &History) -> Vec<f64> {
    let mut times = Vec::new();
    for dead in history.lifetimes.values().filter(|lifetime| lifetime.until.is_finite()) {
        if is_restarted_soon(history, dead) || history.end < dead.until + DETECTION_WINDOW {
            continue;
        }
        for (observer, lifetime) in &history.lifetimes {
            let was_up_before = lifetime.since < dead.until - MIN_OBSERVER_UPTIME;
            if was_up_before && lifetime.until > dead.until + DETECTION_WINDOW {
                times.push(detection_time(history, *observer, dead));
            }
        }
    }
    times
}

/// Whether another process of the same controller started within [`DETECTION_WINDOW`] after a death.
fn is_restarted_soon(history: &History, dead: &Lifetime) -> bool {
    let window = dead.until..dead.until + DETECTION_WINDOW;
    let mut lifetimes = history.lifetimes.values();
    lifetimes.any(|other| other.controller == dead.controller && window.contains(&other.since))
}

/// Seconds from a death to the last view in which the observing process showed the dead controller as alive.
fn detection_time(history: &History, observer: Node, dead: &Lifetime) -> f64 {
    let window = dead.until..dead.until + DETECTION_WINDOW;
    let mut last_shown = dead.until;
    for poll in history.polls.iter().filter(|poll| poll.node == observer && window.contains(&poll.at)) {
        if poll.alive.iter().any(|(id, _)| *id == dead.controller) {
            last_shown = last_shown.max(poll.at);
        }
    }
    last_shown - dead.until
}
