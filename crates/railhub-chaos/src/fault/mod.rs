//! The faults of a run: what each one is, when it begins and ends, and what those in force make of the links between
//! controllers.
//!
//! - `kind` defines a fault, `active` holds those in force, `display` prints them.
//! - [`draw`] draws them from a seed, [`section`] reads those that a file lists.
mod active;
mod display;
pub mod draw;
mod kind;
pub mod section;

pub use active::ActiveFaults;
pub use kind::{
    Fault, FaultKind, LinkFaults, CLOCK_SETBACK_MICROSECONDS, FLAP_HALF_PERIOD, MAX_CAPTURED_DATAGRAMS,
    MAX_DRAWN_CONTROLLERS, STARVATION_PERIOD,
};
