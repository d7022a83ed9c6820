//! Why an HTTP exchange failed.
use std::io;
use thiserror::Error;

/// Why an exchange, or a connection for exchanges, failed.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection could be established.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The peer did not answer in time, or was silent for longer than the idle time-out.
    #[error("no answer in time")]
    Timeout,
    /// Reading or writing failed.
    #[error("connection failed: {0}")]
    Io(io::Error),
    /// The peer closed the connection before the message was complete, or ended a response that should stay open.
    #[error("connection or response ended unexpectedly")]
    Closed,
    /// The peer sent a message that is not HTTP, exceeds a limit, or has an invalid body.
    #[error("invalid HTTP message: {0}")]
    Malformed(String),
    /// The peer answered with another status than 200.
    #[error("answered with status {0} instead of 200")]
    Status(u16),
}

impl HttpError {
    /// A [`HttpError::Malformed`] for this reason.
    pub(super) fn malformed(reason: impl ToString) -> HttpError {
        HttpError::Malformed(reason.to_string())
    }
}
