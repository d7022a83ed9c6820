//! The messages between stewards and proxies, and between proxies and hosts, and how they are framed.
//!
//! A frame is its length in four bytes, the highest first, then one message. This package owns no socket and
//! no clock: a [`Deframer`] takes bytes and gives frames, and what a peer may send is bounded by it.
//!
//! The way of one delta: a steward sends a [`Delta`] with a version and a nonce. The proxy takes in all of it
//! or none, and answers with an [`Ack`] or a [`Refusal`] of that nonce. The shape is that of a delta discovery
//! response: each line, level and shut-out is a resource with a name of its own, and the latest word holds.
mod frame;
mod messages;

pub use frame::{frame, Deframer, FrameError, Lines};
pub use messages::*;
