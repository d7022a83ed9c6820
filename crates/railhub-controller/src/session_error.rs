//! Why a session with a proxy ends on the side of the stream.
use crate::report_validation::ReportError;
use railhub_net::StreamError;
use thiserror::Error;

/// What ended a stream; the text goes to the proxy and to the log.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The connection ended, broke, was silent for too long, or brought no message.
    #[error(transparent)]
    Connection(#[from] StreamError),
    /// The stream was opened with another message than a subscription.
    #[error("the first message is no subscription")]
    NoSubscription,
    /// The subscription names a proxy or zone that cannot be.
    #[error("proxy {proxy} or zone {zone} is too large a number")]
    NumberTooLarge {
        /// The proxy's number.
        proxy: u32,
        /// The zone's number.
        zone: u32,
    },
    /// The proxy has subscribed already.
    #[error("a second subscription on one stream")]
    SecondSubscription,
    /// A message of a kind that this program does not know.
    #[error("a message without a word")]
    UnknownMessage,
    /// A load report has an impossible value.
    #[error("sums with {0}")]
    Report(#[from] ReportError),
    /// The proxy sends more messages than it may.
    #[error("too many messages")]
    TooManyMessages,
}
