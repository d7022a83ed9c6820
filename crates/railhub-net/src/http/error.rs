//! Why an HTTP exchange failed.
use std::io;
use thiserror::Error;

/// Why an exchange, or a connection for exchanges, failed.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection came up.
    #[error("cannot be reached: {0}")]
    Connect(io::Error),
    /// The peer did not answer in time, or was silent for too long.
    #[error("no answer in time")]
    Timeout,
    /// Reading or writing failed.
    #[error("broken: {0}")]
    Io(io::Error),
    /// The peer closed the connection before the message was complete.
    #[error("the stream ended")]
    Closed,
    /// The peer sent what is not HTTP, is over a limit, or has a body that cannot be read.
    #[error("not HTTP: {0}")]
    Malformed(String),
    /// The peer answered with another status than 200.
    #[error("answered with status {0}")]
    Status(u16),
}

impl HttpError {
    /// Something is wrong with the bytes that the peer sent.
    pub(super) fn malformed(reason: impl ToString) -> HttpError {
        HttpError::Malformed(reason.to_string())
    }
}
