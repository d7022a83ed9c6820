//! What requests and responses have in common: a head, and a body of a stated length.
use crate::http::error::HttpError;
use may::net::TcpStream;
use std::io::Read;

/// Headers of a message at most.
pub const MAX_HEADERS: usize = 32;
/// Bytes read at once: on the coroutine's stack, so small.
pub const READ_BUFFER_SIZE: usize = 2048;
/// Bytes of a request or status line with its headers at most.
const MAX_HEAD_SIZE: usize = 8 << 10;
/// Bytes of a body at most: a complete list or store of some ten thousand entries.
const MAX_BODY_SIZE: usize = 8 << 20;

/// The length that the headers state; 0 if they state none.
pub fn body_length(headers: &[httparse::Header]) -> Result<usize, HttpError> {
    let is_length = |header: &&httparse::Header| header.name.eq_ignore_ascii_case("content-length");
    let Some(header) = headers.iter().find(is_length) else { return Ok(0) };
    let text = std::str::from_utf8(header.value).unwrap_or_default();
    match text.trim().parse() {
        Ok(length) if length <= MAX_BODY_SIZE => Ok(length),
        _ => Err(HttpError::malformed(format!("a body of {text} bytes"))),
    }
}

/// Reads more of a head that is not complete.
pub fn read_head(stream: &mut TcpStream, read: &mut Vec<u8>) -> Result<(), HttpError> {
    if read.len() > MAX_HEAD_SIZE {
        return Err(HttpError::malformed("a head too long"));
    }
    read_more(stream, read)
}

/// Reads a body of `length` bytes behind a head of `head_size`; takes both out of the bytes that were read.
pub fn read_body(
    stream: &mut TcpStream,
    read: &mut Vec<u8>,
    head_size: usize,
    length: usize,
) -> Result<Vec<u8>, HttpError> {
    let end = head_size + length;
    while read.len() < end {
        read_more(stream, read)?;
    }
    let body = read[head_size..end].to_vec();
    read.drain(..end);
    Ok(body)
}

fn read_more(stream: &mut TcpStream, read: &mut Vec<u8>) -> Result<(), HttpError> {
    let mut bytes = [0; READ_BUFFER_SIZE];
    match stream.read(&mut bytes) {
        Ok(0) => Err(HttpError::Closed),
        Ok(count) => {
            read.extend_from_slice(&bytes[..count]);
            Ok(())
        }
        Err(error) => Err(HttpError::Io(error)),
    }
}
