//! The controller on the operators' platform: sockets, signals, the run.
//!
//! Owns: one thread ([`controller_thread`]) owns the [`railhub_platform::PlatformController`], fed by a bounded inbox
//! ([`events`]). Every connection is one coroutine on the one worker: inbound ones ([`listener`]), the relay's
//! subscription and calls ([`relay`]), the discovery watch ([`discovery_watch`]), health checks ([`health_checks`]).
//! [`signals`] reloads the configuration. What they share is in [`shared_state`].
//!
//! The way of a load report:
//! 1. a collector's session ([`listener`]) reads, checks and queues it;
//! 2. the controller thread wakes within 0.2 s and gives it to the controller;
//! 3. the next batch of the decisions takes it into account; the commands that they decide wait at the controller.
//!
//! The way of a page of the endpoint list:
//! 1. the [`discovery_watch`] reads a line, takes one of the page permits and queues the page, which wakes the thread;
//! 2. the controller applies it, or ignores it as older than the list it has, in which case the watch is restarted;
//! 3. the thread returns the permit and publishes the list's generation, from which the next watch resumes.
//!
//! The way of a call to the relay:
//! 1. the controller puts commands that wait into one call; no other is in flight;
//! 2. the call's coroutine ([`relay`]) writes it and reads the answer against a time-out;
//! 3. the outcome comes back as an event: accepted commands are settled, rejected ones wait for the next call, and after
//!    an unknown outcome the subscription is closed, so that a new snapshot shows what was carried out.
#![warn(missing_docs)]
mod active_connection;
mod addresses;
mod call_timing;
mod clock;
mod config_file;
mod controller_thread;
mod descriptors;
mod discovery_watch;
mod error;
mod events;
mod fairness;
mod health_checks;
mod listener;
pub mod outage_log;
mod outage_monitor;
pub mod peer_health;
mod process;
mod reconnect;
mod rejections;
mod relay;
mod run;
mod shared_state;
mod signals;
mod status;
mod status_log;
mod timeouts;

pub use config_file::read_config;
pub use error::RunError;
pub use run::run;
pub use signals::Signals;
