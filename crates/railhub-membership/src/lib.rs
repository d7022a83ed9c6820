//! What stewards that share a fleet decide about each other. [`swim`] says who lives, out of messages between
//! them; [`share`] says whose a slice should be; [`lease`] says whose it is, out of what the store granted, and
//! keeps every steward from ordering anything past its grant; [`grants`] is the store's side of it. No I/O, no clock: times are passed in, messages are
//! given back. The running steward, the chaos model and the explorer drive the same code.
//!
//! Who owns what: a [`table`] owns what is held of each steward and how words about it merge; [`swim`] owns how each
//! is watched; [`rumours`] what is passed on; [`health`] the steward's own trouble; [`packet`] the bytes.
//!
//! The way of one word ("steward 3 is gone"):
//! 1. Steward 1 probes 3 and gets no answer; it asks others to probe it; they say that they had none either.
//! 2. Its entry for 3 becomes suspect, under the incarnation that it knows; a rumour of it rides on the next messages.
//! 3. Another that misses 3 by itself is a second accuser: the suspicion gets shorter. Steward 3 is told.
//! 4. If 3 lives, it rewrites its entry under a higher count, which beats the word wherever the two meet.
//! 5. If it says nothing, it is dead for whoever's suspicion ends first, and for all by rumour or comparison.
//! 6. It is asked again, ever less often, and forgotten in the end; of its process there stays a number.
pub mod gossip;
pub mod lease;
pub mod lease_manager;
pub mod lease_store;
pub mod local_health;
pub mod member;
pub mod messages;
pub mod packet;
pub mod placement;
pub mod probe_score;
pub mod swim;
pub mod table;

use serde::{Deserialize, Serialize};

pub type Seconds = f64;

/// One of the stewards that an installation names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u16);

/// How often a slice has changed hands: the store raises it with each grant to another steward or process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);
