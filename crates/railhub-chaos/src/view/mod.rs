//! The membership views of controllers under faults. A run takes place in simulated time ([`simulation`]) or on real
//! processes ([`crate::cluster_harness`]); the judge ([`judge`]) reads the same kind of observations from both.
//!
//! - [`observation`] defines what an observer sees of a run, [`gossip_tap`] reads the traffic on the links.
//! - [`timeline`] determines when a run must have settled and when it ends.
//! - [`heartbeat`] is a baseline protocol to compare SWIM with, [`options`] selects the protocol.
//! - [`figures`] measures a run.
pub mod figures;
pub mod gossip_tap;
pub mod heartbeat;
pub mod judge;
pub mod observation;
pub mod options;
pub mod simulation;
pub mod timeline;

pub use observation::{MemberProcess, Node, ViewObservation};
pub use options::RunOptions;
