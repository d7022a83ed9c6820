//! Follows a record that may still grow.
use railhub_record::{complete_bytes, read_bytes, Event, RecordError};
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

/// Bytes read at once: more wait for the next look, so that a long record does not stop the keys.
const READ_MOST: u64 = 32 << 20;
/// The start of every record, which a part of one has to be given to be read as one.
const HEAD: usize = 16;

pub struct Source {
    path: PathBuf,
    head: Vec<u8>,
    at: u64,
    end: f64,
    pub events: Vec<Event>,
}

impl Source {
    pub fn open(path: &Path) -> Result<Source, RecordError> {
        let name = path.display().to_string();
        let io_error = |source: io::Error| RecordError::Io { file: name.clone(), source };
        let mut head = Vec::new();
        let file = File::open(path).map_err(io_error)?;
        file.take(HEAD as u64).read_to_end(&mut head).map_err(io_error)?;
        // A record that was just begun may have nothing in it yet.
        if !head.is_empty() {
            complete_bytes(&name, &head)?;
        }
        let mut source =
            Source { path: path.to_owned(), head, at: HEAD as u64, end: 0.0, events: Vec::new() };
        source.look()?;
        Ok(source)
    }

    /// Takes in what has come; how many events that were.
    pub fn look(&mut self) -> Result<usize, RecordError> {
        let name = self.path.display().to_string();
        let io_error = |source: io::Error| RecordError::Io { file: name.clone(), source };
        let mut file = File::open(&self.path).map_err(io_error)?;
        if self.head.len() < HEAD {
            self.head.clear();
            (&mut file).take(HEAD as u64).read_to_end(&mut self.head).map_err(io_error)?;
            if self.head.len() < HEAD {
                return Ok(0);
            }
        }
        file.seek(SeekFrom::Start(self.at)).map_err(io_error)?;
        let mut bytes = self.head.clone();
        file.take(READ_MOST).read_to_end(&mut bytes).map_err(io_error)?;
        let good = complete_bytes(&name, &bytes)?;
        let events = read_bytes(&name, &bytes[..good])?;
        self.at += (good - HEAD) as u64;
        let count = events.len();
        self.end = events.iter().map(|event| event.at).fold(self.end, f64::max);
        self.events.extend(events);
        Ok(count)
    }

    /// Seconds on the record's clock at which it ends so far.
    pub fn end(&self) -> f64 {
        self.end
    }
}
