//! Length-prefixed frames. A [`Deframer`] owns the bytes of one stream that are not consumed yet: never more than one
//! frame and one read.
use crate::error::FrameError;
use prost::Message;

/// Bytes of the length before each message.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Capacity in bytes that an empty buffer keeps: idle streams are many and should cost little.
pub(crate) const IDLE_BUFFER_BYTES: usize = 512;

/// Encodes a message as one frame.
pub fn frame(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(LENGTH_PREFIX_BYTES + length);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    message.encode(&mut bytes).expect("a vector grows as needed");
    bytes
}

/// Splits a stream of bytes into messages.
pub struct Deframer {
    bytes: Vec<u8>,
    /// Where the bytes that are not consumed begin.
    start: usize,
    max_message_bytes: usize,
}

impl Deframer {
    /// A deframer for messages of at most `max_message_bytes` bytes.
    pub fn new(max_message_bytes: usize) -> Deframer {
        Deframer { bytes: Vec::new(), start: 0, max_message_bytes }
    }

    /// Appends bytes read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Sets the limit for the messages that follow.
    pub fn set_max_message_bytes(&mut self, max_message_bytes: usize) {
        self.max_message_bytes = max_message_bytes;
    }

    /// The next message, if all of its bytes are there.
    ///
    /// # Errors
    /// The next frame exceeds the limit, is empty or is no such message.
    pub fn message<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let decode = |body: &[u8]| M::decode(body).map_err(|error| FrameError::Malformed(error.to_string()));
        self.body(decode)?.transpose()
    }

    /// The result of `read` for the body of the next frame, if all of its bytes are there.
    ///
    /// # Errors
    /// The next frame exceeds the limit or is empty.
    pub fn body<T>(&mut self, read: impl FnOnce(&[u8]) -> T) -> Result<Option<T>, FrameError> {
        let pending = &self.bytes[self.start..];
        let Some(prefix) = pending.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > self.max_message_bytes {
            return Err(FrameError::TooLong { length, limit: self.max_message_bytes });
        }
        if length == 0 {
            return Err(FrameError::Empty);
        }
        let Some(body) = pending.get(LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + length) else {
            return Ok(None);
        };
        let result = read(body);
        self.start += LENGTH_PREFIX_BYTES + length;
        if self.start == self.bytes.len() {
            self.start = 0;
            self.bytes.clear();
            self.bytes.shrink_to(IDLE_BUFFER_BYTES);
        }
        Ok(Some(result))
    }

    /// Checks that the stream may end here.
    ///
    /// # Errors
    /// Bytes of an incomplete frame are left.
    pub fn finish(&self) -> Result<(), FrameError> {
        if self.start == self.bytes.len() {
            Ok(())
        } else {
            Err(FrameError::Truncated)
        }
    }
}

#[cfg(test)]
mod tests;
