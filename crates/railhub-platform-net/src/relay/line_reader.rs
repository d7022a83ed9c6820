//! Reads lines of the relay against a time-out.
use crate::relay::error::RelayError;
use may::net::TcpStream;
use railhub_net::IdleTimeout;
use railhub_platform::wire::relay::MAX_LINE_BYTES;
use railhub_proto::LineSplitter;
use std::io::Read;

/// Bytes read at once: on the coroutine's stack, so small.
const READ_BUFFER_BYTES: usize = 2048;

/// A splitter for lines of [`MAX_LINE_BYTES`] bytes at most.
pub fn new_line_splitter() -> LineSplitter {
    LineSplitter::new(MAX_LINE_BYTES)
}

/// What `parse` makes of the next line.
///
/// # Errors
/// [`RelayError::IdleTimeout`] once the time-out has expired and no complete line came before; otherwise why the
/// connection ended.
pub fn next_line<T>(
    stream: &mut TcpStream,
    idle_timeout: &IdleTimeout,
    lines: &mut LineSplitter,
    parse: impl FnOnce(&[u8]) -> T,
) -> Result<T, RelayError> {
    loop {
        if lines.has_line().map_err(RelayError::LineTooLong)? {
            // Bytes that never make a line are no sign of life.
            idle_timeout.restart();
            return Ok(lines.next_line(parse));
        }
        let mut bytes = [0; READ_BUFFER_BYTES];
        match stream.read(&mut bytes) {
            // What came completely just as the time-out expired counts.
            Ok(count) if count > 0 => lines.push(&bytes[..count]),
            _ if idle_timeout.has_expired() => return Err(RelayError::IdleTimeout),
            Ok(_) => return Err(RelayError::Closed),
            Err(error) => return Err(RelayError::Io(error)),
        }
    }
}

#[cfg(test)]
mod tests;
