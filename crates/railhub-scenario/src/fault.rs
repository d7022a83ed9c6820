//! The faults that a scenario injects: their kinds and the times at which they are active.
//!
//! This module describes faults. [`crate::reader`] reads them from `[trouble NAME]` sections, `inject` injects them
//! into a running cluster, and [`crate::draw`] applies the kinds that change operations.
mod recorded;
#[cfg(test)]
mod tests;

/// Shortest duration, in seconds, by which progress through a fault is computed: a fault may have the duration 0.
const MIN_PROGRESS_SECONDS: f64 = 0.001;

/// How a phantom host reacts to a connection. A phantom host is listed but does not belong to the cluster.
#[derive(Clone, Debug, PartialEq)]
pub enum PhantomBehavior {
    /// It refuses connections.
    Refuse,
    /// It answers each request with an error.
    Error,
    /// It accepts connections and never answers.
    Silent,
}

/// Destination of shifted traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShiftTarget {
    /// The zone with this index.
    Zone(u32),
    /// The class with the most work per operation.
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

/// What a client does after it has stopped waiting for a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GiveUpReaction {
    /// It sends one request more than the configured retries.
    ExtraRequest,
    /// It sends no more than the configured retries.
    NoExtraRequest,
}

/// The effect of a fault. Fractions are from 0 to 1; delays and intervals are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Host processes are killed, and start again cold when the fault ends.
    Crash {
        /// Number of hosts.
        hosts: usize,
    },
    /// Hosts are drained batch by batch while new ones start cold.
    Deploy {
        /// Number of hosts that are replaced.
        hosts: usize,
        /// Hosts per batch.
        batch: usize,
        /// Seconds from the start of a host's drain until it is stopped.
        drain: f64,
    },
    /// Hosts accept connections and send no responses.
    Hang {
        /// Number of hosts.
        hosts: usize,
    },
    /// Hosts work more slowly.
    Slow {
        /// Number of hosts.
        hosts: usize,
        /// Service times are multiplied by this.
        factor: f64,
    },
    /// Hosts pause repeatedly.
    Pauses {
        /// Number of hosts.
        hosts: usize,
        /// Seconds of one pause.
        pause: f64,
        /// Seconds between the end of a pause and the next.
        interval: f64,
    },
    /// Another workload on the same machines uses a part of their cores in alternate phases.
    NoisyNeighbor {
        /// Number of hosts.
        hosts: usize,
        /// Fraction of the cores that is taken.
        cpu_fraction: f64,
        /// Seconds of each phase, with and without the other workload.
        interval: f64,
    },
    /// Hosts do the work and do not send some of the responses.
    ResponsesLost {
        /// Number of hosts.
        hosts: usize,
        /// Fraction of responses lost.
        fraction: f64,
    },
    /// A fraction of the operations uses a few hot keys.
    HotKey {
        /// Fraction of operations.
        fraction: f64,
        /// Number of hot keys.
        keys: usize,
    },
    /// A fraction of the operations needs more work.
    HeavyOperations {
        /// Fraction of operations.
        fraction: f64,
        /// Their work is multiplied by this.
        factor: f64,
    },
    /// A fraction of the clients gives up early.
    ClientsGiveUp {
        /// Fraction of clients.
        fraction: f64,
        /// Multiple of the class's contract time after which they stop waiting.
        contract_time_multiple: f64,
        /// What they do after they stopped waiting.
        reaction: GiveUpReaction,
    },
    /// A growing fraction of the traffic moves to one zone or one class.
    TrafficShift {
        /// Fraction of the traffic moved at the end of the fault.
        fraction: f64,
        /// Destination of the moved traffic.
        target: ShiftTarget,
    },
    /// Hosts are added one after another.
    Growth {
        /// Number of hosts at the end divided by that at the start.
        factor: f64,
        /// Growth of the traffic divided by that of the hosts.
        traffic_ratio: f64,
    },
    /// Load reports reach the controllers later.
    LateReports {
        /// Additional seconds.
        delay: f64,
    },
    /// The endpoint list marks live hosts as gone.
    ListTruncated {
        /// Number of hosts.
        hosts: usize,
    },
    /// The endpoint list contains hosts that do not belong to the cluster.
    PhantomHosts {
        /// Number of hosts.
        hosts: usize,
        /// Reactions to connections, assigned to the hosts in turn.
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
        /// Whether they hang instead of crashing.
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
    /// A controller's process is paused, and resumed when the fault ends.
    ControllerPaused {
        /// Index of the controller.
        controller: usize,
    },
    /// The links between a controller and the named peers are cut.
    ControllerIsolated {
        /// Index of the controller.
        controller: usize,
        /// Groups of peers: `stewards`, `store`, `list`, `proxies`.
        peers: Vec<String>,
        /// Which direction is cut.
        direction: CutDirection,
    },
    /// The link from one controller to another is cut in this direction.
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
    /// Controllers on the two sides of the partition cannot reach each other.
    ControllerPartition {
        /// Indexes of the controllers on one side.
        side: Vec<usize>,
    },
    /// Messages between controllers are lost or delayed.
    ControllerLinksImpaired {
        /// Fraction lost.
        loss_fraction: f64,
        /// Seconds of delay.
        delay: f64,
    },
    /// The store delays its responses.
    StoreSlow {
        /// Additional seconds.
        delay: f64,
    },
    /// The store applies requests and sends no responses.
    StoreResponsesLost,
    /// The store restarts; if `age` is not 0, from an earlier copy of its state, so that later writes are lost.
    StoreRolledBack {
        /// Age of the copy, in seconds.
        age: f64,
    },
    /// Connections between zones are slow, or connection attempts are lost.
    SlowZoneLink {
        /// Index of one zone.
        zone: u32,
        /// Index of the other zone; none: all other zones.
        other: Option<u32>,
        /// Seconds of delay.
        delay: f64,
        /// Fraction lost.
        loss_fraction: f64,
    },
}

/// A fault and the period in which it is active.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// The name in the section's header.
    pub name: String,
    /// The kind as the file spells it.
    pub kind_name: String,
    /// Start, in seconds from the start of the scenario.
    pub at: f64,
    /// Length of the active period, in seconds.
    pub duration: f64,
    /// The kind of the fault and its parameters.
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

    /// The fraction of its duration that has passed at a time, 0 to 1.
    pub fn progress(&self, at: f64) -> f64 {
        ((at - self.at) / self.duration.max(MIN_PROGRESS_SECONDS)).clamp(0.0, 1.0)
    }

    /// The fault's name in recordings.
    pub fn recorded_name(&self) -> String {
        format!("{} ({})", self.name, self.kind_name)
    }
}
