//! What crossed the sockets: events with their times on one clock, in a file that can be judged later.
//!
//! A record is a magic line, then blocks: length, checksum, one [`Event`]. Both ends of each socket are ours,
//! so whoever sends or receives a frame writes it down. Events of many writers are put in order when read.
mod events;
mod file;

pub use events::*;
pub use file::{read, read_bytes, read_part, save, whole_blocks, RecordFault, Recorder};
