//! The protocol between the controller and the platform's relay, discovery and collectors, and the controller that
//! implements it, without I/O or clocks.
//!
//! [`wire`] converts between bytes and typed messages. [`PlatformController`] collects events into batches for the
//! decision logic (the package `railhub`) and queues the resulting commands until the relay has accepted them. The
//! driver, `railhub-platform-net`, provides sockets and time.
//!
//! How a message is processed:
//! 1. The driver decodes it ([`wire`]). An invalid message is dropped or ends its connection ([`DecodeError`]).
//! 2. A handler of [`PlatformController`] adds it to the next batch. The state that the relay sends at the start of a
//!    subscription is collected into a snapshot first.
//! 3. The decision logic handles the batch. Its commands are queued ([`PendingCommands`]): their number is bounded, and
//!    a newer command replaces a queued one for the same target.
//! 4. The commands are sent in a [`Call`], one call at a time.
//! 5. The [`CallResponse`] completes the call. If there is none, the snapshot of a new subscription shows which
//!    commands were carried out.
//!
//! [`NodeConfig`] is the validated configuration.
#![warn(missing_docs)]

mod batch;
mod call;
mod collector;
mod command;
mod config;
mod controller;
mod effects;
mod endpoints;
mod error;
mod host_directory;
mod observation;
mod pending_commands;
mod recent_table_changes;
mod relay;
mod sink;
mod slice_assignments;
mod snapshot_changes;
mod subscription;
mod table;
pub mod wire;

pub use call::ResubscribeReason;
pub use collector::CollectorMessage;
pub use command::Command;
pub use config::{ConfigError, Names, NodeConfig, MAX_CLASSES, MAX_DURATION};
pub use controller::PlatformController;
pub use effects::{DroppedCommands, Effects};
pub use endpoints::{EndpointPage, PageEntry};
pub use error::DecodeError;
pub use host_directory::HealthCheck;
pub use pending_commands::{AcceptedCommands, PendingCommands};
pub use relay::{Call, CallResponse, RelayEvent, SubscriptionId};
pub use sink::Notice;
