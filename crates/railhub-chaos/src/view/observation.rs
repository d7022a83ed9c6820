//! What an observer sees of a run of views. The serialized names are those of recorded runs.
use crate::fault::FaultKind;
use serde::Serialize;
use std::collections::BTreeSet;

/// One process of a run, by its number: a controller that starts again is another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Node(pub usize);

/// A member of the cluster: a controller's id and the number of its process.
pub type MemberProcess = (u16, u64);

/// What an observer sees of a run. Times are seconds of the run.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what")]
pub enum ViewObservation {
    /// A process started.
    #[serde(rename = "up")]
    Started {
        /// When.
        at: f64,
        /// The process.
        node: Node,
        /// Its controller.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A process ended.
    #[serde(rename = "down")]
    Ended {
        /// When.
        at: f64,
        /// The process.
        node: Node,
        /// Its controller.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A fault began or ended.
    #[serde(rename = "fault")]
    Fault {
        /// When.
        at: f64,
        /// Whether it began.
        #[serde(rename = "on")]
        begins: bool,
        /// The fault.
        fault: FaultKind,
    },
    /// A process showed its view.
    #[serde(rename = "view")]
    View {
        /// When.
        at: f64,
        /// The process.
        node: Node,
        /// Its controller.
        #[serde(rename = "steward")]
        controller: u16,
        /// Its process number.
        process: u64,
        /// Whether it takes no part because a newer process has its id.
        #[serde(rename = "yielded")]
        superseded: bool,
        /// The members that it holds to be alive.
        #[serde(rename = "living")]
        alive: Vec<MemberProcess>,
        /// The members that it holds to be dead or to have left.
        gone: Vec<MemberProcess>,
    },
    /// The first message that declared a member dead under an incarnation.
    #[serde(rename = "dead")]
    DeclaredDead {
        /// When.
        at: f64,
        /// The controller that sent it.
        by: u16,
        /// The controller that it declares dead.
        about: u16,
        /// The process of the incarnation.
        process: u64,
        /// The count of the incarnation.
        count: u64,
    },
    /// The seconds of the run in which gossip about third members was sent.
    #[serde(rename = "news")]
    GossipSeconds {
        /// The end of the run.
        at: f64,
        /// Whole seconds.
        seconds: BTreeSet<u32>,
    },
    /// Processor time that a process used.
    #[serde(rename = "cost")]
    ProcessorTime {
        /// When it was measured.
        at: f64,
        /// The process.
        node: Node,
        /// Seconds since its start.
        #[serde(rename = "processor")]
        processor_seconds: f64,
    },
    /// What all members sent in the run.
    #[serde(rename = "sent")]
    Sent {
        /// The end of the run.
        at: f64,
        /// How many datagrams.
        datagrams: u64,
        /// Bytes of all datagrams.
        bytes: u64,
        /// Bytes of the longest datagram.
        longest: usize,
        /// Probability that a datagram is lost without any fault.
        #[serde(rename = "lost")]
        base_loss: f64,
    },
}

impl ViewObservation {
    /// When it was made.
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
