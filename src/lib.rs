//! The decisions of railhub, a configuration controller for a fleet of proxies.
//!
//! Make a [`Controller`] from a [`ControllerConfig`], then call [`Controller::handle_batch`] with each [`EventBatch`] and a [`CommandSink`].
pub mod brain;
mod channel;
pub mod interface;
mod sums;

pub use brain::Controller;
pub use interface::*;
