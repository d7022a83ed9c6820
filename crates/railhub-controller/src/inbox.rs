//! What the owner of the core is sent.
use crate::core::{LeaseChanges, StreamId};
use crate::delta_queue::DeltaResponse;
use crate::session_error::SessionError;
use crate::stream_handle::StreamHandle;
use railhub::{EndpointList, HealthCheckResult, ProxyId, SliceAssignment, ZoneId};
use railhub_proto::{LoadReport, Subscribe};
use std::sync::Arc;

/// Events that may wait: some seconds' worth from thousands of proxies. Past it the sender waits.
const MAX_PENDING_EVENTS: usize = 16 << 10;
/// Load reports that may wait. Past it they are dropped and counted.
const MAX_PENDING_REPORTS: usize = 8 << 10;

/// Something that happened to a part of the controller.
pub enum OwnerEvent {
    /// The endpoint list was updated.
    EndpointList(EndpointList),
    /// All slices with their tables, where this controller is alone.
    Assignments(Vec<SliceAssignment>),
    /// Leases were acquired and lost, where controllers share the slices.
    LeaseChanges(LeaseChanges),
    /// A health check ended.
    HealthCheck(HealthCheckResult),
    /// A proxy has subscribed.
    Subscribed {
        /// Its stream.
        stream: StreamId,
        /// Who it is and what it holds.
        subscribe: Subscribe,
        /// Takes its deltas.
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
        /// The delta.
        nonce: u64,
        /// Whether it was applied.
        response: DeltaResponse,
        /// Why it was rejected; empty for an acknowledgement.
        reason: String,
    },
    /// The owner is to end.
    Stop,
}

/// A load report that waits.
pub struct ReceivedReport {
    /// The stream that it came on.
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

/// Empty queues.
pub fn inbox() -> Inbox {
    Inbox::new(MAX_PENDING_EVENTS, MAX_PENDING_REPORTS)
}
