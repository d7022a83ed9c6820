//! Failure detection and dissemination: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's extensions (Dadgar, Phillips,
//! Currey 2017). Free of I/O and of clocks: the driver passes the time in, sends what comes out, and calls
//! [`Membership::tick`] at [`Membership::next_tick_at`].
//!
//! Each node probes one other in each probe interval. A target that does not acknowledge is probed indirectly through
//! others, then suspected, then declared dead unless it refutes the suspicion under a higher incarnation. What a node
//! learns rides on its messages as gossip, so the cost of each node does not grow with their number. Beside that, views
//! are compared (anti-entropy sync), dead members are probed at a falling rate, and a node in bad local health waits
//! longer before it suspects anyone.
//!
//! A member, in the view of another:
//!
//! ```text
//! Alive ---probe failed---> Suspect ---suspicion timeout---> Dead ---forget_after---> (tombstone)
//!   ^  \                       |                              |
//!   |   `---it left---> Left   |                              |
//!   `------refutation: a higher incarnation, by its owner-----'
//! ```
//!
//! Besides its status, a live member may be *ejected*: it acknowledges probes, but late ([`crate::probe_score`]). Each
//! node names the one member that stands out; a member that a majority names holds no slices. Since each names one at
//! most, at most one is ejected at a time.
//!
//! The numbered way of one failure:
//! 1. `probe`: no acknowledgement within the ack timeout; helpers make indirect probes, twice if need be.
//! 2. `suspicion`: after the probe timeout the target becomes suspect. The entry is queued as gossip.
//! 3. `merge`: a node that receives it applies it; one that suspected the target by itself confirms the suspicion.
//! 4. `refutation`: the target, when it learns of it, raises its incarnation and gossips that.
//! 5. `suspicion`: without a refutation the timeout ends, sooner the more nodes confirm, and the target is dead.
//! 6. `probe` and `tick`: the dead member is probed ever less often, and in the end forgotten with a tombstone.
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
