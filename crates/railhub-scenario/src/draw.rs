//! Draws hosts and operations from a scenario's seed, all in advance: the same scenario brings the same operations,
//! whatever the controllers do with them.
//!
//! Each purpose has its own random stream. The number and the order of draws within a stream are part of what a seed
//! means: a draw that is added or left out changes every run.
mod arrivals;
mod fleet;
pub(crate) mod load_curve;
pub(crate) mod operation;
pub(crate) mod random;

pub use arrivals::arrivals;
pub use fleet::{capacity, hosts, initial_owners, slice_sizes};
pub use operation::Arrival;
pub use random::choose_targets;
