//! What requests and responses have in common: a head, and a body of a stated length.
use crate::http::error::HttpError;
use may::net::TcpStream;
use std::io::Read;

/// Headers of a message at most.
pub const MAX_HEADERS: usize = 32;
/// Bytes read at once: on the coroutine's stack, so small.
pub const READ_BUFFER_BYTES: usize = 2048;
/// Bytes of a request or status line with its headers at most.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Bytes of a body at most: a complete list or store of some ten thousand entries.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The length that the headers state; 0 if they state none.
pub fn body_length(headers: &[httparse::Header]) -> Result<usize, HttpError> {
    let is_length = |header: &&httparse::Header| header.name.eq_ignore_ascii_case("content-length");
    let Some(header) = headers.iter().find(is_length) else { return Ok(0) };
    let text = std::str::from_utf8(header.value).unwrap_or_default();
    match text.trim().parse() {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(length),
        _ => Err(HttpError::malformed(format!("a body of {text} bytes"))),
    }
}

/// Reads more of a head that is not complete.
pub fn read_more_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<(), HttpError> {
    if buffer.len() > MAX_HEAD_BYTES {
        return Err(HttpError::malformed("a head too long"));
    }
    read_more(stream, buffer)
}

/// Reads a body of `length` bytes behind a head of `head_length`; takes both out of the bytes that were read.
pub fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    head_length: usize,
    length: usize,
) -> Result<Vec<u8>, HttpError> {
    let end = head_length + length;
    while buffer.len() < end {
        read_more(stream, buffer)?;
    }
    let body = buffer[head_length..end].to_vec();
    buffer.drain(..end);
    Ok(body)
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<(), HttpError> {
    let mut bytes = [0; READ_BUFFER_BYTES];
    match stream.read(&mut bytes) {
        Ok(0) => Err(HttpError::Closed),
        Ok(count) => {
            buffer.extend_from_slice(&bytes[..count]);
            Ok(())
        }
        Err(error) => Err(HttpError::Io(error)),
    }
}
