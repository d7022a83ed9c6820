//! Random kills, pauses, splits and clocks against stewards that share a fleet. [`faults`] draws them from a seed,
//! [`world`] plays them in simulated time with the very code that stewards run (`railhub-membership`), [`judge`]
//! looks at what happened alone and knows nothing of leases or of who should hold what, [`shrink`] makes a failing
//! run small. The same seed is the same run.
mod agenda;
pub mod bed;
pub mod explore;
pub mod explore_leases;
pub mod faults;
pub mod judge;
pub mod shrink;
pub mod view;
pub mod world;

pub use faults::{Chaos, Fault, Judged, LinkFaults, What};
pub use judge::{judge, Breach, Figures};
pub use world::{run, Event, Sabotage};
