//! The events of a recording: one [`Event`] for each message on a socket and for each change of a process. Times are
//! seconds on the machine's monotonic clock. Field names may change; the numbers after `tag` are the file format.
mod controllers;
mod endpoints;
mod hosts;
mod limits;
mod operations;
mod proxies;

pub use controllers::{ControllerLifecycle, InjectedFault, SliceGranted, TableWrite};
pub use endpoints::{EndpointPhase, EndpointStatus, EndpointsReceived};
pub use hosts::{HostStarted, HostStopped};
pub use limits::{ClassLimits, Limits, OperationIdempotency};
pub use operations::{Attempt, AttemptEnd, Effect, OperationEnd, Outcome};
pub use proxies::{DeltaAcknowledged, DeltaReceived, ProxyStream};

use prost::{Message, Oneof};

/// One recorded event.
#[derive(Clone, PartialEq, Message)]
pub struct Event {
    /// When it happened, in seconds.
    #[prost(double, tag = "1")]
    pub at: f64,
    /// What happened; `None` if a later version recorded a kind of event that this one does not know.
    #[prost(oneof = "EventKind", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16")]
    pub kind: Option<EventKind>,
}

/// What happened.
#[derive(Clone, PartialEq, Oneof)]
pub enum EventKind {
    /// The limits of the run.
    #[prost(message, tag = "2")]
    Limits(Limits),
    /// A host's process started.
    #[prost(message, tag = "3")]
    HostStarted(HostStarted),
    /// A host's process ended.
    #[prost(message, tag = "4")]
    HostStopped(HostStopped),
    /// A controller received an update of the endpoint list.
    #[prost(message, tag = "5")]
    EndpointsReceived(EndpointsReceived),
    /// A proxy's stream to a controller opened or closed.
    #[prost(message, tag = "6")]
    ProxyStream(ProxyStream),
    /// A delta reached a proxy.
    #[prost(message, tag = "7")]
    DeltaReceived(DeltaReceived),
    /// A proxy accepted or rejected a delta.
    #[prost(message, tag = "8")]
    DeltaAcknowledged(DeltaAcknowledged),
    /// A proxy sent an operation to a host.
    #[prost(message, tag = "9")]
    Attempt(Attempt),
    /// An attempt ended for its proxy.
    #[prost(message, tag = "10")]
    AttemptEnd(AttemptEnd),
    /// A host executed an operation.
    #[prost(message, tag = "11")]
    Effect(Effect),
    /// An operation ended for its client.
    #[prost(message, tag = "12")]
    OperationEnd(OperationEnd),
    /// A fault of the scenario began or ended.
    #[prost(message, tag = "13")]
    InjectedFault(InjectedFault),
    /// A controller's process changed its state.
    #[prost(message, tag = "14")]
    ControllerLifecycle(ControllerLifecycle),
    /// The store granted a slice.
    #[prost(message, tag = "15")]
    SliceGranted(SliceGranted),
    /// The store accepted or refused a table.
    #[prost(message, tag = "16")]
    TableWrite(TableWrite),
}
