//! What a peer did wrong on its side of a framed stream.
use thiserror::Error;

/// A violation of the framing by the peer. The stream cannot be read any further.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The peer announced a frame, or sent a line, longer than the reader allows.
    #[error("a frame of {length} bytes, {limit} are allowed")]
    TooLong {
        /// Bytes announced.
        length: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// The peer announced a frame without bytes.
    #[error("an empty frame")]
    Empty,
    /// The bytes of a frame are not the message expected.
    #[error("a frame that is no message: {0}")]
    Malformed(String),
    /// The stream ended within a frame.
    #[error("the stream ended inside a frame")]
    Truncated,
}
