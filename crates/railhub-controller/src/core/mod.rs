//! All that a controller is, but for its sockets, its threads and its clock. The running controller and the simulator
//! drive the same core; each passes in the time, a [`ProxyChannel`] for each session and the [`Environment`].
//!
//! What the core owns: the decisions' state, the published tables, the sessions of proxies, the load reports that the
//! decisions have not been given, timers, and the figures of all that.
//!
//! The states of a session: a stream that subscribes is *awaiting its snapshot*; it is *joined* once a snapshot is
//! queued for it, or what it lacks; it ends when its stream ends, when a newer stream of the same process replaces it,
//! or when it leaves a delta without a response for too long.
//!
//! The way of one delta:
//! 1. Events are collected in a batch: list updates, sessions, health checks, acknowledgements, timers that are due.
//! 2. [`ControllerCore::process`] gives the batch to the decisions, whose commands are collected.
//! 3. The change among them is applied to the tables, which makes a version, and queued for each joined session.
//! 4. Each table that it touches goes to the store.
//! 5. [`ControllerCore::on_delta_response`] takes the proxies' responses. The last one ends the change's propagation.
//!
//! The way of one load report: [`ControllerCore::on_load_report`] adds it up,
//! [`ControllerCore::flush_load_reports`] gives the decisions what the rate allows, the oldest first.
//!
//! The way of one failure: a stream that ends is reported by [`ControllerCore::on_disconnect`]; what waits for it is
//! dropped, and the decisions learn of it with the next batch.
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
