//! What controllers hold of each other while things fail: played in simulated time ([`simulation`]) or on real processes
//! ([`crate::cluster_harness`]), and judged by the same observations ([`judge`]).
//!
//! - [`observation`] is what an observer sees of a run, [`gossip_tap`] what it reads from the links.
//! - [`timeline`] says when a run must have settled and when it ends.
//! - [`heartbeat`] is the baseline to compare with, [`options`] chooses between the two.
//! - [`figures`] measures a run that a judge has found right or wrong.
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
