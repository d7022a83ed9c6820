//! The datagrams between controllers, and between a controller and an observer of its view.
//!
//! A datagram is a header and a protobuf body. The header is `RHF`, the protocol version (1 byte), the CRC-32 of all
//! that follows it (4 bytes, big endian), the length of the installation's name (1 byte) and the name. So a datagram
//! that is corrupt, of another version or of another installation is dropped before its body is read.
//!
//! [`types`] has the packets as values, [`limits`] the bounds of what is sent and read, `wire` the protobuf messages,
//! [`encode`] and [`decode`] the way between the two, [`error`] why a datagram is dropped.
pub mod error;
pub mod limits;
pub mod types;

mod decode;
mod encode;
mod wire;

pub use decode::decode;
pub use encode::encode;
pub use error::{DecodeError, DroppedDatagrams};
pub use limits::{MAX_DATAGRAM_BYTES, MAX_INSTALLATION_BYTES, MAX_VIEW_ENTRIES, VERSION};
pub use types::{Packet, View};

#[cfg(test)]
mod tests;
