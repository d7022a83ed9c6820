//! The bed: a run's stewards as processes of their own, with links between them that break. It starts them, stops
//! them, ends them by id, and writes down what is seen of them from outside.
//!
//! The way of one run: [`play`] opens the links and gives each steward a public address; [`process`] starts the
//! stewards; [`looker`] asks each for its view ten times a second; a tap on the links reads the words that cross;
//! faults come and go by the plan; all of it becomes [`crate::view::Seen`], which the judge takes as it takes a run in
//! simulated time.
mod looker;
mod play;
mod process;

pub mod shared;

pub use play::{play, scratch, Plan, Played};
pub use process::{Log, Process};
