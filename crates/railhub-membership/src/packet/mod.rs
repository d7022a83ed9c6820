//! The datagrams between controllers, and between a controller and an observer of its view.
//!
//! A datagram is a header and a protobuf body. The header is `RHF`, the protocol version (1 byte), the CRC-32 of all
//! bytes that follow it (4 bytes, big endian), the length of the installation name (1 byte) and the name. So a datagram
//! that is corrupt, has another version or belongs to another installation is dropped before its body is decoded.
//!
//! [`types`] defines the packets, [`limits`] the bounds on their contents, `wire` the protobuf messages, [`encode`] and
//! [`decode`] convert between packets and datagrams, and [`error`] lists the reasons for dropping a datagram.
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
