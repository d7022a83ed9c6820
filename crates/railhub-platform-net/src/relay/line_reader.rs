//! Reads lines from the relay, with a time-out.
use crate::relay::error::RelayError;
use may::net::TcpStream;
use railhub_net::IdleTimeout;
use railhub_platform::wire::relay::MAX_LINE_BYTES;
use railhub_proto::LineSplitter;
use std::io::Read;

/// Size of the read buffer: small, as it is on the coroutine's stack.
const READ_BUFFER_BYTES: usize = 2048;

/// A splitter for lines of [`MAX_LINE_BYTES`] bytes at most.
pub fn new_line_splitter() -> LineSplitter {
    LineSplitter::new(MAX_LINE_BYTES)
}

/// Waits for the next line and returns the result of `parse` for it.
///
/// # Errors
/// [`RelayError::IdleTimeout`] if the time-out expired before a complete line arrived; otherwise why the connection
/// ended.
pub fn next_line<T>(
    stream: &mut TcpStream,
    idle_timeout: &IdleTimeout,
    lines: &mut LineSplitter,
    parse: impl FnOnce(&[u8]) -> T,
) -> Result<T, RelayError> {
    loop {
        if lines.has_line().map_err(RelayError::LineTooLong)? {
            // Restarted only by a complete line, so that a peer that never completes a line times out.
            idle_timeout.restart();
            return Ok(lines.next_line(parse));
        }
        let mut bytes = [0; READ_BUFFER_BYTES];
        match stream.read(&mut bytes) {
            // Bytes that arrived before the time-out expired are used: they may complete a line.
            Ok(count) if count > 0 => lines.push(&bytes[..count]),
            _ if idle_timeout.has_expired() => return Err(RelayError::IdleTimeout),
            Ok(_) => return Err(RelayError::Closed),
            Err(error) => return Err(RelayError::Io(error)),
        }
    }
}

#[cfg(test)]
mod tests;
