//! The serving side: requests in, responses out.
use crate::http::error::HttpError;
use crate::http::message::{body_length, read_body, read_more_head, MAX_HEADERS};
use may::net::TcpStream;
use serde::Serialize;
use std::io::{self, Write};

/// A complete request.
pub struct Request {
    /// As in `GET`.
    pub method: String,
    /// With the query, as in `/hosts?after=7`.
    pub path: String,
    /// Empty if there is none.
    pub body: Vec<u8>,
}

/// A number in the query of a path: 7 for `after` of `/hosts?after=7`.
pub fn query_number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Reads one request; `None` when the peer closes between two. `buffer` holds bytes taken from the stream already.
///
/// # Errors
/// Why the connection is to be closed.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<Option<Request>, HttpError> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(buffer).map_err(HttpError::malformed)?;
        if let httparse::Status::Complete(head_length) = status {
            let method = request.method.unwrap_or_default().to_owned();
            let path = request.path.unwrap_or_default().to_owned();
            let length = body_length(request.headers)?;
            let body = read_body(stream, buffer, head_length, length)?;
            return Ok(Some(Request { method, path, body }));
        }
        let was_empty = buffer.is_empty();
        match read_more_head(stream, buffer) {
            Err(HttpError::Closed) if was_empty => return Ok(None),
            other => other?,
        }
    }
}

/// Writes a response.
///
/// # Errors
/// The error of the system.
pub fn write_response(stream: &mut TcpStream, status: u16, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} .\r\ncontent-length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes a response of status 200 with a JSON body.
///
/// # Errors
/// The error of the system, or that the body cannot be written as JSON.
pub fn write_json_response(stream: &mut TcpStream, body: &impl Serialize) -> io::Result<()> {
    write_response(stream, 200, &serde_json::to_vec(body).map_err(io::Error::other)?)
}
