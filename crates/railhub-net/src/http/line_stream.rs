//! A chunked response that the server keeps open and sends lines on.
//!
//! It is open from when its head has been read until it ends: by the last chunk, a time-out or an error.
use crate::dial::dial;
use crate::http::chunked::ChunkedDecoder;
use crate::http::error::HttpError;
use crate::http::message::{read_more_head, MAX_HEADERS, READ_BUFFER_BYTES};
use crate::idle_timeout::{Closer, IdleTimeout};
use may::net::TcpStream;
use railhub_proto::LineSplitter;
use std::io::{Read, Write};
use std::net::SocketAddr;

/// Maximum size of a line: a complete list of some ten thousand hosts.
const MAX_LINE_BYTES: usize = 4 << 20;
const STATUS_OK: u16 = 200;

/// The lines of one response.
pub struct LineStream {
    /// Declared before the socket, so that it is dropped first and never shuts down a descriptor that was closed and
    /// reused.
    idle_timeout: IdleTimeout,
    stream: TcpStream,
    decoder: ChunkedDecoder,
    lines: LineSplitter,
}

impl LineStream {
    /// Makes a GET request for the path. `connect_timeout` limits the connection attempt. `idle_timeout` limits the
    /// time from the connection to the first line, and the time between two lines. Both are in seconds.
    ///
    /// # Errors
    /// Why there is no response with status 200.
    pub fn open(
        address: SocketAddr,
        path: &str,
        connect_timeout: f64,
        idle_timeout: f64,
    ) -> Result<LineStream, HttpError> {
        let mut stream = dial(address, connect_timeout).map_err(HttpError::Connect)?;
        // Shuts down writing as well, so that a peer that does not read cannot block the request.
        let idle_timeout = IdleTimeout::both_halves(&stream, idle_timeout);
        let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n");
        stream.write_all(request.as_bytes()).map_err(HttpError::Io)?;
        let body_start = read_response_head(&mut stream, &idle_timeout)?;
        let (mut decoder, mut lines) = (ChunkedDecoder::default(), LineSplitter::new(MAX_LINE_BYTES));
        decoder.push(&body_start, |data| lines.push(data))?;
        Ok(LineStream { idle_timeout, stream, decoder, lines })
    }

    /// A handle to close the connection from another coroutine or thread.
    pub fn closer(&self) -> Closer {
        self.idle_timeout.closer()
    }

    /// Waits for the next line and returns the result of `parse` for it. Only a complete line restarts the idle
    /// time-out, so a peer that sends bytes without ever completing a line times out.
    ///
    /// # Errors
    /// Why the response ended; [`HttpError::Timeout`] if no line arrived within the idle time-out.
    pub fn next_line<T>(&mut self, parse: impl FnOnce(&[u8]) -> T) -> Result<T, HttpError> {
        while !self.lines.has_line().map_err(HttpError::malformed)? {
            if self.decoder.has_ended() {
                return Err(HttpError::Closed);
            }
            self.read()?;
        }
        self.idle_timeout.restart();
        Ok(self.lines.next_line(parse))
    }

    fn read(&mut self) -> Result<(), HttpError> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        match self.stream.read(&mut bytes) {
            Ok(count) if count > 0 => {
                let lines = &mut self.lines;
                self.decoder.push(&bytes[..count], |data| lines.push(data))
            }
            // The expired time-out has shut the socket down, which ends the read with no bytes or an error.
            _ if self.idle_timeout.has_expired() => Err(HttpError::Timeout),
            Ok(_) => Err(HttpError::Closed),
            Err(error) => Err(HttpError::Io(error)),
        }
    }
}

/// Reads the head of a response with status 200; returns the bytes of the body that were read with it.
fn read_response_head(stream: &mut TcpStream, idle_timeout: &IdleTimeout) -> Result<Vec<u8>, HttpError> {
    let mut buffer = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&buffer).map_err(HttpError::malformed)?;
        if let httparse::Status::Complete(head_length) = parsed {
            return match response.code {
                Some(STATUS_OK) => Ok(buffer.split_off(head_length)),
                status => Err(HttpError::Status(status.unwrap_or_default())),
            };
        }
        let more = read_more_head(stream, &mut buffer);
        if idle_timeout.has_expired() {
            return Err(HttpError::Timeout);
        }
        more?;
    }
}
