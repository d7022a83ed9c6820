//! Violations of the framing by a peer.
use thiserror::Error;

/// A violation of the framing by the peer. The stream cannot be read any further. A controller sends the text to the
/// proxy as the reason of its goodbye.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// A frame announced by the peer, or a line it sent, is longer than the reader allows.
    #[error("a frame of {length} bytes, {limit} are allowed")]
    TooLong {
        /// Bytes of the frame, as announced, or of the line so far.
        length: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// The peer announced a frame of length 0.
    #[error("an empty frame")]
    Empty,
    /// The body of a frame cannot be decoded as the expected message. Holds the decoder's error.
    #[error("a frame that is no message: {0}")]
    Malformed(String),
    /// The stream ended within a frame.
    #[error("the stream ended inside a frame")]
    Truncated,
}
