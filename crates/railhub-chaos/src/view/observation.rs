//! What an observer sees of a view run. The serialized names must stay as they are in recorded runs.
use crate::fault::FaultKind;
use serde::Serialize;
use std::collections::BTreeSet;

/// One process of a run, numbered in the order of starts. A controller that restarts is another process with another
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Node(pub usize);

/// A member of the cluster: a controller's id and the number of its process.
pub type MemberProcess = (u16, u64);

/// What an observer sees of a view run. Times are in seconds since the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what")]
pub enum ViewObservation {
    /// A process started.
    #[serde(rename = "up")]
    Started {
        /// Time of the observation.
        at: f64,
        /// The process.
        node: Node,
        /// The controller that the process runs.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A process ended.
    #[serde(rename = "down")]
    Ended {
        /// Time of the observation.
        at: f64,
        /// The process.
        node: Node,
        /// The controller that the process runs.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A fault began or ended.
    #[serde(rename = "fault")]
    Fault {
        /// Time of the observation.
        at: f64,
        /// Whether the fault began; if not, it ended.
        #[serde(rename = "on")]
        begins: bool,
        /// The fault.
        fault: FaultKind,
    },
    /// The view of a process at one moment.
    #[serde(rename = "view")]
    View {
        /// Time of the observation.
        at: f64,
        /// The process.
        node: Node,
        /// The controller that the process runs.
        #[serde(rename = "steward")]
        controller: u16,
        /// The process number in the cluster.
        process: u64,
        /// Whether the process is inactive because a newer process has the same id.
        #[serde(rename = "yielded")]
        superseded: bool,
        /// The members that are alive according to the view.
        #[serde(rename = "living")]
        alive: Vec<MemberProcess>,
        /// The members that are dead or have left according to the view.
        gone: Vec<MemberProcess>,
    },
    /// The first message that declared a member dead under an incarnation.
    #[serde(rename = "dead")]
    DeclaredDead {
        /// Time of the observation.
        at: f64,
        /// The controller that sent the message.
        by: u16,
        /// The controller that is declared dead.
        about: u16,
        /// The process number of the incarnation.
        process: u64,
        /// The count of the incarnation.
        count: u64,
    },
    /// The seconds of the run in which gossip about third members was sent.
    #[serde(rename = "news")]
    GossipSeconds {
        /// The end of the run.
        at: f64,
        /// The seconds, rounded down.
        seconds: BTreeSet<u32>,
    },
    /// The processor time that a process has used.
    #[serde(rename = "cost")]
    ProcessorTime {
        /// Time of the measurement.
        at: f64,
        /// The process.
        node: Node,
        /// Processor time in seconds since the start of the process.
        #[serde(rename = "processor")]
        processor_seconds: f64,
    },
    /// The traffic of all members in the whole run.
    #[serde(rename = "sent")]
    Sent {
        /// The end of the run.
        at: f64,
        /// Number of datagrams.
        datagrams: u64,
        /// Size of all datagrams in bytes.
        bytes: u64,
        /// Size of the longest datagram in bytes.
        longest: usize,
        /// Probability that a datagram is lost while no fault affects the links.
        #[serde(rename = "lost")]
        base_loss: f64,
    },
}

impl ViewObservation {
    /// The time of the observation.
    pub fn at(&self) -> f64 {
        match self {
            ViewObservation::Started { at, .. }
            | ViewObservation::Ended { at, .. }
            | ViewObservation::Fault { at, .. }
            | ViewObservation::View { at, .. }
            | ViewObservation::DeclaredDead { at, .. }
            | ViewObservation::GossipSeconds { at, .. }
            | ViewObservation::ProcessorTime { at, .. }
            | ViewObservation::Sent { at, .. } => *at,
        }
    }
}
