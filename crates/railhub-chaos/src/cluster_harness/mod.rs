//! A run's controllers as processes of their own, with links between them that fail. The harness starts and ends them,
//! applies the run's faults and records what an observer sees.
//!
//! The way of one run:
//! 1. [`play`] opens the links and gives each controller a public address (`harness`).
//! 2. It writes each controller's settings (`settings`) and starts it (`process`).
//! 3. The observer requests each process's view ten times a second (`observer`); a tap reads what crosses the links
//!    (`link_tap`).
//! 4. Faults begin and end by the plan (`faults`, `interference`).
//! 5. All of it becomes [`ViewObservation`](crate::view::ViewObservation)s, which the judge takes as it takes those of a
//!    simulated run.
//!
//! [`lease_scenario`] plays the faults of a run of leases: there the scenario player is the harness.
mod error;
mod faults;
mod harness;
mod interference;
pub mod lease_scenario;
mod link_tap;
mod observer;
mod process;
mod settings;

pub use error::{HarnessError, ProcessError};
pub use harness::{play, temporary_folder, HarnessPlan};
pub use process::{ControllerProcess, ProcessLog};
