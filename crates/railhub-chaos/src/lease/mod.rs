//! Controllers that divide the slices among themselves by leases: observations of a run, the simulation and the judge.
pub mod judge;
mod observation;
pub mod recovery;
pub mod shrink;
pub mod simulation;

pub use observation::{LeaseObservation, Sabotage};
