//! Why a connection to the relay ended.
use railhub_platform::InvalidEntry;
use railhub_proto::FrameError;
use std::io;
use thiserror::Error;

/// Why a connection to the relay, or a call on it, failed.
#[derive(Debug, Error)]
pub enum RelayError {
    /// No connection came up.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The subscription could not be written.
    #[error("cannot subscribe: {0}")]
    Subscribe(#[source] io::Error),
    /// The relay did not answer the subscription in time.
    #[error("no answer to the subscription")]
    SubscriptionTimeout,
    /// A newer configuration's subscription is active.
    #[error("a new file names another relay")]
    Superseded,
    /// No line came within the time-out.
    #[error("silent for too long")]
    Silent,
    /// The relay closed the connection.
    #[error("closed")]
    Closed,
    /// A line is longer than the limit.
    #[error("{0}")]
    LineTooLong(#[source] FrameError),
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[source] io::Error),
    /// An event of the subscription is invalid.
    #[error("news: {0}")]
    InvalidEvent(#[source] InvalidEntry),
    /// The answer to a call is invalid.
    #[error("{reason}: {line_start}")]
    InvalidAnswer {
        /// What is wrong with it.
        reason: InvalidEntry,
        /// The first bytes of the line.
        line_start: String,
    },
}
