//! Writes and reads records. Writers are coroutines, so what they write waits in a bounded queue for a thread
//! that owns the file.
use crate::{Event, What};
use prost::Message;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use thiserror::Error;

const MAGIC: &[u8; 16] = b"railhub record 1";
/// Events that may wait for the file; past it the record is marked as broken rather than the run slowed.
const WAITING: usize = 1 << 20;
/// Without events for so long, what was written goes to the file, for those who follow it.
const FLUSH_AFTER: Duration = Duration::from_millis(200);
/// Bytes one event may have: a delta of the largest size and some room.
const LONGEST: usize = 8 << 20;

#[derive(Debug, Error)]
pub enum RecordFault {
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    #[error("{0}: not a record of this version")]
    Foreign(String),
    #[error("{file}: event {number} is damaged: {what}")]
    Damaged { file: String, number: usize, what: String },
    #[error("{0} events did not fit the queue: the record has gaps")]
    Gaps(usize),
}

enum To {
    File(String, Box<BufWriter<File>>),
    Memory(Vec<Event>),
}

type Keeper = JoinHandle<Result<Vec<Event>, RecordFault>>;

/// Takes events from any coroutine or thread.
#[derive(Clone)]
pub struct Recorder {
    sender: Sender<Option<Event>>,
    waiting: Arc<AtomicUsize>,
    lost: Arc<AtomicUsize>,
    keeper: Arc<Mutex<Option<Keeper>>>,
}

impl Recorder {
    /// Into a file, or into memory where there is none.
    pub fn start(path: Option<&Path>) -> Result<Recorder, RecordFault> {
        let mut to = match path {
            None => To::Memory(Vec::new()),
            Some(path) => {
                let name = path.display().to_string();
                let file = File::create(path).map_err(|e| RecordFault::File(name.clone(), e))?;
                let mut file = Box::new(BufWriter::new(file));
                file.write_all(MAGIC).map_err(|e| RecordFault::File(name.clone(), e))?;
                To::File(name, file)
            }
        };
        let (sender, receiver) = channel::<Option<Event>>();
        let waiting = Arc::new(AtomicUsize::new(0));
        let counted = waiting.clone();
        let keeper = std::thread::spawn(move || {
            loop {
                let event = match receiver.recv_timeout(FLUSH_AFTER) {
                    Ok(Some(event)) => event,
                    Ok(None) | Err(RecvTimeoutError::Disconnected) => break,
                    Err(RecvTimeoutError::Timeout) => {
                        if let To::File(name, file) = &mut to {
                            file.flush().map_err(|e| RecordFault::File(name.clone(), e))?;
                        }
                        continue;
                    }
                };
                counted.fetch_sub(1, Ordering::Relaxed);
                match &mut to {
                    To::Memory(events) => events.push(event),
                    To::File(name, file) => {
                        write_event(file, &event).map_err(|e| RecordFault::File(name.clone(), e))?;
                    }
                }
            }
            match to {
                To::Memory(events) => Ok(events),
                To::File(name, mut file) => {
                    file.flush().map_err(|e| RecordFault::File(name, e))?;
                    Ok(Vec::new())
                }
            }
        });
        let keeper = Arc::new(Mutex::new(Some(keeper)));
        Ok(Recorder { sender, waiting, lost: Arc::default(), keeper })
    }

    pub fn note(&self, at: f64, what: What) {
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= WAITING {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            self.lost.fetch_add(1, Ordering::Relaxed);
        } else if self.sender.send(Some(Event { at, what: Some(what) })).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Ends the record. What was kept in memory comes back in the order of its times.
    pub fn finish(&self) -> Result<Vec<Event>, RecordFault> {
        let keeper = self.keeper.lock().expect("no holder panics").take();
        let _ = self.sender.send(None);
        let mut events = match keeper.map(JoinHandle::join) {
            Some(Ok(kept)) => kept?,
            _ => Vec::new(),
        };
        match self.lost.load(Ordering::Relaxed) {
            0 => {
                events.sort_by(|a, b| a.at.total_cmp(&b.at));
                Ok(events)
            }
            lost => Err(RecordFault::Gaps(lost)),
        }
    }
}

fn write_event(file: &mut impl Write, event: &Event) -> std::io::Result<()> {
    let bytes = event.encode_to_vec();
    file.write_all(&(bytes.len() as u32).to_le_bytes())?;
    file.write_all(&crc32fast::hash(&bytes).to_le_bytes())?;
    file.write_all(&bytes)
}

/// A whole record at once, for those who have all of it: nothing waits, nothing is left out.
pub fn save(path: &Path, events: &[Event]) -> Result<(), RecordFault> {
    let fault = |e| RecordFault::File(path.display().to_string(), e);
    let mut file = BufWriter::new(File::create(path).map_err(fault)?);
    file.write_all(MAGIC).map_err(fault)?;
    events.iter().try_for_each(|event| write_event(&mut file, event)).map_err(fault)?;
    file.flush().map_err(fault)
}

/// All events of a file, in the order of their times.
pub fn read(path: &Path) -> Result<Vec<Event>, RecordFault> {
    let name = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|e| RecordFault::File(name.clone(), e))?;
    read_bytes(&name, &bytes)
}

/// The events before the place where a file was cut off, and whether it was.
pub fn read_part(path: &Path) -> Result<(Vec<Event>, bool), RecordFault> {
    let name = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|e| RecordFault::File(name.clone(), e))?;
    let good = whole_blocks(&name, &bytes)?;
    Ok((read_bytes(&name, &bytes[..good])?, good < bytes.len()))
}

/// How many bytes of a record that may still grow are whole blocks.
pub fn whole_blocks(name: &str, bytes: &[u8]) -> Result<usize, RecordFault> {
    let mut rest = bytes.strip_prefix(MAGIC).ok_or_else(|| RecordFault::Foreign(name.to_owned()))?;
    let mut good = MAGIC.len();
    let mut number = 0;
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        number += 1;
        let block = 8 + u32::from_le_bytes(*length) as usize;
        if block > 8 + LONGEST {
            // No event is so long, whatever may still come.
            let what = "longer than any event".to_owned();
            return Err(RecordFault::Damaged { file: name.to_owned(), number, what });
        }
        if after.len() + 4 < block {
            break;
        }
        good += block;
        rest = &rest[block..];
    }
    Ok(good)
}

pub fn read_bytes(name: &str, bytes: &[u8]) -> Result<Vec<Event>, RecordFault> {
    let mut rest = bytes.strip_prefix(MAGIC).ok_or_else(|| RecordFault::Foreign(name.to_owned()))?;
    let mut events = Vec::new();
    while !rest.is_empty() {
        let damaged = |what: &str| RecordFault::Damaged {
            file: name.to_owned(),
            number: events.len() + 1,
            what: what.to_owned(),
        };
        let (length, after) = rest.split_first_chunk::<4>().ok_or_else(|| damaged("cut off"))?;
        let (sum, after) = after.split_first_chunk::<4>().ok_or_else(|| damaged("cut off"))?;
        let length = u32::from_le_bytes(*length) as usize;
        if length > LONGEST || length > after.len() {
            return Err(damaged("cut off"));
        }
        let (body, after) = after.split_at(length);
        if crc32fast::hash(body) != u32::from_le_bytes(*sum) {
            return Err(damaged("its checksum differs"));
        }
        events.push(Event::decode(body).map_err(|e| damaged(&e.to_string()))?);
        rest = after;
    }
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(events)
}

#[cfg(test)]
mod tests;
