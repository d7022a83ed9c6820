//! Line splitting. A [`LineSplitter`] buffers the unconsumed bytes of one stream: at most one line and one read.
use crate::error::FrameError;
use crate::frame::IDLE_BUFFER_BYTES;

/// Splits a stream of bytes into lines, without their line ends.
pub struct LineSplitter {
    bytes: Vec<u8>,
    /// Offset of the first unconsumed byte.
    start: usize,
    /// Offset up to which the unconsumed bytes contain no line end.
    scanned: usize,
    max_line_bytes: usize,
}

impl LineSplitter {
    /// A splitter for lines of at most `max_line_bytes` bytes.
    pub fn new(max_line_bytes: usize) -> LineSplitter {
        LineSplitter { bytes: Vec::new(), start: 0, scanned: 0, max_line_bytes }
    }

    /// Appends bytes read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            (self.start, self.scanned) = (0, self.scanned.saturating_sub(self.start));
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether a complete line has arrived.
    ///
    /// # Errors
    /// The line exceeds the limit.
    pub fn has_line(&mut self) -> Result<bool, FrameError> {
        let end = self.bytes[self.scanned..].iter().position(|byte| *byte == b'\n');
        self.scanned = end.map_or(self.bytes.len(), |end| self.scanned + end);
        let length = self.scanned - self.start;
        if length > self.max_line_bytes {
            return Err(FrameError::TooLong { length, limit: self.max_line_bytes });
        }
        Ok(end.is_some())
    }

    /// Consumes the line that [`LineSplitter::has_line`] found and returns the result of `parse` for it. To be called
    /// only after it has returned true.
    pub fn next_line<T>(&mut self, parse: impl FnOnce(&[u8]) -> T) -> T {
        let line = &self.bytes[self.start..self.scanned];
        let result = parse(line.strip_suffix(b"\r").unwrap_or(line));
        self.start = (self.scanned + 1).min(self.bytes.len());
        self.scanned = self.start;
        if self.start == self.bytes.len() {
            (self.start, self.scanned) = (0, 0);
            self.bytes.clear();
            self.bytes.shrink_to(IDLE_BUFFER_BYTES);
        }
        result
    }
}

#[cfg(test)]
mod tests;
