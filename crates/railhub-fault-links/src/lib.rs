//! Links between processes that inject faults: a relay for each pair of named endpoints, for datagrams ([`udp`]) and for
//! connections ([`tcp`]). The processes are given the relays' addresses; nothing in them knows of it.
//!
//! Who owns what: a [`direction`] owns what happens to the traffic from one endpoint to another, free of sockets and
//! clocks; the [`link_controller`] owns all directions, the seed they draw from, and the record of changes and counts;
//! the relays own sockets and threads.
//!
//! The numbered way of one datagram:
//! 1. Controller 1 sends to the public address of controller 2, which is a socket of the relay.
//! 2. The relay knows controller 1 by its source address, and asks the link controller when the datagram leaves.
//! 3. It is dropped and counted, or waits for its time, once or twice over, in the order of those times.
//! 4. It leaves for controller 2's real address from controller 1's public one, so an answer takes the same path back.
//!
//! A connection is relayed in both directions, chunk by chunk: what a direction would drop comes late instead, as if TCP
//! had sent it again; a direction that is cut holds up what passes and leaves the connection open.
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
