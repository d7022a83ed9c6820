//! Why a connection to the relay ended.
use railhub_platform::DecodeError;
use railhub_proto::FrameError;
use std::io;
use thiserror::Error;

/// Why a connection to the relay, or a call on it, failed.
#[derive(Debug, Error)]
pub enum RelayError {
    /// No connection came up.
    #[error("cannot connect to the relay: {0}")]
    Connect(#[source] io::Error),
    /// The subscription could not be written.
    #[error("cannot send the subscription to the relay: {0}")]
    Subscribe(#[source] io::Error),
    /// The relay did not answer the subscription in time.
    #[error("no answer from the relay to the subscription")]
    SubscriptionTimeout,
    /// A newer configuration's subscription is active.
    #[error("superseded by the subscription of a newer configuration")]
    Superseded,
    /// No line came within the time-out.
    #[error("relay silent for too long")]
    Silent,
    /// The relay closed the connection.
    #[error("connection closed by the relay")]
    Closed,
    /// A line is longer than the limit.
    #[error("line of the relay too long: {0}")]
    LineTooLong(#[source] FrameError),
    /// Reading or writing failed.
    #[error("connection to the relay failed: {0}")]
    Io(#[source] io::Error),
    /// An event of the subscription is invalid.
    #[error("invalid event from the relay: {0}")]
    InvalidEvent(#[source] DecodeError),
    /// The answer to a call is invalid.
    #[error("invalid answer from the relay: {reason}: {line_start}")]
    InvalidAnswer {
        /// What is wrong with it.
        reason: DecodeError,
        /// The first bytes of the line.
        line_start: String,
    },
}
