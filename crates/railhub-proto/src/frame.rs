//! Frames out of bytes. What waits here never exceeds one frame and one read.
use prost::Message;
use thiserror::Error;

/// Bytes of the length before each message.
const PREFIX: usize = 4;
/// Bytes of room an empty buffer may keep: idle peers are many and should cost little.
const KEPT: usize = 512;

/// What a peer did wrong.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    #[error("a frame of {length} bytes, {limit} are allowed")]
    TooLong { length: usize, limit: usize },
    #[error("an empty frame")]
    Empty,
    #[error("a frame that is no message: {0}")]
    Malformed(String),
    #[error("the stream ended inside a frame")]
    CutOff,
}

/// A message as a frame.
pub fn frame(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(PREFIX + length);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    message.encode(&mut bytes).expect("a vector grows as needed");
    bytes
}

/// Cuts a stream of bytes into messages.
pub struct Deframer {
    bytes: Vec<u8>,
    from: usize,
    limit: usize,
}

impl Deframer {
    /// `limit`: the most bytes a message may have.
    pub fn new(limit: usize) -> Deframer {
        Deframer { bytes: Vec::new(), from: 0, limit }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        if self.from > 0 {
            self.bytes.drain(..self.from);
            self.from = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// From now on.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// The next whole message, if its bytes are there.
    pub fn message<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let decode = |body: &[u8]| M::decode(body).map_err(|e| FrameError::Malformed(e.to_string()));
        self.body(decode)?.transpose()
    }

    /// What `read` makes of the next whole message, whatever it is written in.
    pub fn body<T>(&mut self, read: impl FnOnce(&[u8]) -> T) -> Result<Option<T>, FrameError> {
        let rest = &self.bytes[self.from..];
        let Some(prefix) = rest.first_chunk::<PREFIX>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > self.limit {
            return Err(FrameError::TooLong { length, limit: self.limit });
        }
        if length == 0 {
            return Err(FrameError::Empty);
        }
        let Some(body) = rest.get(PREFIX..PREFIX + length) else { return Ok(None) };
        let made = read(body);
        self.from += PREFIX + length;
        if self.from == self.bytes.len() {
            self.from = 0;
            self.bytes.clear();
            self.bytes.shrink_to(KEPT);
        }
        Ok(Some(made))
    }

    /// Whether the stream may end here.
    pub fn finish(&self) -> Result<(), FrameError> {
        if self.from == self.bytes.len() {
            Ok(())
        } else {
            Err(FrameError::CutOff)
        }
    }
}

/// Cuts a stream of bytes into lines, without their ends.
pub struct Lines {
    bytes: Vec<u8>,
    from: usize,
    /// Bytes that were looked at and hold no line end.
    looked: usize,
    limit: usize,
}

impl Lines {
    /// `limit`: the most bytes a line may have.
    pub fn new(limit: usize) -> Lines {
        Lines { bytes: Vec::new(), from: 0, looked: 0, limit }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        if self.from > 0 {
            self.bytes.drain(..self.from);
            (self.from, self.looked) = (0, self.looked.saturating_sub(self.from));
        }
        self.bytes.extend_from_slice(bytes);
    }

    pub fn has_line(&mut self) -> Result<bool, FrameError> {
        let end = self.bytes[self.looked..].iter().position(|byte| *byte == b'\n');
        self.looked = end.map_or(self.bytes.len(), |end| self.looked + end);
        let length = self.looked - self.from;
        if length > self.limit {
            return Err(FrameError::TooLong { length, limit: self.limit });
        }
        Ok(end.is_some())
    }

    /// What `read` makes of the line that is there; of an empty one if there is none.
    pub fn line<T>(&mut self, read: impl FnOnce(&[u8]) -> T) -> T {
        let line = &self.bytes[self.from..self.looked];
        let made = read(line.strip_suffix(b"\r").unwrap_or(line));
        self.from = (self.looked + 1).min(self.bytes.len());
        self.looked = self.from;
        if self.from == self.bytes.len() {
            (self.from, self.looked) = (0, 0);
            self.bytes.clear();
            self.bytes.shrink_to(KEPT);
        }
        made
    }
}

#[cfg(test)]
mod tests;
