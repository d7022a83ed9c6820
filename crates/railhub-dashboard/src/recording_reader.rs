//! Incremental reading of a recording that may still grow.
use railhub_record::{complete_bytes, read_bytes, Event, RecordError};
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

/// Maximum number of bytes read in one poll, so that reading a long recording does not delay key presses.
const MAX_READ_BYTES: u64 = 32 << 20;
/// Length of a recording's header, which is put before each later part of the recording for parsing.
const HEADER_BYTES: usize = 16;

/// A recording and the events read from it so far.
pub struct RecordingReader {
    path: PathBuf,
    /// Header of the recording; shorter than `HEADER_BYTES` until it is completely written.
    header: Vec<u8>,
    /// Number of bytes of the file that have been parsed, including the header.
    offset: u64,
    /// Latest time of an event so far, in seconds of the recording's clock.
    end: f64,
    /// All events read so far, in the order of the file.
    pub events: Vec<Event>,
}

impl RecordingReader {
    /// Opens a recording, which may still be empty, and reads its first events.
    ///
    /// # Errors
    /// If the file cannot be read, is not a recording or has a corrupt event.
    pub fn open(path: &Path) -> Result<RecordingReader, RecordError> {
        let name = path.display().to_string();
        let mut file = File::open(path).map_err(io_error(&name))?;
        let header = read_up_to(&mut file, HEADER_BYTES as u64).map_err(io_error(&name))?;
        if !header.is_empty() {
            complete_bytes(&name, &header)?;
        }
        let mut reader = RecordingReader {
            path: path.to_owned(),
            header,
            offset: HEADER_BYTES as u64,
            end: 0.0,
            events: Vec::new(),
        };
        reader.poll()?;
        Ok(reader)
    }

    /// Reads the complete blocks appended since the last poll; returns the number of new events.
    ///
    /// # Errors
    /// If the file cannot be read or has a corrupt event.
    pub fn poll(&mut self) -> Result<usize, RecordError> {
        let name = self.path.display().to_string();
        let mut file = File::open(&self.path).map_err(io_error(&name))?;
        if self.header.len() < HEADER_BYTES {
            self.header = read_up_to(&mut file, HEADER_BYTES as u64).map_err(io_error(&name))?;
            if self.header.len() < HEADER_BYTES {
                return Ok(0);
            }
        }
        file.seek(SeekFrom::Start(self.offset)).map_err(io_error(&name))?;
        let mut bytes = self.header.clone();
        bytes.extend(read_up_to(&mut file, MAX_READ_BYTES).map_err(io_error(&name))?);
        let complete = complete_bytes(&name, &bytes)?;
        let events = read_bytes(&name, &bytes[..complete])?;
        self.offset += (complete - HEADER_BYTES) as u64;
        let count = events.len();
        self.end = events.iter().map(|event| event.at).fold(self.end, f64::max);
        self.events.extend(events);
        Ok(count)
    }

    /// Latest time of an event so far, in seconds of the recording's clock.
    pub fn end(&self) -> f64 {
        self.end
    }
}

fn read_up_to(file: &mut File, limit: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    file.take(limit).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn io_error(name: &str) -> impl Fn(io::Error) -> RecordError + '_ {
    move |source| RecordError::Io { file: name.to_owned(), source }
}
