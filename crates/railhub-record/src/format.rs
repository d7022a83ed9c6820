//! The file format: [`MAGIC`], then one block for each event: length and CRC-32 of the body, each in 4 bytes,
//! little-endian, and the body, an encoded [`Event`].
use crate::error::{EventDamage, RecordError};
use crate::events::Event;
use prost::Message;
use std::io::{self, Write};

/// The first bytes of a recording.
pub const MAGIC: &[u8; 16] = b"railhub record 1";
/// Size of the length and the checksum before a block's body.
const BLOCK_HEADER_BYTES: usize = 8;
/// Largest body of a block: a delta of the largest size, and the fields around it.
pub const MAX_EVENT_BYTES: usize = 8 << 20;

/// Writes one block.
pub fn write_event(file: &mut impl Write, event: &Event) -> io::Result<()> {
    let body = event.encode_to_vec();
    file.write_all(&(body.len() as u32).to_le_bytes())?;
    file.write_all(&crc32fast::hash(&body).to_le_bytes())?;
    file.write_all(&body)
}

/// How many of the first bytes of a recording that may still grow are complete blocks. `name` is the file's name, for
/// errors.
///
/// # Errors
/// [`RecordError::NotARecording`] if the magic bytes are missing, [`RecordError::Damaged`] if an event is above the
/// size limit.
pub fn complete_bytes(name: &str, bytes: &[u8]) -> Result<usize, RecordError> {
    let mut rest = strip_magic(name, bytes)?;
    let mut complete = MAGIC.len();
    let mut number = 0;
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        number += 1;
        let body_bytes = u32::from_le_bytes(*length) as usize;
        if body_bytes > MAX_EVENT_BYTES {
            let file = name.to_owned();
            return Err(RecordError::Damaged { file, number, damage: EventDamage::TooLong });
        }
        let block_bytes = BLOCK_HEADER_BYTES + body_bytes;
        if after.len() + length.len() < block_bytes {
            break;
        }
        complete += block_bytes;
        rest = &rest[block_bytes..];
    }
    Ok(complete)
}

/// All events of a recording, in the order of their times. `name` is the file's name, for errors.
///
/// # Errors
/// [`RecordError::NotARecording`] if the magic bytes are missing, [`RecordError::Damaged`] if an event cannot be read.
pub fn read_bytes(name: &str, bytes: &[u8]) -> Result<Vec<Event>, RecordError> {
    let mut rest = strip_magic(name, bytes)?;
    let mut events = Vec::new();
    while !rest.is_empty() {
        let (event, after) = read_event(rest).map_err(|damage| RecordError::Damaged {
            file: name.to_owned(),
            number: events.len() + 1,
            damage,
        })?;
        events.push(event);
        rest = after;
    }
    sort_by_time(&mut events);
    Ok(events)
}

/// Sorts events by time; those of the same time keep their order.
pub fn sort_by_time(events: &mut [Event]) {
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
}

fn strip_magic<'a>(name: &str, bytes: &'a [u8]) -> Result<&'a [u8], RecordError> {
    bytes.strip_prefix(MAGIC).ok_or_else(|| RecordError::NotARecording { file: name.to_owned() })
}

/// Reads the first event. Returns it and the bytes after its block.
fn read_event(bytes: &[u8]) -> Result<(Event, &[u8]), EventDamage> {
    let (length, after) = bytes.split_first_chunk::<4>().ok_or(EventDamage::Truncated)?;
    let (checksum, after) = after.split_first_chunk::<4>().ok_or(EventDamage::Truncated)?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_EVENT_BYTES || length > after.len() {
        return Err(EventDamage::Truncated);
    }
    let (body, after) = after.split_at(length);
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(EventDamage::ChecksumMismatch);
    }
    let event = Event::decode(body).map_err(EventDamage::Decode)?;
    Ok((event, after))
}
