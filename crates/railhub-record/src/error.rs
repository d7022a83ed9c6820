//! The errors of writing and reading recordings.
use crate::format::{MAGIC, MAX_EVENT_BYTES};
use crate::recorder::MAX_QUEUED_EVENTS;
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
    /// The file is not a recording, or one of another version.
    #[error("{file}: does not begin with \"{}\": not a record of this version", MAGIC.escape_ascii())]
    NotARecording {
        /// The file's name.
        file: String,
    },
    /// An event in the file cannot be read.
    #[error("{file}: event {number} is damaged: {damage}")]
    Damaged {
        /// The file's name.
        file: String,
        /// The event's position in the file, from 1.
        number: usize,
        /// What is wrong with it.
        damage: EventDamage,
    },
    /// The recorder dropped events, as its queue was full.
    #[error(
        "recording incomplete: {events} events dropped, the queue of {MAX_QUEUED_EVENTS} events was full"
    )]
    QueueOverflow {
        /// The number of dropped events.
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
    #[error("truncated: the file ends within the event")]
    Truncated,
    /// Its length is above the limit.
    #[error("its length is above the limit of {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// Its bytes do not match its checksum.
    #[error("CRC-32 checksum mismatch")]
    ChecksumMismatch,
    /// Its body is not an encoded event.
    #[error("not an encoded event: {0}")]
    Decode(DecodeError),
}
