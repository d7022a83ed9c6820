//! The running controller: gives the decisions the events, and carries out what they order.
//!
//! Who owns what: the [`core`] holds the decisions' state, the published tables and the sessions of proxies, free of
//! sockets and clocks. One thread, the owner, drives it, fed by the bounded queues of the [`inbox`]. Each proxy's stream
//! has a reader and a writer coroutine; what waits for a proxy is in its [`delta_queue`]. The endpoint list, the store
//! and the health checks have a coroutine or a few each. Where controllers know of each other, [`membership`] is a thread and a
//! socket of its own.
//!
//! The way of one delta:
//! 1. An event or a timer that is due makes the owner run a batch; the decisions write their commands into a
//!    [`delta_builder`].
//! 2. Its change is applied to the [`tables`], which makes the next version.
//! 3. The change is encoded once and pushed to each joined proxy's queue; touched tables go to the store.
//! 4. The proxy's writer takes it. While the last one has not left, both are merged into one later delta.
//! 5. The proxy's response comes to the owner, which gives the decisions the barrier that was passed.
//!
//! The way of one load report: it comes up a proxy's stream, is validated, waits in the inbox, is added up by the
//! [`report_aggregator`] and given to the decisions each second, the oldest first, as many as the limit allows.
//!
//! The way of one failure: a stream that breaks, is silent, sends an invalid message, or leaves a delta without a
//! response for too long ends alone, with a reason sent and logged. The decisions get the disconnect with the next batch.
#![warn(missing_docs)]
pub mod change;
pub mod core;
pub mod decision_engine;
pub mod delta_builder;
pub mod delta_queue;
mod endpoint_list_poller;
pub mod expired_slices;
mod health_checker;
pub mod inbox;
mod lease_clock;
mod lease_table;
pub mod membership;
pub mod message_rate_limiter;
mod owner;
mod process_environment;
pub mod publication;
pub mod registration;
pub mod report_aggregator;
pub mod report_validation;
mod service;
mod session_error;
pub mod settings;
pub mod snapshot_admission;
mod store;
mod stream_handle;
mod stream_server;
pub mod tables;
pub mod traffic_writer;

pub use self::core::Figures;
pub use service::{RunningController, StartError};
pub use settings::ControllerSettings;
