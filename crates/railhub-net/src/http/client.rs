//! The client side, for responses with a content length.
use crate::dial::dial;
use crate::http::error::HttpError;
use crate::http::message::{body_length, read_body, read_more_head, MAX_HEADERS};
use crate::idle_timeout::IdleTimeout;
use may::net::TcpStream;
use serde::{de::DeserializeOwned, Serialize};
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

const STATUS_OK: u16 = 200;

/// Makes requests to one address, on a connection that is reused, and replaced after an error.
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    connection: Option<TcpStream>,
}

struct Response {
    status: u16,
    body: Vec<u8>,
}

impl Client {
    /// A client that connects at the first request. `timeout` limits the connection attempt and, separately, each
    /// exchange.
    pub fn new(address: SocketAddr, timeout: Duration) -> Client {
        Client { address, timeout, connection: None }
    }

    /// Makes a request and returns the body of the response.
    ///
    /// # Errors
    /// [`HttpError::Status`] if the status is not 200; otherwise why there is no response.
    pub fn request(&mut self, method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, HttpError> {
        let timeout = self.timeout.as_secs_f64();
        let mut stream = match self.connection.take() {
            Some(stream) => stream,
            None => dial(self.address, timeout).map_err(HttpError::Connect)?,
        };
        let timeout = IdleTimeout::both_halves(&stream, timeout);
        stream.write_all(&self.request_bytes(method, path, body)).map_err(HttpError::Io)?;
        let response = read_response(&mut stream);
        // A response that was read completely is valid even if the time-out expired just afterwards, but the connection
        // is not reused.
        let is_intact = timeout.release();
        let response = response.map_err(|error| if is_intact { error } else { HttpError::Timeout })?;
        self.connection = is_intact.then_some(stream);
        if response.status == STATUS_OK {
            Ok(response.body)
        } else {
            Err(HttpError::Status(response.status))
        }
    }

    fn request_bytes(&self, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
        let (address, length) = (self.address, body.len());
        let head = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {length}\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Makes a GET request and decodes the JSON body of the response.
    ///
    /// # Errors
    /// As for [`Client::request`]; [`HttpError::Malformed`] if the body cannot be decoded as a `T`.
    pub fn get_json<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, HttpError> {
        let body = self.request("GET", path, &[])?;
        serde_json::from_slice(&body).map_err(HttpError::malformed)
    }

    /// Makes a request with a JSON body and decodes the JSON body of the response.
    ///
    /// # Errors
    /// As for [`Client::get_json`].
    pub fn exchange_json<T: DeserializeOwned>(
        &mut self,
        method: &str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, HttpError> {
        let bytes = serde_json::to_vec(body).map_err(HttpError::malformed)?;
        let body = self.request(method, path, &bytes)?;
        serde_json::from_slice(&body).map_err(HttpError::malformed)
    }

    /// Makes a PUT request with a JSON body; the body of the response is ignored.
    ///
    /// # Errors
    /// As for [`Client::request`].
    pub fn put_json(&mut self, path: &str, body: &impl Serialize) -> Result<(), HttpError> {
        let bytes = serde_json::to_vec(body).map_err(HttpError::malformed)?;
        self.request("PUT", path, &bytes).map(drop)
    }
}

fn read_response(stream: &mut TcpStream) -> Result<Response, HttpError> {
    let mut buffer = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&buffer).map_err(HttpError::malformed)?;
        if let httparse::Status::Complete(head_length) = parsed {
            let status = response.code.unwrap_or_default();
            let length = body_length(response.headers)?;
            let body = read_body(stream, &mut buffer, head_length, length)?;
            return Ok(Response { status, body });
        }
        read_more_head(stream, &mut buffer)?;
    }
}
