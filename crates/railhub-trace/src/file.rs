//! The trace file: a magic line with the format version, then blocks, each of length, checksum and body.
//!
//! The first block is the header, the following ones hold rows as columns, the last one holds the number of rows. A
//! file without its last block is truncated; its complete blocks can still be read.
mod blocks;
mod error;
mod reader;
mod writer;

pub use error::TraceError;
pub use reader::{read, LoadedTrace};
pub use writer::{write, TraceWriter};

use crate::Trace;
use std::fs::File;
use std::io::{self, BufWriter};
use std::path::Path;

/// Reads a trace file.
///
/// # Errors
/// If the file cannot be read, is not a trace of this version, or is corrupt.
pub fn open(path: &Path) -> Result<LoadedTrace, TraceError> {
    let bytes = std::fs::read(path).map_err(|error| io_error(path, error))?;
    read(&path.display().to_string(), &bytes)
}

/// Writes a trace file, replacing an existing file.
///
/// # Errors
/// If the file cannot be written.
pub fn save(path: &Path, trace: &Trace) -> Result<(), TraceError> {
    let file = File::create(path).map_err(|error| io_error(path, error))?;
    write(BufWriter::new(file), trace).map_err(|error| io_error(path, error))?;
    Ok(())
}

fn io_error(path: &Path, error: io::Error) -> TraceError {
    TraceError::Io { file: path.display().to_string(), error }
}

#[cfg(test)]
mod tests;
