//! Reads and writes whole files.
use crate::error::RecordError;
use crate::events::Event;
use crate::format::{complete_bytes, read_bytes, write_event, MAGIC};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// Events of a file that may be truncated.
#[derive(Clone, Debug, PartialEq)]
pub struct PartialRecording {
    /// The complete events, in the order of their times.
    pub events: Vec<Event>,
    /// The file ends within a further event, whose bytes were ignored.
    pub is_truncated: bool,
}

/// Writes a complete recording.
///
/// # Errors
/// [`RecordError::Io`] if the file cannot be written.
pub fn save(path: &Path, events: &[Event]) -> Result<(), RecordError> {
    write_file(path, events).map_err(|source| RecordError::io(path, source))
}

fn write_file(path: &Path, events: &[Event]) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    file.write_all(MAGIC)?;
    for event in events {
        write_event(&mut file, event)?;
    }
    file.flush()
}

/// All events of a file, in the order of their times.
///
/// # Errors
/// [`RecordError::Io`] if the file cannot be read, otherwise as [`read_bytes`].
pub fn read(path: &Path) -> Result<Vec<Event>, RecordError> {
    let bytes = std::fs::read(path).map_err(|source| RecordError::io(path, source))?;
    read_bytes(&path.display().to_string(), &bytes)
}

/// The complete events of a file that may be truncated.
///
/// # Errors
/// As [`read`], except for a file that ends within an event.
pub fn read_partial(path: &Path) -> Result<PartialRecording, RecordError> {
    let name = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|source| RecordError::io(path, source))?;
    let complete = complete_bytes(&name, &bytes)?;
    let events = read_bytes(&name, &bytes[..complete])?;
    Ok(PartialRecording { events, is_truncated: complete < bytes.len() })
}
