//! Draws hosts and operations from a scenario's seed, all in advance: the same scenario and seed give the same
//! operations, whatever the controllers do.
//!
//! Each purpose has its own random stream. Number and order of the draws within a stream must not change: a draw that
//! is added or removed changes every run of every seed.
mod arrivals;
mod fleet;
pub(crate) mod load_curve;
pub(crate) mod operation;
pub(crate) mod random;

pub use arrivals::arrivals;
pub use fleet::{capacity, hosts, initial_owners, slice_sizes};
pub use operation::Arrival;
pub use random::choose_targets;
