//! As much HTTP/1.1 as roster, store and probes need: one exchange after another on a connection, bodies of a
//! stated length, everything bounded. Parsed by `httparse`.
use crate::deadline::{Closer, Guard};
use crate::dial::dial;
use may::net::TcpStream;
use railhub_proto::Lines;
use serde::{de::DeserializeOwned, Serialize};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Bytes of a request or status line with its headers, and their number.
const HEAD_LIMIT: usize = 8 << 10;
const HEADERS: usize = 32;
/// Bytes of a body: a whole host list or store of some ten thousand entries.
const BODY_LIMIT: usize = 8 << 20;
const READ_AT_ONCE: usize = 2048;

#[derive(Debug, Error)]
pub enum HttpError {
    #[error("cannot be reached: {0}")]
    Unreached(io::Error),
    #[error("no answer in time")]
    Silent,
    #[error("broken: {0}")]
    Broken(io::Error),
    #[error("the stream ended")]
    Ended,
    #[error("not HTTP: {0}")]
    Malformed(String),
    #[error("answered with status {0}")]
    Status(u16),
}

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// A number in the query of a path: `/hosts?after=7`.
pub fn query(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Reads one request; `None` when the peer ends between two. `read` are bytes taken from the stream already.
pub fn read_request(stream: &mut TcpStream, read: &mut Vec<u8>) -> Result<Option<Request>, HttpError> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(read).map_err(|e| HttpError::Malformed(e.to_string()))?;
        if let httparse::Status::Complete(head) = status {
            let method = request.method.unwrap_or_default().to_owned();
            let path = request.path.unwrap_or_default().to_owned();
            let length = body_length(request.headers)?;
            let body = read_body(stream, read, head, length)?;
            return Ok(Some(Request { method, path, body }));
        }
        let was_empty = read.is_empty();
        match read_head(stream, read) {
            Err(HttpError::Ended) if was_empty => return Ok(None),
            other => other?,
        }
    }
}

pub fn answer(stream: &mut TcpStream, status: u16, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} .\r\ncontent-length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn answer_json(stream: &mut TcpStream, body: &impl Serialize) -> io::Result<()> {
    answer(stream, 200, &serde_json::to_vec(body).map_err(io::Error::other)?)
}

/// A connection that asks, kept between calls and made anew when it broke.
pub struct Caller {
    address: SocketAddr,
    within: Duration,
    stream: Option<TcpStream>,
}

impl Caller {
    pub fn new(address: SocketAddr, within: Duration) -> Caller {
        Caller { address, within, stream: None }
    }

    pub fn call(&mut self, method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, HttpError> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => dial(self.address, self.within.as_secs_f64()).map_err(HttpError::Unreached)?,
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\n\r\n",
            self.address,
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        let guard = Guard::both_ways(&stream, self.within.as_secs_f64());
        stream.write_all(&bytes).map_err(HttpError::Broken)?;
        let read = read_answer(&mut stream);
        // What was read whole counts, though the guard fired just then; the stream is not used again.
        let whole = guard.let_go();
        let (status, body) = read.map_err(|fault| if whole { fault } else { HttpError::Silent })?;
        self.stream = whole.then_some(stream);
        if status == 200 {
            Ok(body)
        } else {
            Err(HttpError::Status(status))
        }
    }

    pub fn ask<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, HttpError> {
        let body = self.call("GET", path, &[])?;
        serde_json::from_slice(&body).map_err(|e| HttpError::Malformed(e.to_string()))
    }

    /// Sends a body and reads one.
    pub fn exchange<T: DeserializeOwned>(
        &mut self,
        method: &str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, HttpError> {
        let bytes = serde_json::to_vec(body).map_err(|e| HttpError::Malformed(e.to_string()))?;
        let body = self.call(method, path, &bytes)?;
        serde_json::from_slice(&body).map_err(|e| HttpError::Malformed(e.to_string()))
    }

    pub fn tell(&mut self, path: &str, body: &impl Serialize) -> Result<(), HttpError> {
        let bytes = serde_json::to_vec(body).map_err(|e| HttpError::Malformed(e.to_string()))?;
        self.call("PUT", path, &bytes).map(drop)
    }
}

/// Bytes of one line of a feed: a whole list of some ten thousand hosts.
const LINE_LIMIT: usize = 4 << 20;

/// An answer that is kept open and brings a line now and then, in chunks.
pub struct Feed {
    /// Before the socket, so that it ends first.
    guard: Guard,
    stream: TcpStream,
    chunks: Chunks,
    lines: Lines,
}

impl Feed {
    /// Asks; the peer may be silent for a span at most, from now on.
    pub fn open(address: SocketAddr, path: &str, connect: f64, silent: f64) -> Result<Feed, HttpError> {
        let mut stream = dial(address, connect).map_err(HttpError::Unreached)?;
        let guard = Guard::both_ways(&stream, silent);
        let ask = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n");
        stream.write_all(ask.as_bytes()).map_err(HttpError::Broken)?;
        let mut read = Vec::new();
        let head = loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            let status = response.parse(&read).map_err(|e| HttpError::Malformed(e.to_string()))?;
            if let httparse::Status::Complete(head) = status {
                match response.code {
                    Some(200) => break head,
                    code => return Err(HttpError::Status(code.unwrap_or_default())),
                }
            }
            let more = read_head(&mut stream, &mut read);
            if guard.fired() {
                return Err(HttpError::Silent);
            }
            more?;
        };
        let (mut chunks, mut lines) = (Chunks::default(), Lines::new(LINE_LIMIT));
        chunks.push(&read[head..], |part| lines.push(part))?;
        Ok(Feed { guard, stream, chunks, lines })
    }

    pub fn closer(&self) -> Closer {
        self.guard.closer()
    }

    /// What `read` makes of the next line.
    pub fn line<T>(&mut self, read: impl FnOnce(&[u8]) -> T) -> Result<T, HttpError> {
        loop {
            match self.lines.has_line() {
                Ok(true) => {
                    // Bytes that never make a line are no sign of life.
                    self.guard.heard();
                    break;
                }
                Ok(false) if self.chunks.ended => return Err(HttpError::Ended),
                Ok(false) => {}
                Err(fault) => return Err(HttpError::Malformed(fault.to_string())),
            }
            let mut bytes = [0; READ_AT_ONCE];
            match self.stream.read(&mut bytes) {
                Ok(count) if count > 0 => {
                    let lines = &mut self.lines;
                    self.chunks.push(&bytes[..count], |part| lines.push(part))?;
                }
                _ if self.guard.fired() => return Err(HttpError::Silent),
                Ok(_) => return Err(HttpError::Ended),
                Err(e) => return Err(HttpError::Broken(e)),
            }
        }
        Ok(self.lines.line(read))
    }
}

/// Takes the chunks of a body apart, whatever pieces they come in.
#[derive(Default)]
struct Chunks {
    /// A size line that is not whole yet.
    size: Vec<u8>,
    /// Bytes of the chunk that are still to come, and of the line end behind it.
    left: u64,
    tail: usize,
    ended: bool,
}

/// Bytes of a chunk's size line: a number and perhaps an extension.
const SIZE_LINE: usize = 256;

impl Chunks {
    fn push(&mut self, mut bytes: &[u8], mut part: impl FnMut(&[u8])) -> Result<(), HttpError> {
        while !bytes.is_empty() && !self.ended {
            if self.left > 0 {
                let here = usize::try_from(self.left).unwrap_or(usize::MAX).min(bytes.len());
                part(&bytes[..here]);
                bytes = &bytes[here..];
                self.left -= here as u64;
            } else if self.tail > 0 {
                let here = self.tail.min(bytes.len());
                bytes = &bytes[here..];
                self.tail -= here;
            } else {
                self.size.push(bytes[0]);
                bytes = &bytes[1..];
                self.read_size()?;
            }
        }
        Ok(())
    }

    fn read_size(&mut self) -> Result<(), HttpError> {
        if !self.size.ends_with(b"\n") {
            let short = self.size.len() < SIZE_LINE;
            return if short { Ok(()) } else { Err(HttpError::Malformed("a chunk without size".into())) };
        }
        match httparse::parse_chunk_size(&self.size) {
            // The parser takes a line without a digit for the last chunk.
            Ok(httparse::Status::Complete((_, size))) if self.size[0].is_ascii_hexdigit() => {
                (self.left, self.tail) = (size, 2);
            }
            _ => return Err(HttpError::Malformed("a chunk's size that cannot be".into())),
        }
        self.ended = self.left == 0;
        self.size.clear();
        Ok(())
    }
}

fn read_answer(stream: &mut TcpStream) -> Result<(u16, Vec<u8>), HttpError> {
    let mut read = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let status = response.parse(&read).map_err(|e| HttpError::Malformed(e.to_string()))?;
        if let httparse::Status::Complete(head) = status {
            let code = response.code.unwrap_or_default();
            let length = body_length(response.headers)?;
            return Ok((code, read_body(stream, &mut read, head, length)?));
        }
        read_head(stream, &mut read)?;
    }
}

fn body_length(headers: &[httparse::Header]) -> Result<usize, HttpError> {
    let Some(header) = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"))
    else {
        return Ok(0);
    };
    let text = std::str::from_utf8(header.value).unwrap_or_default();
    match text.trim().parse() {
        Ok(length) if length <= BODY_LIMIT => Ok(length),
        _ => Err(HttpError::Malformed(format!("a body of {text} bytes"))),
    }
}

fn read_head(stream: &mut TcpStream, read: &mut Vec<u8>) -> Result<(), HttpError> {
    if read.len() > HEAD_LIMIT {
        return Err(HttpError::Malformed("a head too long".into()));
    }
    read_more(stream, read)
}

fn read_body(
    stream: &mut TcpStream,
    read: &mut Vec<u8>,
    head: usize,
    length: usize,
) -> Result<Vec<u8>, HttpError> {
    while read.len() < head + length {
        read_more(stream, read)?;
    }
    let body = read[head..head + length].to_vec();
    read.drain(..head + length);
    Ok(body)
}

fn read_more(stream: &mut TcpStream, read: &mut Vec<u8>) -> Result<(), HttpError> {
    let mut bytes = [0; READ_AT_ONCE];
    match stream.read(&mut bytes) {
        Ok(0) => Err(HttpError::Ended),
        Ok(count) => {
            read.extend_from_slice(&bytes[..count]);
            Ok(())
        }
        Err(e) => Err(HttpError::Broken(e)),
    }
}

#[cfg(test)]
mod tests;
