//! The platform's messages as bytes. The field names of the platform's pages appear here and nowhere else.
//!
//! One file a peer: [`relay`] (events, calls and responses), [`collector`] (load reports, at the controller's own
//! address), [`discovery`] (the list of hosts), [`hosts`] (health checks) and [`configuration`] (the file at the start).
//! Each converts between bytes and the typed values of [`crate::RelayEvent`], [`crate::CollectorMessage`], [`crate::EndpointPage`] and
//! [`crate::NodeConfig`], and checks what it decodes: whatever leaves this module has known names and finite numbers in
//! their ranges.
pub mod collector;
pub mod configuration;
pub mod discovery;
pub mod hosts;
mod json;
pub mod relay;
