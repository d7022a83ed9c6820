//! Runs the controller against the platform's relay, discovery and collectors: sockets, signals and process start.
//!
//! One thread ([`controller_thread`]) owns the [`railhub_platform::PlatformController`] and is fed by a bounded inbox
//! ([`events`]). Every connection is served by one coroutine, all on one worker thread: inbound connections
//! ([`listener`]), the subscription and the calls to the relay ([`relay`]), the discovery watch ([`discovery_watch`])
//! and health checks ([`health_checks`]). [`signals`] reloads the configuration. All of them use [`shared_state`].
//! [`descriptors`] counts open file descriptors, and [`fairness`] keeps a busy connection from blocking the others.
//!
//! Flow of a load report:
//! 1. the session of a collector ([`listener`]) reads, validates and queues the report;
//! 2. the controller thread wakes within 0.2 s and passes it to the controller;
//! 3. the next batch of decisions takes it into account; the resulting commands are queued at the controller.
//!
//! Flow of a page of the endpoint list:
//! 1. the [`discovery_watch`] reads a line, takes one of the few permits for queued pages and queues the page, which
//!    wakes the controller thread;
//! 2. the controller applies the page; if it is older than the list in use, it is ignored and the watch is restarted;
//! 3. the thread returns the permit and publishes the generation of the list, from which the next watch resumes.
//!
//! Flow of a call to the relay:
//! 1. the controller puts pending commands into one call; at most one call is in flight;
//! 2. the coroutine for calls ([`relay`]) writes the call and reads the answer, subject to a time-out;
//! 3. the outcome returns as an event: accepted commands are done, rejected commands stay pending for the next call,
//!    and after an unknown outcome the subscription is closed, so that a new snapshot shows which commands were
//!    executed.
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
