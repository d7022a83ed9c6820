//! Terminal dashboard of a running scenario, a finished recording or an experiment.
//!
//! [`run_state`] builds the state of a run at a point in time from its events; [`host`] and [`service_window`] are
//! parts of that state, and [`run_view`] draws it. [`recording_reader`] reads a recording that may still grow, and
//! [`player`] moves through it. [`experiment_view`] draws the results in an experiment's folder. [`terminal`] runs the
//! event loop.
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
