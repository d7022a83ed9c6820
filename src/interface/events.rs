//! What a controller is notified of: endpoint lists, proxy streams, slices, load, health checks, acknowledgements.
use super::ids::{BarrierId, ClassId, HostId, HostKindId, ProxyId, SliceId, TimerId, WeightedHost, ZoneId};
use super::time::Seconds;

/// Where a host is in its life, by the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It takes operations.
    #[default]
    Ready,
    /// It finishes what it has and must be sent nothing new.
    Draining,
    /// It is no more.
    Gone,
}

/// One host in an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The host.
    pub host: HostId,
    /// Where it is in its life.
    pub phase: Phase,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Seconds>,
    /// Its size relative to other hosts, such as its number of cores.
    pub weight: f64,
    /// Its machine type.
    pub kind: HostKindId,
}

/// An update of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// It names every host, so that a host it lacks is gone; else only those that changed.
    pub complete: bool,
    /// The hosts that it names.
    pub entries: Vec<EndpointEntry>,
}

/// A change of a proxy's stream to this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyStreamEvent {
    /// Its first stream to this controller.
    Connected(ProxyId),
    /// It had a stream to this controller before and still holds what it was sent there.
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

    /// The proxy has a stream now.
    pub fn is_connected(&self) -> bool {
        !matches!(self, ProxyStreamEvent::Disconnected(_))
    }
}

/// A change of what slices this controller decides on.
#[derive(Clone, Debug, PartialEq)]
pub enum SliceAssignment {
    /// The slice is this controller's, with the table that is stored of it.
    Assigned {
        /// The slice.
        slice: SliceId,
        /// The hosts of its table, as stored.
        entries: Vec<WeightedHost>,
    },
    /// The slice is this controller's no more.
    Revoked {
        /// The slice.
        slice: SliceId,
    },
}

impl SliceAssignment {
    /// The slice that was assigned or revoked.
    pub fn slice(&self) -> SliceId {
        match self {
            SliceAssignment::Assigned { slice, .. } | SliceAssignment::Revoked { slice } => *slice,
        }
    }
}

/// What a controller that gives a slice up knows of it and the next cannot learn from lists and reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SliceHandoff {
    /// Operations a second.
    pub rate: f64,
    /// Seconds until fail-back or rebalancing may move the slice again.
    pub pinned_for: Seconds,
    /// The host it was taken from and fails back to.
    pub preferred_host: Option<HostId>,
}

/// Attempts that the proxies of one zone made at one host.
#[derive(Clone, Debug)]
pub struct HostLoadReport {
    /// The zone of the proxies.
    pub zone: ZoneId,
    /// The host.
    pub host: HostId,
    /// Attempts that ended.
    pub attempts: f64,
    /// Those of them that failed.
    pub failed: f64,
    /// Mean latency of the others in seconds; 0 if there were none.
    pub mean_latency: Seconds,
    /// Seconds that the report covers.
    pub span: Seconds,
    /// Fraction of its cores that the host last reported busy.
    pub cpu_utilization: Option<f64>,
}

/// Operations of a class that came for a slice.
#[derive(Clone, Copy, Debug)]
pub struct SliceLoadReport {
    /// The slice.
    pub slice: SliceId,
    /// The class.
    pub class: ClassId,
    /// Operations that came, admitted or not.
    pub operations: f64,
    /// Seconds that the report covers.
    pub span: Seconds,
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// The host answered.
    Passed,
    /// The host is there and refused the check, as one that is full does.
    Rejected,
    /// The host did not answer in time, or answered with an error.
    Failed,
    /// No process was reached.
    Unreachable,
}

/// A health check that ended.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    /// The host that was checked.
    pub host: HostId,
    /// How it ended.
    pub outcome: HealthCheckOutcome,
}

/// A proxy has applied the update that bore the barrier, and all before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BarrierAck {
    /// The proxy.
    pub proxy: ProxyId,
    /// The barrier.
    pub barrier: BarrierId,
}

/// All that came in since the last batch.
#[derive(Clone, Debug, Default)]
pub struct EventBatch {
    /// The time now.
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
    /// Health checks that ended.
    pub health_checks: Vec<HealthCheckResult>,
    /// Barriers that proxies acknowledged.
    pub barrier_acks: Vec<BarrierAck>,
    /// Timers that are due.
    pub timers: Vec<TimerId>,
    /// When the oldest commands were given that the channel has not accepted yet: a proxy that connects may get
    /// them too.
    pub oldest_pending_at: Option<Seconds>,
}
