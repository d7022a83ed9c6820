//! Scenarios: an emulated cluster with its controllers, a load and scripted faults, played on loopback and reported.
//!
//! Owns the scenario file, everything that is drawn from its seed, the injection of faults on loopback, and the report.
//! The simulator plays the same scenarios from the same draws. Hosts, proxies, endpoint list and store are those of
//! `railhub-emulator`, invariants are checked by `railhub-invariants`.
//!
//! The way of a scenario from its file to its report:
//!
//! 1. [`Scenario::open`] reads the file ([`reader`]) into a [`scenario::Scenario`] and its [`fault`]s. [`import`] writes
//!    such a file from one of another format.
//! 2. [`draw`] draws hosts, slice sizes and every operation in advance; [`replay`] takes operations from recorded traffic
//!    instead. Faults that lie in operations (hot keys, shifts, clients that give up) are applied here.
//! 3. [`play()`] opens the cluster ([`initial_state`], `cluster`, `cluster_hosts`) and launches the controllers
//!    ([`launch`], [`controller_settings`], `controllers`), several of them behind relays (`controller_links`).
//! 4. Two seconds after its start the cluster's time is 0. Each operation begins at its time in a coroutine of its own;
//!    each fault is injected (`inject`) at its time and taken back at its end, links by `link_faults`.
//! 5. Everything that crosses a socket goes into a recording. When all has ended the cluster is closed.
//! 6. [`report`] computes service from the recording and prints it with the verdicts of the invariants.
//!
//! The files use each other in one direction, in the order of the steps.
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
