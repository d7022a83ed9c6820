//! The faults that a scenario injects: what each one is and when it is active.
//!
//! Owns the description alone. [`crate::reader`] reads it from a `[trouble NAME]` section, `inject` causes it
//! in a running cluster, and [`crate::draw`] applies the kinds that lie in the operations themselves.
mod recorded;
#[cfg(test)]
mod tests;

/// Faults shorter than this count as this long where progress through a fault is computed, in seconds.
const MIN_PROGRESS_SECONDS: f64 = 0.001;

/// How a phantom host, one that is listed but is none of the cluster's, reacts to a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum PhantomBehavior {
    /// It refuses connections.
    Refuse,
    /// It answers each request with an error.
    Error,
    /// It accepts connections and never answers.
    Silent,
}

/// Where shifted traffic goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShiftTarget {
    /// To the zone with this index.
    Zone(u32),
    /// To the class with the most work an operation.
    HeaviestClass,
}

/// Which direction of a controller's links is cut, seen from the controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CutDirection {
    /// Both directions.
    Both,
    /// Towards the controller.
    Inbound,
    /// Away from the controller.
    Outbound,
}

/// What a client does after it has given up on an operation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GiveUpReaction {
    /// It leaves and comes again later.
    ReturnLater,
    /// It drops the operation.
    DropOperation,
}

/// What a fault does. Fractions are of 1, delays and intervals in seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Host processes die, and start again cold when the fault ends.
    Crash {
        /// How many hosts.
        hosts: usize,
    },
    /// Hosts are drained batch by batch while new ones start cold.
    Deploy {
        /// How many hosts are replaced.
        hosts: usize,
        /// Hosts a batch.
        batch: usize,
        /// Seconds between the start of a host's drain and its end.
        drain: f64,
    },
    /// Hosts accept connections and answer nothing.
    Hang {
        /// How many hosts.
        hosts: usize,
    },
    /// Hosts work more slowly.
    Slow {
        /// How many hosts.
        hosts: usize,
        /// Service times are multiplied by this.
        factor: f64,
    },
    /// Hosts stand still again and again.
    Pauses {
        /// How many hosts.
        hosts: usize,
        /// Seconds of one pause.
        pause: f64,
        /// Seconds between the end of a pause and the next.
        interval: f64,
    },
    /// Another workload on the same machines takes a part of their cores, on and off.
    NoisyNeighbor {
        /// How many hosts.
        hosts: usize,
        /// Fraction of the cores that is taken.
        cpu_fraction: f64,
        /// Seconds of each phase, on and off.
        interval: f64,
    },
    /// Hosts do the work and do not send the response.
    ResponsesLost {
        /// How many hosts.
        hosts: usize,
        /// Fraction of responses lost.
        fraction: f64,
    },
    /// A part of the operations is for a few keys.
    HotKey {
        /// Fraction of operations.
        fraction: f64,
        /// How many keys.
        keys: usize,
    },
    /// A part of the operations needs more work.
    HeavyOperations {
        /// Fraction of operations.
        fraction: f64,
        /// Their work is multiplied by this.
        factor: f64,
    },
    /// A part of the clients gives up early.
    ClientsGiveUp {
        /// Fraction of clients.
        fraction: f64,
        /// Multiple of the contract time after which they give up.
        contract_time_multiple: f64,
        /// What they do then.
        reaction: GiveUpReaction,
    },
    /// A growing part of the traffic moves to one zone or one class.
    TrafficShift {
        /// Fraction of the traffic moved at the end of the fault.
        fraction: f64,
        /// Where it goes.
        target: ShiftTarget,
    },
    /// Hosts are added one after another.
    Growth {
        /// Hosts at the end over those at the start.
        factor: f64,
        /// Growth of the traffic over that of the hosts.
        traffic_ratio: f64,
    },
    /// Load reports reach the controllers later.
    LateReports {
        /// Additional seconds.
        delay: f64,
    },
    /// The endpoint list marks live hosts as gone.
    ListTruncated {
        /// How many hosts.
        hosts: usize,
    },
    /// The endpoint list contains hosts that are not of the cluster.
    PhantomHosts {
        /// How many.
        hosts: usize,
        /// How they react, in turn.
        behaviors: Vec<PhantomBehavior>,
    },
    /// The endpoint list cannot be read.
    ListUnavailable,
    /// The store cannot be reached.
    StoreUnavailable,
    /// All hosts of a zone fail.
    ZoneOutage {
        /// Index of the zone.
        zone: u32,
        /// They hang instead of dying.
        silent: bool,
    },
    /// Update streams of proxies are reset.
    StreamsReset {
        /// Fraction of proxies.
        fraction: f64,
    },
    /// Proxies reject the next update.
    UpdateRejected {
        /// Fraction of proxies.
        fraction: f64,
    },
    /// The update channel carries fewer lines a second.
    SlowUpdateChannel {
        /// Its rate is divided by this.
        factor: f64,
    },
    /// A controller's process is killed, and started again when the fault ends.
    ControllerKilled {
        /// Index of the controller.
        controller: usize,
    },
    /// A controller's process is stopped, and continues when the fault ends.
    ControllerPaused {
        /// Index of the controller.
        controller: usize,
    },
    /// Nothing passes between a controller and the named peers.
    ControllerIsolated {
        /// Index of the controller.
        controller: usize,
        /// Groups of peers: `stewards`, `store`, `list`, `proxies`.
        peers: Vec<String>,
        /// Which direction is cut.
        direction: CutDirection,
    },
    /// Nothing passes from one controller to another.
    ControllerOneWayCut {
        /// Index of the sender.
        from: usize,
        /// Index of the receiver.
        to: usize,
    },
    /// A controller is asked to hand over its slices.
    ControllerDrained {
        /// Index of the controller.
        controller: usize,
    },
    /// A controller's updates reach the proxies later.
    SlowUpdates {
        /// Index of the controller.
        controller: usize,
        /// Additional seconds.
        delay: f64,
    },
    /// Controllers on the two sides do not reach each other.
    ControllerPartition {
        /// Indexes of the controllers on one side.
        side: Vec<usize>,
    },
    /// Messages between controllers are lost or late.
    ControllerLinksImpaired {
        /// Fraction lost.
        loss_fraction: f64,
        /// Seconds of delay.
        delay: f64,
    },
    /// The store answers late.
    StoreSlow {
        /// Additional seconds.
        delay: f64,
    },
    /// The store applies requests and does not answer.
    StoreResponsesLost,
    /// The store restarts from an earlier copy of its state.
    StoreRolledBack {
        /// Age of the copy, in seconds.
        age: f64,
    },
    /// Connections between zones are slow or lose attempts.
    SlowZoneLink {
        /// Index of one zone.
        zone: u32,
        /// Index of the other; none: all others.
        other: Option<u32>,
        /// Seconds of delay.
        delay: f64,
        /// Fraction lost.
        loss_fraction: f64,
    },
}

/// A fault and the time in which it is active.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// The name in the section's header.
    pub name: String,
    /// The kind as the file spells it.
    pub kind_name: String,
    /// Start, in seconds from the start of the scenario.
    pub at: f64,
    /// Seconds that it is active.
    pub duration: f64,
    /// What it does.
    pub kind: FaultKind,
}

impl ScheduledFault {
    /// The end, in seconds from the start of the scenario.
    pub fn end(&self) -> f64 {
        self.at + self.duration
    }

    /// Whether it is active at a time in seconds from the start of the scenario.
    pub fn is_active(&self, at: f64) -> bool {
        self.at <= at && at < self.end()
    }

    /// The part of its duration that has passed at a time, 0 to 1.
    pub fn progress(&self, at: f64) -> f64 {
        ((at - self.at) / self.duration.max(MIN_PROGRESS_SECONDS)).clamp(0.0, 1.0)
    }

    /// The name that recordings carry.
    pub fn recorded_name(&self) -> String {
        format!("{} ({})", self.name, self.kind_name)
    }
}
