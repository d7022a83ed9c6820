//! The queues of events and load reports that are sent to the owner of the core.
use crate::core::{LeaseChanges, StreamId};
use crate::delta_queue::DeltaResponse;
use crate::session_error::SessionError;
use crate::stream_handle::StreamHandle;
use railhub::{EndpointList, HealthCheckResult, ProxyId, SliceAssignment, ZoneId};
use railhub_proto::{LoadReport, Subscribe};
use std::sync::Arc;

/// Events that may be queued: those of some seconds from thousands of proxies. At the limit the sender waits.
const MAX_PENDING_EVENTS: usize = 16 << 10;
/// Load reports that may be queued. At the limit further ones are dropped and counted.
const MAX_PENDING_REPORTS: usize = 8 << 10;

/// An event for the owner of the core.
pub enum OwnerEvent {
    /// The endpoint list was updated.
    EndpointList(EndpointList),
    /// All slices with their tables, read from the store by a controller that runs alone.
    Assignments(Vec<SliceAssignment>),
    /// Leases were acquired or lost, where controllers share the slices.
    LeaseChanges(LeaseChanges),
    /// A health check is complete.
    HealthCheck(HealthCheckResult),
    /// A proxy has subscribed.
    Subscribed {
        /// Its stream.
        stream: StreamId,
        /// The proxy's identity and the version that it holds.
        subscribe: Subscribe,
        /// The queue for its deltas.
        handle: Arc<StreamHandle>,
    },
    /// A proxy's stream has ended.
    Disconnected {
        /// The stream.
        stream: StreamId,
        /// The proxy.
        proxy: ProxyId,
        /// Why it ended.
        error: SessionError,
    },
    /// A proxy has responded to a delta.
    DeltaResponse {
        /// Its stream.
        stream: StreamId,
        /// The proxy.
        proxy: ProxyId,
        /// Nonce of the delta.
        nonce: u64,
        /// Whether it was applied.
        response: DeltaResponse,
        /// Why it was rejected; empty for an acknowledgement.
        reason: String,
    },
    /// The owner must stop.
    Stop,
}

/// A load report in the queue.
pub struct ReceivedReport {
    /// The stream on which it was received.
    pub stream: StreamId,
    /// The proxy.
    pub proxy: ProxyId,
    /// The proxy's zone.
    pub zone: ZoneId,
    /// The report.
    pub report: LoadReport,
}

/// The queues to the owner of the core.
pub type Inbox = railhub_net::Inbox<OwnerEvent, ReceivedReport>;

/// Creates an inbox with empty queues.
pub fn inbox() -> Inbox {
    Inbox::new(MAX_PENDING_EVENTS, MAX_PENDING_REPORTS)
}
