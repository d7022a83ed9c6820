//! The running steward: tells the decisions what happens and carries out what they decide.
//!
//! Who owns what: a [`kernel`] holds the decisions' state, the tables and the proxies' membership, free of sockets and
//! clocks; one thread ([`owner`]) owns it, fed by bounded queues ([`inbox`]). Each proxy's stream has a reader and a writer coroutine ([`streams`]);
//! what waits for a proxy is owned by its [`outbox`]. Roster, store and probes are a coroutine or a few each.
//!
//! The way of one delta:
//! 1. News or a turn makes the owner run a round; the decisions write into a draft.
//! 2. The draft becomes a change of the [`tables`], which gets the next version.
//! 3. The change is encoded once and put into each joined proxy's outbox; touched tables go to the store.
//! 4. The proxy's writer takes it. If the last one has not left yet, both are folded into one later delta.
//! 5. The proxy's acknowledgement comes to the owner, which tells the decisions of the mark.
//!
//! The way of one report: sums come up a proxy's stream, are added up by zone and host ([`intake`]) and handed
//! to the decisions each second, the oldest first, as many as the limit lets in.
//!
//! Stewards that know of each other: a `[fleet]` section starts [`fleet`], a thread and a socket of its own round the
//! lease manager of `railhub-membership`; without the section there is none of it.
//!
//! The way of one failure: a stream that breaks, is silent, sends what is no message, or does not confirm for
//! too long ends alone, with a reason sent and logged. The owner tells the decisions that the proxy left.
pub mod claims;
pub mod decides;
pub mod draft;
pub mod fleet;
pub mod inbox;
pub mod installation;
pub mod intake;
pub mod kernel;
mod leases;
pub mod outbox;
mod owner;
pub mod pace;
mod probes;
mod roster;
mod service;
pub mod standing;
mod store;
mod streams;
pub mod tables;
pub mod traffic;

pub use installation::Installation;
pub use kernel::Figures;
pub use service::{Running, StartError};
