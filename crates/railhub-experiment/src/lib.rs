//! Runs arms of a day side by side on the same seeds, and says what is known of the difference.
//!
//! The way of one experiment: [`plan`] reads the file; runs of all arms on one seed of one day make a block;
//! [`trial`] plays blocks on all cores until the differences are known well enough or the budget is spent, each
//! run boiled down by [`figures`]; [`outcome`] sums up with the intervals of [`stats`]. An arm's operations are
//! drawn from the block's seed, so arms differ in nothing else. [`report`], [`charts`], [`page`] and [`folder`]
//! show it.
pub mod charts;
pub mod figures;
pub mod folder;
pub mod outcome;
pub mod page;
pub mod plan;
pub mod predict;
pub mod report;
pub mod stats;
pub mod trial;

pub use outcome::Outcome;
pub use plan::Experiment;
pub use trial::compare;
