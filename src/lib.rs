//! The decision logic of railhub, a configuration controller for a fleet of proxies.
//!
//! Create a [`Controller`] from a [`ControllerConfig`], then call [`Controller::handle_batch`] with each
//! [`EventBatch`] and a [`CommandSink`].
#![warn(missing_docs)]
mod decaying;
mod decision;
mod interface;
mod update_backlog;

pub use decision::Controller;
pub use interface::*;
