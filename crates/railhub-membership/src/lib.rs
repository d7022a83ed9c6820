//! Which controllers are alive, and which of them holds each slice. The crate does no I/O and reads no clock: callers
//! pass the time in and send the messages that are returned. The running controller, the chaos simulation and the
//! explorer use the same code.
//!
//! There are two parts, joined by [`lease_manager`]:
//!
//! - *Membership* ([`swim`]): which nodes are alive, by SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar,
//!   Phillips, Currey 2017). [`member`] defines the entries and their order, [`table`] how entries merge (with
//!   tombstones), [`gossip`] which entries are passed on, [`local_health`] the health of the node itself,
//!   [`probe_score`] how well each other node answers probes, [`messages`] the messages between nodes, [`packet`] their
//!   encoding, [`view`] the view that observers read.
//! - *Leases* ([`lease`]: read it first): [`placement`] decides which node should hold a slice, [`lease`] tracks which
//!   slices this node holds, [`lease_store`] with [`lease_record`] tracks all holders on the store's side,
//!   [`lease_messages`] are the messages between the two, [`fence`] is the check that receivers of commands make.
//!
//! [`safeguard`] lists the rules that tests can disable.
//!
//! What happens when node 3 fails, as seen by node 1:
//! 1. Node 1 probes node 3 and gets no ack; helpers probe it on behalf of node 1 and get none either ([`swim`]).
//! 2. Node 1 marks node 3 suspect under the incarnation that it knows, and gossips the suspicion.
//! 3. Each node whose own probe of node 3 fails confirms the suspicion, which shortens the suspicion timeout.
//! 4. If node 3 is alive, it learns of the suspicion and refutes it under a higher incarnation.
//! 5. If not, the timeout ends at one node first; the others learn of the death by gossip or sync.
//! 6. Node 1 acquires the slices that placement now gives it, once node 3's leases have expired ([`lease_manager`]).
//! 7. Node 3 is probed at a falling rate and finally forgotten; a tombstone with its process number remains.
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

/// A point in time or a duration, in seconds.
pub type Seconds = f64;

/// Number of a controller within its installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u16);

/// The fencing token of a slice. The store raises it with each grant that is not a renewal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);
