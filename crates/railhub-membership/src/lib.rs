//! Which controllers live, and which of them holds each slice. Free of I/O and of clocks: times are passed in, messages
//! are given back. The running controller, the chaos simulation and the explorer drive the same code.
//!
//! Two halves, joined by [`lease_manager`]:
//!
//! - *Membership* ([`swim`]): who lives, by SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey
//!   2017). [`member`] is an entry and the order of entries, [`table`] how they merge (with tombstones), [`gossip`]
//!   what is passed on, [`local_health`] and [`probe_score`] how the node and each other one fare, [`messages`] what
//!   nodes exchange, [`packet`] the bytes, [`view`] what observers see.
//! - *Leases* ([`lease`]: read it first): [`placement`] is whose a slice should be, [`lease`] whose it is in the
//!   holder's view, [`lease_store`] with [`lease_record`] in the store's, [`lease_messages`] what the two exchange,
//!   [`fence`] what receivers of commands check.
//!
//! [`safeguard`] lists the rules that tests can leave out.
//!
//! The numbered way of one failure, "node 3 is gone", as node 1 sees it:
//! 1. Node 1 probes node 3 and gets no ack; others probe it on behalf of node 1, in vain ([`swim`]).
//! 2. It holds node 3 suspect under the incarnation that it knows; the suspicion is gossiped.
//! 3. A node that fails to probe node 3 by itself confirms the suspicion, which shortens the suspicion timeout.
//! 4. If node 3 lives, it learns of the suspicion and refutes it under a higher incarnation.
//! 5. If not, the timeout ends at the first node; the others learn of the death by gossip or sync.
//! 6. Node 1 acquires the slices that placement now gives it, once node 3's leases have expired ([`lease_manager`]).
//! 7. Node 3 is probed ever less often and in the end forgotten; a tombstone with its process number stays.
#![warn(missing_docs)]

pub mod fence;
pub mod gossip;
pub mod lease;
pub mod lease_manager;
pub mod lease_messages;
pub mod lease_record;
pub mod lease_store;
pub mod local_health;
pub mod member;
pub mod messages;
pub mod packet;
pub mod placement;
pub mod probe_score;
pub mod safeguard;
pub mod swim;
pub mod table;
mod tombstones;
pub mod view;

use serde::{Deserialize, Serialize};

/// A time or a span in seconds.
pub type Seconds = f64;

/// The number of one controller of an installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u16);

/// The fencing token of a slice: the store raises it with each grant to another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);
