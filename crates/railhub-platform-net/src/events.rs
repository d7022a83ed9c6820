//! The inputs of the controller thread: events, which must not be lost, and load reports, which may be dropped.
use railhub::{HealthCheckOutcome, HostLoadReport, SliceLoadReport};
use railhub_net::Inbox;
use railhub_platform::{CallResponse, RelayEvent, SubscriptionId};
use railhub_platform::{EndpointPage, HealthCheck};

/// Capacity of the event queue of the controller thread; senders wait while it is full.
const MAX_QUEUED_EVENTS: usize = 4096;
/// Capacity of the report queue of the controller thread; reports beyond it are dropped and counted.
const MAX_QUEUED_REPORTS: usize = 4096;

/// An event for the controller thread.
pub enum ControllerEvent {
    /// A page of the endpoint list. The sender has taken a page permit, which the receiver returns.
    EndpointPage(EndpointPage),
    /// A subscription is about to be requested from the relay.
    SubscriptionRequested(SubscriptionId),
    /// An event arrived on a subscription.
    RelayEvent(SubscriptionId, RelayEvent),
    /// The connection of a subscription ended, or could not be established.
    SubscriptionEnded(SubscriptionId),
    /// A health check was completed.
    HealthCheckCompleted(HealthCheck, HealthCheckOutcome),
    /// The call in flight was completed; `None` if there was no valid answer, so that its outcome is unknown.
    CallCompleted(Option<CallResponse>),
}

/// A load report of a collector about the traffic of its zone's proxies over some period.
pub enum LoadReport {
    /// The attempts at one host.
    Host(HostLoadReport),
    /// The demand for one slice.
    Slice(SliceLoadReport),
}

/// The bounded queues of the controller thread.
pub type ControllerInbox = Inbox<ControllerEvent, LoadReport>;

/// Creates the empty queues.
pub fn new_inbox() -> ControllerInbox {
    Inbox::new(MAX_QUEUED_EVENTS, MAX_QUEUED_REPORTS)
}
