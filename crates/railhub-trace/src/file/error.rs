//! Errors of reading and writing a trace file.
use std::io;
use thiserror::Error;

/// Reason why a trace file cannot be read or written.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The file cannot be read or written.
    #[error("{file}: {error}")]
    Io {
        /// Path of the file.
        file: String,
        /// Error reported by the operating system.
        error: io::Error,
    },
    /// The file does not begin with the magic line of a trace.
    #[error("{0}: not recorded traffic: the first line is not 'railhub traffic VERSION'")]
    NotATrace(String),
    /// The file is a trace in another version of the format.
    #[error("{file}: recorded traffic has format version '{version}', expected version 1")]
    UnsupportedVersion {
        /// Path of the file.
        file: String,
        /// Format version in the magic line.
        version: String,
    },
    /// A block is corrupt.
    #[error("{file}: block {block} is corrupt: {reason}")]
    Corrupt {
        /// Path of the file.
        file: String,
        /// Number of the block, starting at 1.
        block: usize,
        /// Description of the fault in the block.
        reason: String,
    },
}
