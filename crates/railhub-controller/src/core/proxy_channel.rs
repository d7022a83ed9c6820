//! What the core needs of a proxy's stream.
use crate::delta_queue::{DeltaResponse, ResponseEffect};
use crate::publication::Publication;
use railhub::Seconds;
use std::sync::Arc;
use thiserror::Error;

/// One connection of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// Why the core ends a stream; the text goes to the proxy.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CloseReason {
    /// Another process is registered as this proxy.
    #[error("another process speaks for this proxy")]
    RegisteredByAnotherProcess,
    /// The same process has opened a newer stream.
    #[error("a newer stream of this proxy is open")]
    ReplacedByNewerStream,
    /// A delta was left without a response for too long.
    #[error("no word on a version for too long")]
    ResponseTimeout,
}

/// Takes a proxy's deltas: its queue, and what empties it.
pub trait ProxyChannel {
    /// Queues a publication.
    fn push(&self, publication: Arc<Publication>);
    /// Takes the proxy's response to a delta.
    fn on_response(&self, nonce: u64, response: DeltaResponse) -> ResponseEffect;
    /// Whether the proxy has responded to all it was sent and nothing is pending.
    fn is_idle(&self) -> bool;
    /// Lines that are pending or in flight, `message_cost` for each message included.
    fn backlog_lines(&self, message_cost: f64) -> f64;
    /// When the oldest delta without a response was sent.
    fn unacknowledged_since(&self) -> Option<Seconds>;
    /// Publications that were merged into a pending one.
    fn merged(&self) -> u64;
    /// Ends the stream.
    fn close(&self, reason: CloseReason);
}
