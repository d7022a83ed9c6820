//! Runs arms of one day side by side on the same seeds, and says what is known of the difference.
//!
//! The way of one experiment: [`plan`] reads the file; runs of all arms on one seed make a block; [`trial`] plays
//! blocks on all cores until the differences are known well enough or the budget is spent; [`stats`] gives means
//! and intervals. An arm's operations are drawn from the block's seed, so arms differ in nothing else.
pub mod charts;
pub mod plan;
pub mod report;
pub mod stats;
pub mod trial;

pub use plan::Experiment;
pub use trial::{compare, Outcome};
