//! Reading of heads and of bodies with a content length, for requests and responses.
use crate::http::error::HttpError;
use may::net::TcpStream;
use std::io::Read;

/// Maximum number of headers of a message.
pub const MAX_HEADERS: usize = 32;
/// Size of the read buffer: small, as it is on the coroutine's stack.
pub const READ_BUFFER_BYTES: usize = 2048;
/// Maximum size of a head: the request or status line and the headers.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum size of a body: a complete endpoint list or store of some ten thousand entries.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The content length of a message; 0 if there is no such header.
pub fn body_length(headers: &[httparse::Header]) -> Result<usize, HttpError> {
    let is_length = |header: &&httparse::Header| header.name.eq_ignore_ascii_case("content-length");
    let Some(header) = headers.iter().find(is_length) else { return Ok(0) };
    let text = std::str::from_utf8(header.value).unwrap_or_default();
    match text.trim().parse() {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(length),
        _ => Err(HttpError::malformed(format!(
            "content-length {text:?}, expected a number up to {MAX_BODY_BYTES}"
        ))),
    }
}

/// Reads more bytes of an incomplete head into the buffer.
pub fn read_more_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<(), HttpError> {
    if buffer.len() > MAX_HEAD_BYTES {
        return Err(HttpError::malformed(format!("a head of more than {MAX_HEAD_BYTES} bytes")));
    }
    read_more(stream, buffer)
}

/// Reads a body of `length` bytes after a head of `head_length` bytes; removes both from the buffer.
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
