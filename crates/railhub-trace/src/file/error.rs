//! Owns the errors of reading and writing a trace file.
use std::io;
use thiserror::Error;

/// Why a trace file cannot be used.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The file cannot be read or written.
    #[error("{file}: {error}")]
    Io {
        /// Path of the file.
        file: String,
        /// What the operating system reported.
        error: io::Error,
    },
    /// The file does not begin as a trace does.
    #[error("{0}: not recorded traffic")]
    NotATrace(String),
    /// The file is a trace of another version.
    #[error("{file}: traffic of version {version}, this program reads version 1")]
    UnsupportedVersion {
        /// Path of the file.
        file: String,
        /// Version in its magic line.
        version: String,
    },
    /// A block is corrupt.
    #[error("{file}: block {block} is damaged: {reason}")]
    Corrupt {
        /// Path of the file.
        file: String,
        /// Number of the block, from 1.
        block: usize,
        /// What is wrong with it.
        reason: String,
    },
}
