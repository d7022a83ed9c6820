//! Length-prefixed frames. A [`Deframer`] buffers the unconsumed bytes of one stream: at most one frame and one read.
use crate::error::FrameError;
use prost::Message;

/// Bytes of the length prefix of each message.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Capacity in bytes that an empty buffer keeps, so that the many idle streams use little memory.
pub(crate) const IDLE_BUFFER_BYTES: usize = 512;

/// Encodes a message as one frame.
pub fn frame(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(LENGTH_PREFIX_BYTES + length);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    message.encode(&mut bytes).expect("writing to a vector does not fail");
    bytes
}

/// Splits a stream of bytes into messages.
pub struct Deframer {
    bytes: Vec<u8>,
    /// Offset of the first unconsumed byte.
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

    /// Decodes the next message, or returns `None` until all of its bytes have arrived.
    ///
    /// # Errors
    /// The next frame exceeds the limit, is empty or cannot be decoded as an `M`.
    pub fn message<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let decode = |body: &[u8]| M::decode(body).map_err(|error| FrameError::Malformed(error.to_string()));
        self.body(decode)?.transpose()
    }

    /// Consumes the next frame and returns the result of `parse` for its body, or `None` until all of its bytes have
    /// arrived.
    ///
    /// # Errors
    /// The next frame exceeds the limit or is empty.
    pub fn body<T>(&mut self, parse: impl FnOnce(&[u8]) -> T) -> Result<Option<T>, FrameError> {
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
        let result = parse(body);
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
    /// [`FrameError::Truncated`] if an incomplete frame is left in the buffer.
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
