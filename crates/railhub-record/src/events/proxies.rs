//! Events of the streams between controllers and proxies, as the proxies see them.
use prost::Message;
use railhub_proto::Delta;

/// A proxy's stream to a controller opened or closed.
#[derive(Clone, PartialEq, Message)]
pub struct ProxyStream {
    /// The proxy's number.
    #[prost(uint32, tag = "1")]
    pub proxy: u32,
    /// True if the stream opened, false if it closed.
    #[prost(bool, tag = "2")]
    pub open: bool,
    /// The controller's number.
    #[prost(uint32, tag = "3")]
    pub controller: u32,
}

/// A delta reached a proxy.
#[derive(Clone, PartialEq, Message)]
pub struct DeltaReceived {
    /// The proxy's number.
    #[prost(uint32, tag = "1")]
    pub proxy: u32,
    /// The delta.
    #[prost(message, required, tag = "2")]
    pub delta: Delta,
    /// The number of the controller that sent it.
    #[prost(uint32, tag = "3")]
    pub controller: u32,
}

/// A proxy accepted or rejected a delta.
#[derive(Clone, PartialEq, Message)]
pub struct DeltaAcknowledged {
    /// The proxy's number.
    #[prost(uint32, tag = "1")]
    pub proxy: u32,
    /// The delta's nonce.
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    /// True if the proxy rejected the delta, false if it accepted it.
    #[prost(bool, tag = "3")]
    pub rejected: bool,
    /// The number of the controller that sent the delta.
    #[prost(uint32, tag = "4")]
    pub controller: u32,
    /// Slices that the proxy ignored, since it had accepted a newer epoch for them.
    #[prost(uint32, repeated, tag = "5")]
    pub stale_slices: Vec<u32>,
}
