//! The kinds of faults, and how their recorded names map to them.
use serde::Serialize;

/// Seconds that a flapping controller is down, and up, before it changes again.
pub const FLAP_HALF_PERIOD: f64 = 3.0;

/// Seconds of a starved controller's slot: it runs in the first part and is stopped in the rest.
pub const STARVATION_PERIOD: f64 = 0.1;

/// Microseconds by which [`FaultKind::RestartWithLowerNumber`] sets back the clock that numbers processes.
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
    #[serde(rename = "split")]
    Partition {
        /// One bit for each controller.
        side: u32,
    },
    /// The store answers nobody.
    #[serde(rename = "store_away")]
    StoreUnavailable,
    /// One controller does not reach the store.
    CutStore {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// The store handles requests and its responses are lost.
    #[serde(rename = "store_loses_answers")]
    StoreLosesResponses,
    /// Each response of the store is delayed.
    StoreSlow {
        /// Seconds of delay.
        #[serde(rename = "by")]
        delay: f64,
    },
    /// The store restarts from an old copy of its state.
    #[serde(rename = "store_forgets")]
    StoreRollback {
        /// The copy's age in seconds.
        #[serde(rename = "by")]
        age: f64,
    },
    /// A controller's clock runs at a wrong rate.
    #[serde(rename = "drift")]
    ClockDrift {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
        /// The fraction by which it is fast; below 0 it is slow.
        #[serde(rename = "by")]
        fraction: f64,
    },
    /// A controller's clock jumps.
    #[serde(rename = "jump")]
    ClockJump {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
        /// Seconds, either way.
        #[serde(rename = "by")]
        seconds: f64,
    },
    /// A controller's commands to proxies are delayed.
    #[serde(rename = "slow_orders")]
    SlowCommands {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
        /// The most seconds of delay.
        #[serde(rename = "by")]
        max_delay: f64,
    },
    /// A controller hands over all its slices.
    Drain {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A controller is killed and started alternately, each for [`FLAP_HALF_PERIOD`].
    Flap {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// Two controllers cannot reach each other for the rest of the run; others reach both, so that neither is dead.
    #[serde(rename = "apart")]
    SeparatePair {
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
        #[serde(rename = "share")]
        running_fraction: f64,
    },
    /// A controller's process ends, and one of the same id starts at once at another address.
    Move {
        /// The controller that is struck.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A second process starts under a controller's id, at another address.
    #[serde(rename = "twin")]
    DuplicateId {
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
    #[serde(rename = "backward")]
    RestartWithLowerNumber {
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
