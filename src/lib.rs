//! The decisions of railhub, a configuration controller for a fleet of proxies.
//!
//! Make a [`Steward`] from a [`Terms`], then call [`Steward::round`] with each [`Round`] and an [`Orders`].
pub mod brain;
mod channel;
pub mod interface;
mod sums;

pub use brain::Steward;
pub use interface::*;
