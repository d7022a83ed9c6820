//! Simulates several arms of a scenario on the same seeds and estimates the differences between them.
//!
//! [`plan`] reads the experiment's file. The runs of all arms on one seed of one scenario make a block. [`trial`]
//! runs blocks on all cores until the differences are known precisely enough or the most blocks have run; [`figures`]
//! reduces each run to its figures, and [`outcome`] summarizes them with the intervals of [`stats`]. All arms of a
//! block draw their operations from its seed, so that they differ only in what the arm changes. [`report`],
//! [`charts`], [`page`] and [`folder`] present the outcome.
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
