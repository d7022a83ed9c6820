//! The faults of a run: their kinds, when they begin and end, and their effect on the links between controllers.
//!
//! - `kind` defines faults, `active` keeps track of those in force, `display` formats them for reports.
//! - [`draw`] draws faults from a seed, [`section`] reads those that a chaos file lists.
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
