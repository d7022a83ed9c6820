//! The ends of links.

/// The name of an endpoint.
pub type EndpointName = String;
