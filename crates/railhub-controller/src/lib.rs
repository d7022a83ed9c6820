//! The running controller: passes events to the decision engine and carries out its commands.
//!
//! Structure: the [`core`] holds the state of the decision engine, the published tables and the sessions of proxies. It
//! does no I/O and reads no clock. One thread, the owner, drives it and takes its events from the bounded queues of the
//! [`inbox`]. Each proxy's stream has a reader and a writer coroutine; deltas that are pending for a proxy are in its
//! [`delta_queue`]. The endpoint list, the store and the health checks have one or a few coroutines each. Where several
//! controllers form a membership, [`membership`] has a thread and a socket of its own.
//!
//! How a delta is published:
//! 1. An event or a due timer makes the owner run a batch; the decision engine writes its commands into a
//!    [`delta_builder`].
//! 2. The change is applied to the [`tables`], which creates the next version.
//! 3. The change is encoded once and pushed to the queue of each joined proxy; modified tables are written to the
//!    store.
//! 4. The proxy's writer sends it. Changes that come before a pending delta is sent are merged into it.
//! 5. The proxy's response is passed to the owner, which reports the barrier that was passed to the decision engine.
//!
//! How a load report is processed: it is received on a proxy's stream, validated, queued in the inbox and added up by
//! the [`report_aggregator`]. Totals are passed to the decision engine each second, the oldest first, up to a limit.
//!
//! How a failed stream is handled: a stream that breaks, is idle for too long, brings an invalid message, or leaves a
//! delta without a response for too long is closed, with a reason that is sent and logged. Other streams are not
//! affected. The decision engine gets the disconnect with the next batch.
#![warn(missing_docs)]
pub mod change;
pub mod core;
pub mod decision_engine;
pub mod delta_builder;
pub mod delta_queue;
mod endpoint_list_poller;
pub mod expired_slices;
mod goodbye;
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
