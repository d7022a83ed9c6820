//! Errors of connections to the relay.
use railhub_platform::DecodeError;
use railhub_proto::FrameError;
use std::io;
use thiserror::Error;

/// Why a connection to the relay, or a call on it, failed.
#[derive(Debug, Error)]
pub enum RelayError {
    /// No connection could be established.
    #[error("cannot connect to the relay: {0}")]
    Connect(#[source] io::Error),
    /// The subscription request could not be sent.
    #[error("cannot send the subscription to the relay: {0}")]
    Subscribe(#[source] io::Error),
    /// The relay did not answer the subscription in time.
    #[error("no answer from the relay to the subscription")]
    SubscriptionTimeout,
    /// The subscription of a newer configuration is active.
    #[error("superseded by the subscription of a newer configuration")]
    Superseded,
    /// No complete line arrived within the time-out.
    #[error("relay silent for too long")]
    IdleTimeout,
    /// The relay closed the connection.
    #[error("connection closed by the relay")]
    Closed,
    /// A line exceeds the limit.
    #[error("line from the relay too long: {0}")]
    LineTooLong(#[source] FrameError),
    /// Reading or writing failed.
    #[error("connection to the relay failed: {0}")]
    Io(#[source] io::Error),
    /// An event of the subscription is invalid.
    #[error("invalid event from the relay: {0}")]
    InvalidEvent(#[source] DecodeError),
    /// The answer to a call is invalid.
    #[error("invalid answer from the relay ({reason}): {line_start}")]
    InvalidAnswer {
        /// What is wrong with it.
        reason: DecodeError,
        /// The first bytes of the line.
        line_start: String,
    },
}
