//! Events of the operations that clients send through proxies to hosts.
use prost::Message;

/// A proxy sent an operation to a host. From the second on, the attempts for one request of a client are retries of the
/// proxy.
#[derive(Clone, PartialEq, Message)]
pub struct Attempt {
    /// The operation's number.
    #[prost(uint64, tag = "1")]
    pub operation: u64,
    /// Number of the client's request for this operation, from 1.
    #[prost(uint32, tag = "2")]
    pub request: u32,
    /// Number of the proxy's attempt for this request, from 1.
    #[prost(uint32, tag = "3")]
    pub number: u32,
    /// The proxy's number.
    #[prost(uint32, tag = "4")]
    pub proxy: u32,
    /// The host's address.
    #[prost(string, tag = "5")]
    pub host: String,
    /// The number of the operation's class.
    #[prost(uint32, tag = "6")]
    pub class: u32,
    /// The operation's slice.
    #[prost(uint32, tag = "7")]
    pub slice: u32,
    /// Work of the operation, in core seconds at speed 1.
    #[prost(double, tag = "8")]
    pub work: f64,
}

/// An attempt ended for its proxy.
#[derive(Clone, PartialEq, Message)]
pub struct AttemptEnd {
    /// The operation's number.
    #[prost(uint64, tag = "1")]
    pub operation: u64,
    /// Number of the client's request for this operation, from 1.
    #[prost(uint32, tag = "2")]
    pub request: u32,
    /// Number of the proxy's attempt for this request, from 1.
    #[prost(uint32, tag = "3")]
    pub number: u32,
    /// The host completed the operation.
    #[prost(bool, tag = "4")]
    pub completed: bool,
    /// The proxy has proof that the host never executed the operation.
    #[prost(bool, tag = "5")]
    pub not_executed: bool,
}

/// A host executed an operation.
#[derive(Clone, PartialEq, Message)]
pub struct Effect {
    /// The operation's number.
    #[prost(uint64, tag = "1")]
    pub operation: u64,
    /// The host's address.
    #[prost(string, tag = "2")]
    pub host: String,
    /// The number of the operation's class.
    #[prost(uint32, tag = "3")]
    pub class: u32,
    /// The operation's slice.
    #[prost(uint32, tag = "4")]
    pub slice: u32,
    /// When the host received the operation, in seconds.
    #[prost(double, tag = "5")]
    pub began: f64,
    /// The host recognised a duplicate by its idempotency key, and dropped it.
    #[prost(bool, tag = "6")]
    pub dropped: bool,
}

/// An operation ended for its client.
#[derive(Clone, PartialEq, Message)]
pub struct OperationEnd {
    /// The operation's number.
    #[prost(uint64, tag = "1")]
    pub operation: u64,
    /// The number of its class.
    #[prost(uint32, tag = "2")]
    pub class: u32,
    /// Its slice.
    #[prost(uint32, tag = "3")]
    pub slice: u32,
    /// The number of the client's zone.
    #[prost(uint32, tag = "4")]
    pub zone: u32,
    /// When the client began the operation, in seconds.
    #[prost(double, tag = "5")]
    pub began: f64,
    /// How it ended.
    #[prost(enumeration = "Outcome", tag = "6")]
    pub outcome: i32,
    /// Requests that the client made.
    #[prost(uint32, tag = "7")]
    pub requests: u32,
    /// The key that it addressed.
    #[prost(uint64, tag = "8")]
    pub key: u64,
    /// Work of the operation, in core seconds at speed 1.
    #[prost(double, tag = "9")]
    pub work: f64,
    /// The proxy's number.
    #[prost(uint32, tag = "10")]
    pub proxy: u32,
}

/// How an operation ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// Completed within its contract time.
    Completed = 0,
    /// Completed after its contract time.
    Late = 1,
    /// Refused, and never executed.
    Refused = 2,
    /// Failed, and possibly executed.
    Failed = 3,
    /// The client stopped waiting.
    GaveUp = 4,
}
