//! The kinds of faults, with the names under which they are recorded.
use serde::Serialize;

/// Seconds for which a flapping controller is down, and then up.
pub const FLAP_HALF_PERIOD: f64 = 3.0;

/// Length in seconds of the time slots of a starved controller: it runs in one part of each slot and is stopped in the
/// other.
pub const STARVATION_PERIOD: f64 = 0.1;

/// Microseconds by which [`FaultKind::RestartWithLowerNumber`] sets back the clock from which process numbers are taken.
pub const CLOCK_SETBACK_MICROSECONDS: u64 = 3_600_000_000;

/// Maximum number of datagrams captured for [`FaultKind::Replay`].
pub const MAX_CAPTURED_DATAGRAMS: usize = 20_000;

/// Maximum number of controllers in a run whose faults are drawn: a partition's side has one bit for each.
pub const MAX_DRAWN_CONTROLLERS: u16 = 31;

/// A kind of fault with its parameters. The serialized names must stay as they are in recorded runs.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The controller's process is killed; a new one starts after the fault's duration.
    Kill {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// The controller's process is stopped, and resumes with its state unchanged after the fault's duration.
    Pause {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// Messages from one controller to another are dropped; the opposite direction works.
    Cut {
        /// The sender.
        from: u16,
        /// The receiver.
        to: u16,
    },
    /// A network partition: messages between the controllers whose bit is set and the others are dropped.
    #[serde(rename = "split")]
    Partition {
        /// One bit for each controller, set for those on one side.
        side: u32,
    },
    /// The store handles no requests.
    #[serde(rename = "store_away")]
    StoreUnavailable,
    /// One controller cannot reach the store.
    CutStore {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// The store handles requests, but its responses are lost.
    #[serde(rename = "store_loses_answers")]
    StoreLosesResponses,
    /// Each response of the store is delayed.
    StoreSlow {
        /// Delay in seconds.
        #[serde(rename = "by")]
        delay: f64,
    },
    /// The store restarts from an old copy of its state.
    #[serde(rename = "store_forgets")]
    StoreRollback {
        /// Age of the copy in seconds.
        #[serde(rename = "by")]
        age: f64,
    },
    /// A controller's clock runs too fast or too slowly.
    #[serde(rename = "drift")]
    ClockDrift {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
        /// Fraction by which the clock is fast; negative if it is slow.
        #[serde(rename = "by")]
        fraction: f64,
    },
    /// A controller's clock jumps.
    #[serde(rename = "jump")]
    ClockJump {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
        /// Size of the jump in seconds; negative if the clock is set back.
        #[serde(rename = "by")]
        seconds: f64,
    },
    /// A controller's commands to proxies are delayed.
    #[serde(rename = "slow_orders")]
    SlowCommands {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
        /// Maximum delay in seconds.
        #[serde(rename = "by")]
        max_delay: f64,
    },
    /// A controller hands over all its slices.
    Drain {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A controller is killed and started alternately, each for [`FLAP_HALF_PERIOD`].
    Flap {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// Two controllers cannot reach each other for the rest of the run. The others reach both, so neither may be declared
    /// dead.
    #[serde(rename = "apart")]
    SeparatePair {
        /// One controller of the pair.
        a: u16,
        /// The other controller of the pair.
        b: u16,
    },
    /// All links between controllers lose, delay, duplicate or reorder messages.
    Links {
        /// The probabilities and delays.
        faults: LinkFaults,
    },
    /// A controller gets only a fraction of processor time: it is stopped for part of each short time slot.
    Starve {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
        /// Fraction of time in which the controller runs.
        #[serde(rename = "share")]
        running_fraction: f64,
    },
    /// A controller's process is killed, and a new one with the same id starts at once at another address.
    Move {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A second process with a controller's id starts at another address.
    #[serde(rename = "twin")]
    DuplicateId {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// All captured datagrams are sent again.
    Replay,
    /// Corrupt, truncated, oversized and random datagrams are sent to a controller.
    Flood {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
        /// Number of datagrams.
        count: u32,
    },
    /// A controller announces that it leaves the cluster and exits; it starts again after the fault's duration.
    Leave {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A controller starts for the first time.
    Join {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
    },
    /// A controller is killed and starts again with a lower process number, because the clock from which process numbers
    /// are taken has been set back.
    #[serde(rename = "backward")]
    RestartWithLowerNumber {
        /// The affected controller.
        #[serde(rename = "steward")]
        controller: u16,
    },
}

/// The faults of all links between controllers. Probabilities are between 0 and 1, times are in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LinkFaults {
    /// Probability that a message is lost.
    #[serde(rename = "lost")]
    pub loss: f64,
    /// Probability that a message is delivered twice.
    #[serde(rename = "doubled")]
    pub duplication: f64,
    /// Probability that a message is held back, so that later ones overtake it.
    #[serde(rename = "reordered")]
    pub reordering: f64,
    /// Additional delay of every message.
    pub delay: f64,
    /// Maximum of a further, random delay of each message.
    pub jitter: f64,
}

/// One fault of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// Start of the fault, in seconds since the start of the run.
    pub at: f64,
    /// Duration of the fault in seconds.
    #[serde(rename = "long")]
    pub duration: f64,
    /// The kind of the fault, with its parameters.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}
