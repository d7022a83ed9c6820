//! The controller's logic without its sockets, threads and clock. The running controller and the simulator drive the
//! same core; each passes in the time, a [`ProxyChannel`] for each session and the [`Environment`].
//!
//! The core owns the decision engine, the published tables, the sessions of proxies, the load reports that have not
//! been passed to the decision engine yet, the timers, and the counters and measurements of all these.
//!
//! States of a session: a stream that has subscribed is *awaiting its snapshot*. It is *joined* once a snapshot, or the
//! changes that the proxy lacks, have been queued for it. A session ends when its stream ends, when a newer stream of
//! the same process replaces it, or when the proxy does not respond to a delta in time.
//!
//! Life cycle of a delta:
//! 1. Events are collected in a batch: endpoint list updates, sessions, health check results, acknowledgements and due
//!    timers.
//! 2. [`ControllerCore::process`] passes the batch to the decision engine and collects the commands it issues.
//! 3. The change among these commands is applied to the tables as a new version and queued for each joined session.
//! 4. Each table that the change touches is written to the store.
//! 5. [`ControllerCore::on_delta_response`] handles the proxies' responses. The last one completes the change's
//!    propagation.
//!
//! Life cycle of a load report: [`ControllerCore::on_load_report`] adds it to the totals;
//! [`ControllerCore::flush_load_reports`] passes totals to the decision engine, the oldest first, as many as the rate
//! limit allows.
//!
//! Failure handling: [`ControllerCore::on_disconnect`] handles the end of a stream. Deltas queued for the stream are
//! dropped, and the decision engine learns of the disconnection with the next batch.
mod controller_core;
mod environment;
mod figures;
mod lease_changes;
mod propagation;
mod proxy_channel;
mod publishing;
mod sessions;
mod shared_slices;
mod streams;
mod timers;

pub use controller_core::ControllerCore;
pub use environment::{Environment, SessionEvent};
pub use figures::Figures;
pub use proxy_channel::{CloseReason, ProxyChannel, StreamId};
pub use shared_slices::{AcquiredSlice, LeaseChanges};
