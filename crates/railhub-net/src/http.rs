//! As much HTTP/1.1 as list, store and health checks need: one exchange after another on a connection, bodies of a
//! stated length or in chunks, everything bounded. Parsed by `httparse`.
//!
//! [`Client`] makes requests and reads complete bodies; [`LineStream`] makes one and reads a body without end, line
//! by line; [`read_request`] and [`write_response`] are the serving side.
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
