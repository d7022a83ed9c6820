//! The operators' platform: its protocol and the controller that speaks it, free of I/O and clocks.
//!
//! Owns everything between bytes and decisions: [`wire`] converts messages, [`PlatformController`] gathers them into
//! batches for the decisions of the package `railhub` and keeps their commands until the relay has accepted them.
//! Sockets and time are the driver's (`railhub-platform-net`).
//!
//! The way of one message:
//! 1. The driver decodes it ([`wire`]). What is invalid is dropped alone, or ends its connection ([`DecodeError`]).
//! 2. A handler of the [`PlatformController`] puts it into the next batch; what the relay holds is first gathered into a
//!    snapshot.
//! 3. The decisions handle the batch; commands wait, folded by what they are about and bounded ([`PendingCommands`]).
//! 4. They leave in a [`Call`], one at a time.
//! 5. The [`CallResponse`] settles it; without one, a new subscription's snapshot shows the outcome.
//!
//! [`NodeConfig`] is the configuration, checked.
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
mod pending_commands;
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
