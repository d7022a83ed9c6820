//! The adapter's line protocol: encodes event batches as lines ([`encode_create`], [`encode_batch`]) and applies the
//! lines of a reply to a delta ([`apply_line`]). Does no I/O and reads no clock.
mod reply;
mod request;

pub use reply::{apply_line, Progress, WireError};
pub use request::{encode_batch, encode_create};

#[cfg(test)]
mod tests;
