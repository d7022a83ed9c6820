//! Runs controllers as real processes, with links between them that can fail. The harness starts and ends the processes,
//! applies the run's faults and records what an observer sees.
//!
//! The steps of one run:
//! 1. [`play`] opens the links and gives each controller a public address (`harness`).
//! 2. It writes each controller's settings (`settings`) and starts it (`process`).
//! 3. The observer requests each process's view ten times a second (`observer`); a tap reads the datagrams that cross the
//!    links (`link_tap`).
//! 4. Faults begin and end at their scheduled times (`faults`, `interference`).
//! 5. The results are [`ViewObservation`](crate::view::ViewObservation)s, which the judge reads in the same way as those of
//!    a simulated run.
//!
//! Lease runs do not use this harness: [`lease_scenario`] turns their faults into a scenario for the scenario player.
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
