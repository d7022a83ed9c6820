//! Errors of a proxy's stream that end its session.
use crate::report_validation::ReportError;
use railhub_net::StreamError;
use thiserror::Error;

/// Why a stream was ended. The text is for the log; the proxy is sent the text of
/// [`goodbye_reason`](crate::goodbye::goodbye_reason).
#[derive(Debug, Error)]
pub enum SessionError {
    /// The connection was closed, failed, was idle for too long, or brought a malformed message.
    #[error(transparent)]
    Connection(#[from] StreamError),
    /// The first message was not a subscription.
    #[error("first message is not a subscription")]
    NoSubscription,
    /// The number of the proxy or zone in the subscription is too large.
    #[error("proxy number {proxy} or zone number {zone} is over {max}", max = u16::MAX)]
    NumberTooLarge {
        /// The proxy's number.
        proxy: u32,
        /// The zone's number.
        zone: u32,
    },
    /// The proxy has already subscribed on this stream.
    #[error("second subscription on one stream")]
    SecondSubscription,
    /// A message has no payload of a kind known to this version.
    #[error("message of an unknown kind")]
    UnknownMessage,
    /// A load report has an invalid value.
    #[error("{0}")]
    Report(#[from] ReportError),
    /// The proxy exceeds its message rate limit.
    #[error("too many messages")]
    TooManyMessages,
}
