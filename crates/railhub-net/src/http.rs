//! The part of HTTP/1.1 that the endpoint list, the store and health checks need: sequential exchanges on a connection,
//! bodies with a content length or in chunks, everything of bounded size. Parsed by `httparse`.
//!
//! [`Client`] makes requests and reads complete bodies; [`LineStream`] makes one request and reads an endless body line
//! by line; [`read_request`] and [`write_response`] are the server side.
mod chunked;
mod client;
mod error;
mod line_stream;
mod message;
mod server;

pub use client::Client;
pub use error::HttpError;
pub use line_stream::LineStream;
pub use server::{query_number, read_request, write_json_response, write_response, Request};
