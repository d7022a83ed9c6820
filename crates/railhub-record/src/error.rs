//! Why a recording cannot be written or read.
use prost::DecodeError;
use std::io;
use std::path::Path;
use thiserror::Error;

/// Why a recording cannot be written or read.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The file cannot be opened, written or read.
    #[error("{file}: {source}")]
    Io {
        /// The file's name.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// The file is no recording, or one of another version.
    #[error("{file}: not a record of this version")]
    NotARecording {
        /// The file's name.
        file: String,
    },
    /// An event of the file cannot be read.
    #[error("{file}: event {number} is damaged: {damage}")]
    Damaged {
        /// The file's name.
        file: String,
        /// The event's place in the file, from 1.
        number: usize,
        /// What is wrong with it.
        damage: EventDamage,
    },
    /// Events did not fit the recorder's queue.
    #[error("{events} events did not fit the queue: the record has gaps")]
    QueueOverflow {
        /// Events that are missing.
        events: usize,
    },
}

impl RecordError {
    pub(crate) fn io(path: &Path, source: io::Error) -> RecordError {
        RecordError::Io { file: path.display().to_string(), source }
    }
}

/// What is wrong with an event in a file.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum EventDamage {
    /// The file ends within the event.
    #[error("cut off")]
    Truncated,
    /// Its length is over the limit.
    #[error("longer than any event")]
    TooLong,
    /// Its bytes do not match its checksum.
    #[error("its checksum differs")]
    ChecksumMismatch,
    /// Its bytes are no event.
    #[error("{0}")]
    Decode(DecodeError),
}
