//! Scenarios: an emulated cluster with its controllers, a load and scripted faults, played on loopback and reported.
//!
//! This crate defines the scenario file, draws hosts and operations from the scenario's seed, injects faults on
//! loopback, and computes the report. The simulator plays the same scenarios from the same draws. Hosts, proxies,
//! endpoint list and store are those of `railhub-emulator`; invariants are checked by `railhub-invariants`.
//!
//! The steps from a scenario file to its report:
//!
//! 1. [`Scenario::open`] reads the file ([`reader`]) into a [`scenario::Scenario`] and its [`fault`]s. [`import`]
//!    converts a file of another format into a scenario file.
//! 2. [`draw`] draws hosts, slice sizes and all operations in advance; [`replay`] takes the operations from recorded
//!    traffic instead. Faults that change operations (hot keys, shifts, clients that give up) are applied here.
//! 3. [`play()`] opens the cluster ([`initial_state`], `cluster`, `cluster_hosts`) and launches the controllers
//!    ([`launch`], [`controller_settings`], `controllers`), several of them behind relays (`controller_links`).
//! 4. Scenario time 0 is two seconds after the cluster was opened. Each operation begins at its time, in a coroutine of
//!    its own. Each fault is injected (`inject`) at its time and reverted at its end; `link_faults` computes the state
//!    of links.
//! 5. Everything that is sent over a socket is recorded. The cluster is closed when all operations and faults have
//!    ended.
//! 6. [`report`] computes the service from the recording and prints it with the verdicts of the invariants.
//!
//! The modules of a step depend on those of earlier steps; [`play()`] drives steps 3 to 5.
#![warn(missing_docs)]

mod cluster;
mod cluster_hosts;
mod controller_links;
pub mod controller_settings;
mod controllers;
pub mod draw;
pub mod fault;
pub mod import;
pub mod initial_state;
mod inject;
pub mod launch;
mod link_faults;
pub mod play;
pub mod reader;
pub mod replay;
pub mod report;
pub mod scenario;

pub use launch::{ControllerLauncher, LaunchError, LaunchedController};
pub use play::{play, PlayError, ScenarioRun};
pub use scenario::Scenario;
