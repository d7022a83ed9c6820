//! The platform's protocol, free of I/O and of clocks.
//!
//! In: collectors' frames ([`collector`]), the relay's news ([`news`]) and discovery's pages ([`discovery`]) are
//! read one by one, and what is invalid is dropped alone. The [`controller`] gathers them into rounds for the module.
//! Out: what the module orders is kept by the [`orders`] until the relay has taken it, and leaves as calls.
//! [`NodeConfig`] is the configuration, checked.
pub mod assignment;
pub mod collector;
pub mod controller;
pub mod discovery;
pub mod orders;
pub mod relay_events;

pub use assignment::{Names, NodeConfig};
pub use controller::{PlatformController, Probe};
pub use discovery::EndpointPage;

use thiserror::Error;

/// Why a message is not believed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum InvalidEntry {
    /// No JSON object that names its kind: nothing that follows can be trusted either.
    #[error("it cannot be read")]
    Unreadable,
    #[error("a field is missing or of another type")]
    Fields,
    #[error("a figure is out of range")]
    Range,
    #[error("it names what does not exist")]
    Unknown,
    #[error("it is of a kind that is not taken here")]
    Kind,
}
