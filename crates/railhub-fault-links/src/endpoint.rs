//! The processes, or groups of them, that links connect.

/// The name of an endpoint.
pub type EndpointName = String;
