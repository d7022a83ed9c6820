//! What sockets send to the controller thread: events, which must not be lost, and load reports, which may be.
use railhub::{HealthCheckOutcome, HostLoadReport, SliceLoadReport};
use railhub_net::Inbox;
use railhub_platform::{CallResponse, RelayEvent, SubscriptionId};
use railhub_platform::{EndpointPage, HealthCheck};

/// Events that may wait for the controller thread; senders wait while the queue is full.
const MAX_QUEUED_EVENTS: usize = 4096;
/// Load reports that may wait for the controller thread; further ones are dropped and counted.
const MAX_QUEUED_REPORTS: usize = 4096;

/// Something that changes the controller's state.
pub enum ControllerEvent {
    /// A page of the endpoint list; the sender holds one of the page permits, which the receiver returns.
    EndpointPage(EndpointPage),
    /// A subscription to the relay is about to be requested.
    SubscriptionRequested(SubscriptionId),
    /// A subscription brought an event.
    RelayEvent(SubscriptionId, RelayEvent),
    /// A subscription's connection ended, or never came up.
    SubscriptionEnded(SubscriptionId),
    /// A health check ended.
    HealthCheckCompleted(HealthCheck, HealthCheckOutcome),
    /// The call in flight ended. `None`: without a readable answer, so its outcome is unknown.
    CallCompleted(Option<CallResponse>),
}

/// A load report of a collector, over some span of its proxies' traffic.
pub enum LoadReport {
    /// Attempts at one host.
    Host(HostLoadReport),
    /// Attempts for one slice.
    Slice(SliceLoadReport),
}

/// The bounded queues of the controller thread.
pub type ControllerInbox = Inbox<ControllerEvent, LoadReport>;

/// Empty queues.
pub fn new_inbox() -> ControllerInbox {
    Inbox::new(MAX_QUEUED_EVENTS, MAX_QUEUED_REPORTS)
}
