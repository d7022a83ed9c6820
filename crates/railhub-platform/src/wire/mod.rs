//! Encodes and decodes the platform's messages. Only this module uses the field names of the platform's protocol.
//!
//! One module per peer: [`relay`] (events, calls and responses), [`collector`] (load reports, received at the
//! controller's own address), [`discovery`] (the endpoint list), [`hosts`] (health checks) and [`configuration`] (the
//! configuration file). They convert between bytes and [`crate::RelayEvent`], [`crate::CollectorMessage`],
//! [`crate::EndpointPage`] and [`crate::NodeConfig`], and validate what they decode: zones and classes must be listed
//! in the configuration, numbers finite and in their ranges. The numbers of proxies, and of slices in the relay's
//! messages, are not range-checked here.
pub mod collector;
pub mod configuration;
pub mod discovery;
pub mod hosts;
mod json;
pub mod relay;
