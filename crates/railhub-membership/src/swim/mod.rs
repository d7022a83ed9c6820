//! Failure detection and dissemination: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's extensions (Dadgar, Phillips,
//! Currey 2017). The module does no I/O and reads no clock: the driver passes the time in, sends the messages that are
//! returned, and calls [`Membership::tick`] at [`Membership::next_tick_at`].
//!
//! Each node probes one other node in each probe interval. A target that does not acknowledge the probe is probed
//! indirectly through others, then suspected, then declared dead unless it refutes the suspicion under a higher
//! incarnation. A node passes on what it learns as gossip within its messages, so the number of messages per node does
//! not grow with the size of the cluster. In addition, nodes compare their views (anti-entropy sync), probe dead
//! members at a falling rate, and wait longer before they suspect others when they are in bad local health.
//!
//! States of a member in the view of another node:
//!
//! ```text
//! Alive ---probe failed---> Suspect ---suspicion timeout---> Dead ---forget_after---> (tombstone)
//!   ^  \                       |                              |
//!   |   `---it left---> Left   |                              |
//!   `------refutation: higher incarnation set by the member---'
//! ```
//!
//! Besides its status, a live member may be *ejected*: it acknowledges probes, but late ([`crate::probe_score`]). Each
//! node votes for the one member whose probe score is an outlier; a member with the votes of a majority holds no
//! slices. Since each node has one vote, at most one member is ejected at a time.
//!
//! The steps of a failure, by module:
//! 1. `probe`: no acknowledgement arrives within the ack timeout; helpers make indirect probes, a second time if
//!    needed.
//! 2. `suspicion`: after the probe timeout the target becomes suspect, and its entry is queued as gossip.
//! 3. `merge`: a node that receives the entry applies it; a node whose own probe failed confirms the suspicion.
//! 4. `refutation`: a target that is alive learns of the suspicion, raises its incarnation and gossips its entry.
//! 5. `suspicion`: without a refutation the timeout ends, sooner the more nodes confirm, and the target is declared
//!    dead.
//! 6. `probe` and `tick`: the dead member is probed at a falling rate and finally forgotten, leaving a tombstone.
mod config;
mod identity;
mod join;
mod join_schedule;
mod membership;
mod merge;
mod outlier;
mod peer;
mod pending_probe;
mod probe;
mod receive;
mod refutation;
mod suspicion;
mod sync;
mod tick;

pub use config::MembershipConfig;
pub use membership::{Membership, MembershipOutput};

#[cfg(test)]
mod tests;
