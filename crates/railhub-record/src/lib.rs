//! Records the messages on the sockets of a run and the changes of its processes: events with their times on one clock,
//! in a file that can be checked later.
//!
//! Owns the events ([`Event`]), the file format, and the [`Recorder`] that any coroutine can write to. Both ends of
//! each socket belong to the run, so the side that sends or receives a frame records it.
//!
//! One event, from its cause to a reader:
//!
//! 1. The side that observes it calls [`Recorder::record`], which never blocks: the event enters a bounded queue, or is
//!    counted as dropped if the queue is full.
//! 2. The writer thread takes it from the queue and appends one block to the file: length, checksum, body. When no
//!    events arrive it flushes, so that a reader can follow the file.
//! 3. [`Recorder::finish`] flushes the rest, and fails if events were dropped.
//! 4. A reader takes the complete blocks ([`complete_bytes`]) of a file that may still grow, or the whole file
//!    ([`read`]), verifies each checksum, and sorts the events by time, since several threads recorded them.
#![warn(missing_docs)]
mod error;
mod events;
mod file;
mod format;
mod recorder;

pub use error::{EventDamage, RecordError};
pub use events::*;
pub use file::{read, read_partial, save, PartialRecording};
pub use format::{complete_bytes, read_bytes};
pub use recorder::Recorder;

#[cfg(test)]
mod tests;
