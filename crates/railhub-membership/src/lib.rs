//! What stewards that share a fleet decide about each other. [`swim`] says who lives, out of messages between
//! them; [`share`] says whose a slice should be; [`lease`] says whose it is, out of what the store granted, and
//! keeps every steward from ordering anything past its grant. No I/O, no clock: times are passed in, messages are
//! given back. The running steward and the chaos model drive the same code.
pub mod lease;
pub mod office;
pub mod share;
pub mod swim;

use serde::{Deserialize, Serialize};

pub type Seconds = f64;

/// One of the stewards that an installation names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StewardId(pub u16);

/// How often a slice has changed hands: the store raises it with each grant to another steward or process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);
