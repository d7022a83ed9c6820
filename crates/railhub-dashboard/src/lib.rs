//! Owns the terminal dashboard of a running scenario, a finished recording or an experiment.
//!
//! [`run_state`] folds events into the state at a moment, [`host`] and [`service_window`] are its parts;
//! [`run_view`] draws it. [`recording_reader`] follows a recording that may still grow, [`player`] moves through it.
//! [`experiment_view`] draws an experiment's folder; [`terminal`] is the loop over keys and time.
#![warn(missing_docs)]
pub mod error;
pub mod experiment_view;
pub mod host;
pub mod player;
pub mod recording_reader;
pub mod run_state;
pub mod run_view;
pub mod service_window;
pub mod terminal;

pub use error::DashboardError;
pub use run_state::RunState;
pub use terminal::{render_once, run_interactive};
