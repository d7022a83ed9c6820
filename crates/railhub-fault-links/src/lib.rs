//! Relays that inject faults into the traffic between processes: one for datagrams ([`udp`]), and one for the
//! connections from one named endpoint to another ([`tcp`]). The processes are configured with the relays' addresses
//! and need no change.
//!
//! A [`direction`] decides when the packets from one endpoint to another leave, without sockets or clocks. The
//! [`link_controller`] owns all directions, the seed of their random streams, and the record of changes and counts. The
//! relays own the sockets and threads.
//!
//! The path of one datagram:
//! 1. Controller 1 sends it to the public address of controller 2, which is a socket of the relay.
//! 2. The relay identifies controller 1 by its source address, and asks the link controller when the datagram leaves.
//! 3. The datagram is dropped and counted, or it is queued once (twice if it is duplicated), ordered by departure time.
//! 4. It is sent to controller 2's real address from controller 1's public address, so that a reply takes the same path
//!    back.
//!
//! A connection is relayed in both directions, chunk by chunk. A chunk that a direction would drop is delayed instead,
//! as by a TCP retransmission. A direction that is cut holds its chunks and leaves the connection open.
#![warn(missing_docs)]

pub mod direction;
mod endpoint;
pub mod faults;
pub mod link_controller;
mod record;
mod send_queue;
pub mod tcp;
pub mod udp;

pub use direction::Direction;
pub use endpoint::EndpointName;
pub use faults::{Counts, Faults};
pub use link_controller::{Delivery, LinkController, ObservedDatagram};
