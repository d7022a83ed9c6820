//! Takes the chunks of a body apart, whatever pieces they come in.
//!
//! States: in a size line, in a chunk's data, in the line end behind the data, ended (the last chunk came; what follows
//! is not read).
use crate::http::error::HttpError;

/// Bytes of a chunk's size line at most: a number and perhaps an extension.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Bytes of the line end behind a chunk's data.
const LINE_END_BYTES: usize = 2;

#[derive(Debug, PartialEq, Eq)]
enum DecoderState {
    /// The bytes of the line that have come.
    SizeLine(Vec<u8>),
    /// Bytes of data to come.
    Data(u64),
    /// Bytes of the line end to come.
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
    /// Whether the last chunk has come.
    pub fn has_ended(&self) -> bool {
        self.state == DecoderState::Ended
    }

    /// Takes in bytes; `on_data` gets the body's bytes among them, piece by piece.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] at a size that cannot be.
    pub fn push(&mut self, mut bytes: &[u8], mut on_data: impl FnMut(&[u8])) -> Result<(), HttpError> {
        while !bytes.is_empty() && !self.has_ended() {
            let used = self.step(bytes, &mut on_data)?;
            bytes = &bytes[used..];
        }
        Ok(())
    }

    /// Takes in the first bytes, at least one. Returns how many.
    fn step(&mut self, bytes: &[u8], on_data: &mut impl FnMut(&[u8])) -> Result<usize, HttpError> {
        match &mut self.state {
            DecoderState::SizeLine(line) => {
                line.push(bytes[0]);
                if let Some(size) = parse_size_line(line)? {
                    self.state = if size == 0 { DecoderState::Ended } else { DecoderState::Data(size) };
                }
                Ok(1)
            }
            DecoderState::Data(left) => {
                let count = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                on_data(&bytes[..count]);
                *left -= count as u64;
                if *left == 0 {
                    self.state = DecoderState::LineEnd(LINE_END_BYTES);
                }
                Ok(count)
            }
            DecoderState::LineEnd(left) => {
                let count = (*left).min(bytes.len());
                *left -= count;
                if *left == 0 {
                    self.state = DecoderState::SizeLine(Vec::new());
                }
                Ok(count)
            }
            DecoderState::Ended => Ok(bytes.len()),
        }
    }
}

/// The size that the line states; `None` if the line is not complete.
fn parse_size_line(line: &[u8]) -> Result<Option<u64>, HttpError> {
    if !line.ends_with(b"\n") {
        if line.len() >= MAX_SIZE_LINE_BYTES {
            return Err(HttpError::malformed("a chunk without size"));
        }
        return Ok(None);
    }
    match httparse::parse_chunk_size(line) {
        // The parser takes a line without a digit for the last chunk.
        Ok(httparse::Status::Complete((_, size))) if line[0].is_ascii_hexdigit() => Ok(Some(size)),
        _ => Err(HttpError::malformed("a chunk's size that cannot be")),
    }
}

#[cfg(test)]
mod tests;
