//! The server side: reads requests and writes responses.
use crate::http::error::HttpError;
use crate::http::message::{body_length, read_body, read_more_head, MAX_HEADERS};
use may::net::TcpStream;
use serde::Serialize;
use std::io::{self, Write};

/// A complete request.
pub struct Request {
    /// The method, such as `GET`.
    pub method: String,
    /// The path with the query, such as `/hosts?after=7`.
    pub path: String,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// The number that the query of a path gives for a name: 7 for `after` in `/hosts?after=7`.
pub fn query_number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Reads one request; returns `None` if the peer closes the connection between two requests. `buffer` keeps bytes that
/// were read beyond a request for the next call.
///
/// # Errors
/// Why no request could be read; the connection must be closed.
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
/// The error of the system, or an error of kind `Other` if the body cannot be encoded as JSON.
pub fn write_json_response(stream: &mut TcpStream, body: &impl Serialize) -> io::Result<()> {
    write_response(stream, 200, &serde_json::to_vec(body).map_err(io::Error::other)?)
}
