//! The core's interface to a proxy's stream.
use crate::delta_queue::{DeltaResponse, ResponseEffect};
use crate::publication::Publication;
use railhub::{Seconds, UndeliveredExclusion};
use std::sync::Arc;
use thiserror::Error;

/// Identifies one connection of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// Why the core closes a stream. The text is sent to the proxy.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CloseReason {
    /// Another process is registered as this proxy.
    #[error("another process speaks for this proxy")]
    RegisteredByAnotherProcess,
    /// The same proxy process has opened a newer stream.
    #[error("a newer stream of this proxy is open")]
    ReplacedByNewerStream,
    /// The proxy did not respond to a delta in time.
    #[error("no word on a version for too long")]
    ResponseTimeout,
}

/// The delivery of deltas to one proxy: the queue of its deltas and the writer that sends them.
pub trait ProxyChannel {
    /// Queues a publication.
    fn push(&self, publication: Arc<Publication>);
    /// Handles the proxy's response to a delta.
    fn on_response(&self, nonce: u64, response: DeltaResponse) -> ResponseEffect;
    /// The exclusions and readmissions that the proxy rejected and that are kept back until there is a new change.
    fn rejected_exclusions(&self) -> Vec<UndeliveredExclusion>;
    /// Whether nothing is pending and the proxy has responded to every delta it was sent.
    fn is_idle(&self) -> bool;
    /// Table lines that are pending or in flight, with `message_cost` lines added for each message.
    fn backlog_lines(&self, message_cost: f64) -> f64;
    /// When the oldest delta without a response was sent; `None` if there is no such delta.
    fn unacknowledged_since(&self) -> Option<Seconds>;
    /// Number of publications that were merged into a pending one.
    fn merged(&self) -> u64;
    /// Closes the stream.
    fn close(&self, reason: CloseReason);
}
