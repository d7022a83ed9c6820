//! The platform's messages as bytes. The field names of the platform's pages appear here and nowhere else.
//!
//! One file a peer: [`relay`] (events, calls and responses), [`collector`] (load reports, at the controller's own
//! address), [`discovery`] (the list of hosts), [`hosts`] (health checks) and [`configuration`] (the file at the start).
//! Each converts between bytes and the typed values of [`crate::RelayEvent`], [`crate::CollectorMessage`], [`crate::EndpointPage`] and
//! [`crate::NodeConfig`], and checks what it decodes: names that the configuration lists, finite numbers in their ranges.
//! Numbers of proxies, and of slices that the relay names, are not bounded here.
pub mod collector;
pub mod configuration;
pub mod discovery;
pub mod hosts;
mod json;
pub mod relay;
