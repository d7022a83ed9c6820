//! Incremental decoder of chunked bodies; the bytes may arrive in pieces of any size.
//!
//! States: in a size line, in a chunk's data, in the line end after the data, ended (the last chunk has arrived; bytes
//! after it are ignored).
use crate::http::error::HttpError;

/// Maximum size of a chunk's size line: a number and possibly an extension.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Size of the line end after a chunk's data.
const LINE_END_BYTES: usize = 2;

#[derive(Debug, PartialEq, Eq)]
enum DecoderState {
    /// The bytes of the line so far.
    SizeLine(Vec<u8>),
    /// Bytes of data that remain.
    Data(u64),
    /// Bytes of the line end that remain.
    LineEnd(usize),
    Ended,
}

/// Decodes a chunked body.
pub struct ChunkedDecoder {
    state: DecoderState,
}

impl Default for ChunkedDecoder {
    fn default() -> ChunkedDecoder {
        ChunkedDecoder { state: DecoderState::SizeLine(Vec::new()) }
    }
}

impl ChunkedDecoder {
    /// Whether the last chunk has arrived.
    pub fn has_ended(&self) -> bool {
        self.state == DecoderState::Ended
    }

    /// Decodes bytes; calls `on_data` with each piece of the body in them.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] if a chunk size is invalid.
    pub fn push(&mut self, mut bytes: &[u8], mut on_data: impl FnMut(&[u8])) -> Result<(), HttpError> {
        while !bytes.is_empty() && !self.has_ended() {
            let consumed = self.step(bytes, &mut on_data)?;
            bytes = &bytes[consumed..];
        }
        Ok(())
    }

    /// Decodes the first part of the bytes, at least one byte. Returns the number of bytes consumed.
    fn step(&mut self, bytes: &[u8], on_data: &mut impl FnMut(&[u8])) -> Result<usize, HttpError> {
        match &mut self.state {
            DecoderState::SizeLine(line) => {
                line.push(bytes[0]);
                if let Some(size) = parse_size_line(line)? {
                    self.state = if size == 0 { DecoderState::Ended } else { DecoderState::Data(size) };
                }
                Ok(1)
            }
            DecoderState::Data(remaining) => {
                let count = usize::try_from(*remaining).unwrap_or(usize::MAX).min(bytes.len());
                on_data(&bytes[..count]);
                *remaining -= count as u64;
                if *remaining == 0 {
                    self.state = DecoderState::LineEnd(LINE_END_BYTES);
                }
                Ok(count)
            }
            DecoderState::LineEnd(remaining) => {
                let count = (*remaining).min(bytes.len());
                *remaining -= count;
                if *remaining == 0 {
                    self.state = DecoderState::SizeLine(Vec::new());
                }
                Ok(count)
            }
            DecoderState::Ended => Ok(bytes.len()),
        }
    }
}

/// The chunk size in a size line; `None` if the line is not complete.
fn parse_size_line(line: &[u8]) -> Result<Option<u64>, HttpError> {
    if !line.ends_with(b"\n") {
        if line.len() >= MAX_SIZE_LINE_BYTES {
            return Err(HttpError::malformed(format!(
                "a chunk's size line of more than {MAX_SIZE_LINE_BYTES} bytes"
            )));
        }
        return Ok(None);
    }
    match httparse::parse_chunk_size(line) {
        // The parser accepts a line without a digit as a size of 0, which would be the last chunk.
        Ok(httparse::Status::Complete((_, size))) if line[0].is_ascii_hexdigit() => Ok(Some(size)),
        _ => Err(HttpError::malformed(format!(
            "invalid chunk size line {:?}",
            String::from_utf8_lossy(line).trim_end()
        ))),
    }
}

#[cfg(test)]
mod tests;
