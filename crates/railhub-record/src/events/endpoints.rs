//! Events of the endpoint list.
use prost::Message;

/// A controller received an update of the endpoint list.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointsReceived {
    /// The update holds the complete list: a host that is missing from it is gone.
    #[prost(bool, tag = "1")]
    pub complete: bool,
    /// The hosts in the update.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<EndpointStatus>,
    /// The controller's number.
    #[prost(uint32, tag = "3")]
    pub controller: u32,
}

/// One host's entry in the endpoint list.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointStatus {
    /// Its address.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its phase.
    #[prost(enumeration = "EndpointPhase", tag = "2")]
    pub phase: i32,
    /// When its process started, in seconds, if the list states it.
    #[prost(double, optional, tag = "3")]
    pub started_at: Option<f64>,
}

/// The phase of a host in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum EndpointPhase {
    /// It accepts operations.
    Ready = 0,
    /// It is to receive no new operations.
    Draining = 1,
    /// It was removed from the list.
    Gone = 2,
}
