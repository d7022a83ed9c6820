//! The faults of a run: what each one is, when it begins and ends, and what those in force make of the links between
//! controllers.
//!
//! [`draw`] draws them from a seed, [`section`] reads those that a file lists, `display` prints them.
mod display;
pub mod draw;
pub mod section;

use serde::Serialize;
use std::collections::BTreeSet;

/// Seconds that a flapping controller is down, and up, before it changes again.
pub const FLAP_HALF_PERIOD: f64 = 3.0;

/// Seconds of a starved controller's slot: it runs in the first part and is stopped in the rest.
pub const STARVATION_PERIOD: f64 = 0.1;

/// Microseconds by which [`FaultKind::Backward`] sets back the clock that numbers processes.
pub const CLOCK_SETBACK_MICROSECONDS: u64 = 3_600_000_000;

/// The most datagrams that are captured for [`FaultKind::Replay`].
pub const MAX_CAPTURED_DATAGRAMS: usize = 20_000;

/// The most controllers of a run whose faults are drawn: a partition's side is one bit for each.
pub const MAX_DRAWN_CONTROLLERS: u16 = 31;

/// A kind of fault, with whom it strikes. The serialized names are those of recorded runs.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process ends, and a new one starts after the fault's duration.
    Kill {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// The process is stopped, and continues with its state as it was.
    Pause {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// No message passes from one controller to another; the opposite direction works.
    Cut {
        /// The sender.
        from: u16,
        /// The receiver.
        to: u16,
    },
    /// A partition: no message passes between controllers whose bit is set and the others.
    Split {
        /// One bit for each controller.
        side: u32,
    },
    /// The store answers nobody.
    StoreAway,
    /// One controller does not reach the store.
    CutStore {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// The store handles requests and its responses are lost.
    StoreLosesAnswers,
    /// Each response of the store is delayed.
    StoreSlow {
        /// Seconds of delay.
        by: f64,
    },
    /// The store restarts from an old copy of its state.
    StoreForgets {
        /// The copy's age in seconds.
        by: f64,
    },
    /// A controller's clock runs at a wrong rate.
    Drift {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
        /// The fraction by which it is fast; below 0 it is slow.
        by: f64,
    },
    /// A controller's clock jumps.
    Jump {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
        /// Seconds.
        by: f64,
    },
    /// A controller's commands to proxies are delayed.
    SlowOrders {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
        /// The most seconds of delay.
        by: f64,
    },
    /// A controller hands over all its slices.
    Drain {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A controller is killed and started in turns of [`FLAP_HALF_PERIOD`].
    Flap {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// Two controllers cannot reach each other for the rest of the run; others reach both, so that neither is dead.
    Apart {
        /// One of them.
        a: u16,
        /// The other.
        b: u16,
    },
    /// All links between controllers lose, delay, duplicate or reorder messages.
    Links {
        /// How much of each.
        faults: LinkFaults,
    },
    /// A controller gets a fraction of processor time, in short slots.
    Starve {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
        /// The fraction of time in which it runs.
        share: f64,
    },
    /// A controller's process ends, and one of the same id starts at once at another address.
    Move {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A second process starts under a controller's id, at another address.
    Twin {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// All captured datagrams are sent once more.
    Replay,
    /// Corrupt, foreign and random datagrams are sent to a controller.
    Flood {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
        /// How many datagrams.
        count: u32,
    },
    /// A controller announces that it leaves, ends, and starts again after the fault's duration.
    Leave {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A controller starts for the first time.
    Join {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A controller is killed, and the clock that numbers processes is set back before it starts again.
    Backward {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
}

/// How unreliable all links between controllers are. Probabilities are between 0 and 1, times are seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LinkFaults {
    /// Probability that a message is lost.
    #[serde(rename = "lost")]
    pub loss: f64,
    /// Probability that a message is delivered twice.
    #[serde(rename = "doubled")]
    pub duplication: f64,
    /// Probability that a message is held back so that later ones overtake it.
    #[serde(rename = "reordered")]
    pub reordering: f64,
    /// Additional delay of every message.
    pub delay: f64,
    /// The most of a random delay on top.
    pub jitter: f64,
}

/// One fault of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// Seconds of the run at which it begins.
    pub at: f64,
    /// Seconds until it ends.
    #[serde(rename = "long")]
    pub duration: f64,
    /// What happens.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// The faults in force at one moment, by their index in the run's list.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    /// Indices into the run's list of faults.
    indices: BTreeSet<usize>,
    /// Pairs of controllers that are apart, the lower id first. They stay so until the run ends.
    apart: BTreeSet<(u16, u16)>,
}

impl ActiveFaults {
    /// Puts a fault in force.
    pub fn begin(&mut self, index: usize) {
        self.indices.insert(index);
    }

    /// Ends a fault.
    pub fn end(&mut self, index: usize) {
        self.indices.remove(&index);
    }

    /// Separates two controllers for the rest of the run.
    pub fn separate(&mut self, a: u16, b: u16) {
        self.apart.insert((a.min(b), a.max(b)));
    }

    /// The kinds in force, in the order of the run's list.
    pub fn kinds<'a>(&'a self, faults: &'a [Fault]) -> impl Iterator<Item = &'a FaultKind> {
        self.indices.iter().map(|index| &faults[*index].kind)
    }

    /// Whether exactly this kind is in force.
    pub fn includes(&self, faults: &[Fault], kind: &FaultKind) -> bool {
        self.kinds(faults).any(|active| active == kind)
    }

    /// Whether no message passes from one controller to another.
    pub fn blocks(&self, faults: &[Fault], from: u16, to: u16) -> bool {
        if self.apart.contains(&(from.min(to), from.max(to))) {
            return true;
        }
        self.kinds(faults).any(|kind| match *kind {
            FaultKind::Cut { from: cut_from, to: cut_to } => (from, to) == (cut_from, cut_to),
            FaultKind::Split { side } => is_on_side(side, from) != is_on_side(side, to),
            _ => false,
        })
    }

    /// What the faults in force make of all links, over the loss that is always there.
    pub fn link_faults(&self, faults: &[Fault], base_loss: f64) -> LinkFaults {
        let mut combined = LinkFaults { loss: base_loss, ..LinkFaults::default() };
        for kind in self.kinds(faults) {
            let FaultKind::Links { faults } = kind else { continue };
            combined.loss = combined.loss.max(faults.loss);
            combined.duplication = combined.duplication.max(faults.duplication);
            combined.reordering = combined.reordering.max(faults.reordering);
            combined.delay = combined.delay.max(faults.delay);
            combined.jitter = combined.jitter.max(faults.jitter);
        }
        combined
    }
}

/// Whether a controller's bit of a partition is set; controllers beyond the last bit are on the other side.
fn is_on_side(side: u32, controller: u16) -> bool {
    side.checked_shr(controller.into()).is_some_and(|bits| bits & 1 == 1)
}
