//! The input of a controller: endpoint lists, changes of proxy streams and of slice assignments, load reports, health
//! checks and acknowledgements.
use super::ids::{BarrierId, ClassId, HostId, HostKindId, ProxyId, SliceId, TimerId, WeightedHost, ZoneId};
use super::time::Seconds;

/// The phase of a host's life cycle, as given by the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It accepts operations.
    #[default]
    Ready,
    /// It completes the operations in progress and must not be sent new ones.
    Draining,
    /// It no longer exists.
    Gone,
}

/// One host in an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The host.
    pub host: HostId,
    /// The phase of its life cycle.
    pub phase: Phase,
    /// When it last started; `None` if that was long ago.
    pub started_at: Option<Seconds>,
    /// Its size relative to other hosts, such as its number of cores.
    pub weight: f64,
    /// Its kind (machine type).
    pub kind: HostKindId,
}

/// An update of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Whether the list names every host, so that a missing host is gone, or only the hosts that changed.
    pub complete: bool,
    /// The hosts that it names.
    pub entries: Vec<EndpointEntry>,
}

/// A change of a proxy's stream to this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyStreamEvent {
    /// Its first stream to this controller.
    Connected(ProxyId),
    /// It had a stream to this controller before and still has the state that it received there.
    Reconnected(ProxyId),
    /// Its stream is closed.
    Disconnected(ProxyId),
}

impl ProxyStreamEvent {
    /// The proxy whose stream changed.
    pub fn proxy(&self) -> ProxyId {
        match *self {
            ProxyStreamEvent::Connected(proxy)
            | ProxyStreamEvent::Reconnected(proxy)
            | ProxyStreamEvent::Disconnected(proxy) => proxy,
        }
    }

    /// Whether the proxy has a stream after this event.
    pub fn is_connected(&self) -> bool {
        !matches!(self, ProxyStreamEvent::Disconnected(_))
    }
}

/// A change of the set of slices that this controller decides on.
#[derive(Clone, Debug, PartialEq)]
pub enum SliceAssignment {
    /// The slice is assigned to this controller, with its stored table.
    Assigned {
        /// The slice.
        slice: SliceId,
        /// The hosts of its table, as stored.
        entries: Vec<WeightedHost>,
    },
    /// The slice was assigned to this controller before an interruption of its observation ([`Observation`]) and is
    /// assigned to it now, with its stored table. Another controller may have had it in between.
    Retained {
        /// The slice.
        slice: SliceId,
        /// The hosts of its table, as stored.
        entries: Vec<WeightedHost>,
    },
    /// The slice is no longer assigned to this controller.
    Revoked {
        /// The slice.
        slice: SliceId,
    },
}

impl SliceAssignment {
    /// The slice that was assigned or revoked.
    pub fn slice(&self) -> SliceId {
        match self {
            SliceAssignment::Assigned { slice, .. }
            | SliceAssignment::Retained { slice, .. }
            | SliceAssignment::Revoked { slice } => *slice,
        }
    }
}

/// Whether a controller hears of the changes of proxy streams and slice assignments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Observation {
    /// It has heard of every change up to this batch.
    #[default]
    Complete,
    /// There may be changes that it has not heard of yet, for example because its subscription is down.
    Interrupted,
    /// It was interrupted, and this batch brings the present state. What happened and was undone in between stays
    /// unknown: a proxy may have connected and disconnected, a slice may have been assigned elsewhere and returned.
    Resumed,
}

/// The state of a slice that its former controller hands to the next one, which cannot learn it from endpoint lists and
/// load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SliceHandoff {
    /// Admitted operations per second.
    pub rate: f64,
    /// Seconds until fail-back or rebalancing may move the slice again.
    pub pinned_for: Seconds,
    /// The host that the slice was moved from by failover and fails back to.
    pub preferred_host: Option<HostId>,
}

/// Attempts that the proxies of one zone made at one host.
#[derive(Clone, Debug)]
pub struct HostLoadReport {
    /// The zone of the proxies.
    pub zone: ZoneId,
    /// The host.
    pub host: HostId,
    /// Completed attempts, including those that failed.
    pub attempts: f64,
    /// Attempts that failed.
    pub failed: f64,
    /// Mean latency of the successful attempts in seconds; 0 if there were none.
    pub mean_latency: Seconds,
    /// Seconds that the report covers.
    pub span: Seconds,
    /// Fraction of the host's cores that were busy, as the host last reported.
    pub cpu_utilization: Option<f64>,
}

/// Operations of one class that arrived for a slice.
#[derive(Clone, Copy, Debug)]
pub struct SliceLoadReport {
    /// The slice.
    pub slice: SliceId,
    /// The class.
    pub class: ClassId,
    /// Operations that arrived, whether admitted or not.
    pub operations: f64,
    /// Seconds that the report covers.
    pub span: Seconds,
}

/// Outcome of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// The host answered.
    Passed,
    /// The host was reached and refused the check, as a saturated host does.
    Rejected,
    /// The host did not answer in time, or answered with an error.
    Failed,
    /// No process was reached.
    Unreachable,
}

/// A completed health check.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    /// The host that was checked.
    pub host: HostId,
    /// Its outcome.
    pub outcome: HealthCheckOutcome,
}

/// A proxy has applied the update that carries the barrier, and all updates before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BarrierAck {
    /// The proxy.
    pub proxy: ProxyId,
    /// The barrier.
    pub barrier: BarrierId,
}

/// An exclusion or a readmission that some proxy has not applied: the channel dropped the command, or the proxy rejected
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UndeliveredExclusion {
    /// The host.
    pub host: HostId,
    /// Whether the command excludes the host, rather than readmits it.
    pub is_excluded: bool,
}

/// All events since the previous batch.
#[derive(Clone, Debug, Default)]
pub struct EventBatch {
    /// The current time.
    pub now: Seconds,
    /// Endpoint lists, oldest first.
    pub endpoint_lists: Vec<EndpointList>,
    /// Changes of proxy streams, oldest first.
    pub proxy_streams: Vec<ProxyStreamEvent>,
    /// Slices assigned and revoked, oldest first.
    pub assignments: Vec<SliceAssignment>,
    /// Load reports by host.
    pub host_loads: Vec<HostLoadReport>,
    /// Load reports by slice.
    pub slice_loads: Vec<SliceLoadReport>,
    /// Completed health checks.
    pub health_checks: Vec<HealthCheckResult>,
    /// Barriers that proxies acknowledged.
    pub barrier_acks: Vec<BarrierAck>,
    /// Exclusions and readmissions that were not delivered.
    pub undelivered_exclusions: Vec<UndeliveredExclusion>,
    /// Timers that have expired.
    pub timers: Vec<TimerId>,
    /// Whether the batch and those before it contain every change of proxy streams and slice assignments.
    pub observation: Observation,
    /// When the oldest commands that the channel has not accepted yet were issued; `None` if it has accepted all. A
    /// proxy that connects now may receive the pending commands too.
    pub oldest_pending_at: Option<Seconds>,
}
