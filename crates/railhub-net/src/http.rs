//! As much HTTP/1.1 as roster, store and probes need: one exchange after another on a connection, bodies of a
//! stated length, everything bounded. Parsed by `httparse`.
use crate::deadline::Guard;
use may::net::TcpStream;
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
pub enum HttpFault {
    #[error("cannot be reached: {0}")]
    Unreached(io::Error),
    #[error("no answer in time")]
    Silent,
    #[error("broken: {0}")]
    Broken(io::Error),
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
pub fn read_request(stream: &mut TcpStream, read: &mut Vec<u8>) -> Result<Option<Request>, HttpFault> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(read).map_err(|e| HttpFault::Malformed(e.to_string()))?;
        if let httparse::Status::Complete(head) = status {
            let method = request.method.unwrap_or_default().to_owned();
            let path = request.path.unwrap_or_default().to_owned();
            let length = body_length(request.headers)?;
            let body = read_body(stream, read, head, length)?;
            return Ok(Some(Request { method, path, body }));
        }
        let was_empty = read.is_empty();
        match read_head(stream, read) {
            Err(HttpFault::Malformed(_)) if was_empty => return Ok(None),
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

    pub fn call(&mut self, method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, HttpFault> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream =
                    TcpStream::connect_timeout(&self.address, self.within).map_err(HttpFault::Unreached)?;
                stream.set_nodelay(true).map_err(HttpFault::Broken)?;
                stream
            }
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\n\r\n",
            self.address,
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        let guard = Guard::new(&stream, self.within.as_secs_f64());
        stream.write_all(&bytes).map_err(HttpFault::Broken)?;
        let read = read_answer(&mut stream);
        let late = guard.fired();
        drop(guard);
        let (status, body) = if late { Err(HttpFault::Silent) } else { read }?;
        self.stream = Some(stream);
        if status == 200 {
            Ok(body)
        } else {
            Err(HttpFault::Status(status))
        }
    }

    pub fn ask<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, HttpFault> {
        let body = self.call("GET", path, &[])?;
        serde_json::from_slice(&body).map_err(|e| HttpFault::Malformed(e.to_string()))
    }

    pub fn tell(&mut self, path: &str, body: &impl Serialize) -> Result<(), HttpFault> {
        let bytes = serde_json::to_vec(body).map_err(|e| HttpFault::Malformed(e.to_string()))?;
        self.call("PUT", path, &bytes).map(drop)
    }
}

fn read_answer(stream: &mut TcpStream) -> Result<(u16, Vec<u8>), HttpFault> {
    let mut read = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let status = response.parse(&read).map_err(|e| HttpFault::Malformed(e.to_string()))?;
        if let httparse::Status::Complete(head) = status {
            let code = response.code.unwrap_or_default();
            let length = body_length(response.headers)?;
            return Ok((code, read_body(stream, &mut read, head, length)?));
        }
        read_head(stream, &mut read)?;
    }
}

fn body_length(headers: &[httparse::Header]) -> Result<usize, HttpFault> {
    let Some(header) = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"))
    else {
        return Ok(0);
    };
    let text = std::str::from_utf8(header.value).unwrap_or_default();
    match text.trim().parse() {
        Ok(length) if length <= BODY_LIMIT => Ok(length),
        _ => Err(HttpFault::Malformed(format!("a body of {text} bytes"))),
    }
}

fn read_head(stream: &mut TcpStream, read: &mut Vec<u8>) -> Result<(), HttpFault> {
    if read.len() > HEAD_LIMIT {
        return Err(HttpFault::Malformed("a head too long".into()));
    }
    read_more(stream, read)
}

fn read_body(
    stream: &mut TcpStream,
    read: &mut Vec<u8>,
    head: usize,
    length: usize,
) -> Result<Vec<u8>, HttpFault> {
    while read.len() < head + length {
        read_more(stream, read)?;
    }
    let body = read[head..head + length].to_vec();
    read.drain(..head + length);
    Ok(body)
}

fn read_more(stream: &mut TcpStream, read: &mut Vec<u8>) -> Result<(), HttpFault> {
    let mut bytes = [0; READ_AT_ONCE];
    match stream.read(&mut bytes) {
        Ok(0) => Err(HttpFault::Malformed("the stream ended".into())),
        Ok(count) => {
            read.extend_from_slice(&bytes[..count]);
            Ok(())
        }
        Err(e) => Err(HttpFault::Broken(e)),
    }
}
