//! Owns the adapter's protocol: an event batch as lines ([`encode_create`], [`encode_batch`]), and the lines of a reply as a delta
//! ([`apply_line`]). Free of I/O and of clocks.
mod reply;
mod request;

pub use reply::{apply_line, Progress, WireError};
pub use request::{encode_batch, encode_create};

#[cfg(test)]
mod tests;
