//! Links between processes that can be broken from outside: a relay for each directed way between two named ends, for
//! datagrams ([`udp`]) and for connections ([`tcp`]). The processes are given the relays' addresses; nothing in them
//! knows of it.
//!
//! Who owns what: a [`way`] owns what happens to one direction between two ends, free of sockets and clocks; [`board`]
//! owns all ways, the seed they draw from and the record of changes and counts; the drivers own sockets and threads.
//!
//! The way of one datagram:
//! 1. Steward 1 sends to the public address of steward 2, which is a socket of the relay.
//! 2. The relay knows steward 1 by the address that it sends from, and asks the board what becomes of it.
//! 3. It is dropped and counted, or waits for its time, once or twice over, in the order that the way makes of it.
//! 4. It leaves for steward 2's real address from steward 1's public one, so an answer comes the same way back.
//!
//! A connection is pumped through both its ways, piece by piece: what a way would drop comes late instead, as it does on
//! a net that sends again; a way that is cut holds up what passes and leaves the connection open.
pub mod board;
pub mod tcp;
pub mod udp;
pub mod way;

pub use board::{Board, Crossing, Fate};
pub use way::{Counts, Faults, Way};

/// One of the ends between which there are ways.
pub type End = String;
