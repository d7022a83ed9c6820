//! Owns the adapter's protocol: an event batch as lines ([`create`], [`batch`]), and the lines of a reply as a delta
//! ([`apply_line`]). Free of I/O and of clocks.
mod reply;
mod request;

pub use reply::{apply_line, Progress, WireError};
pub use request::{batch, create};

#[cfg(test)]
mod tests;
