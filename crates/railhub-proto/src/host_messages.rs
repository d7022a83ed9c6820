//! The messages between proxies and hosts. Times are fractional seconds of the machine's monotonic clock, which all
//! processes share.
use prost::{Message, Oneof};

/// Maximum size of a message between a proxy and a host: an operation or its response.
pub const MAX_HOST_MESSAGE_BYTES: usize = 4 << 10;

/// A message from a proxy to a host.
#[derive(Clone, PartialEq, Message)]
pub struct ToHost {
    /// The message; absent only if the peer sends a kind that this program does not know.
    #[prost(oneof = "to_host::Payload", tags = "1, 2, 3")]
    pub payload: Option<to_host::Payload>,
}

/// The kinds of [`ToHost`].
pub mod to_host {
    use super::*;
    /// A message that a proxy sends to a host.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Payload {
        /// Opens the connection; sent once, first.
        #[prost(message, tag = "1")]
        ProxyHello(ProxyHello),
        /// An attempt at an operation.
        #[prost(message, tag = "2")]
        Operation(Operation),
        /// Cancels an attempt.
        #[prost(message, tag = "3")]
        Cancel(Cancel),
    }
}

/// Opens a connection.
#[derive(Clone, PartialEq, Message)]
pub struct ProxyHello {
    /// The proxy's number.
    #[prost(uint32, tag = "1")]
    pub proxy: u32,
}

/// Cancels an attempt whose response is no longer needed: the host drops it unless its execution has begun.
#[derive(Clone, PartialEq, Message)]
pub struct Cancel {
    /// The attempt's number, unique on this connection.
    #[prost(uint64, tag = "1")]
    pub attempt_id: u64,
}

/// An attempt at an operation.
#[derive(Clone, PartialEq, Message)]
pub struct Operation {
    /// The attempt's number, unique on this connection.
    #[prost(uint64, tag = "6")]
    pub attempt_id: u64,
    /// The operation's number, the same for each of its attempts.
    #[prost(uint64, tag = "1")]
    pub operation_id: u64,
    /// The key that the operation accesses.
    #[prost(uint64, tag = "2")]
    pub key: u64,
    /// The class of the operation.
    #[prost(uint32, tag = "3")]
    pub class: u32,
    /// The slice that contains the key.
    #[prost(uint32, tag = "4")]
    pub slice: u32,
    /// Work in core seconds at speed 1; an emulated host sleeps for that time.
    #[prost(double, tag = "5")]
    pub work: f64,
}

/// A message from a host to a proxy.
#[derive(Clone, PartialEq, Message)]
pub struct FromHost {
    /// The message; absent only if the peer sends a kind that this program does not know.
    #[prost(oneof = "from_host::Payload", tags = "1, 2")]
    pub payload: Option<from_host::Payload>,
}

/// The kinds of [`FromHost`].
pub mod from_host {
    use super::*;
    /// A message that a host sends.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Payload {
        /// Accepts the connection.
        #[prost(message, tag = "1")]
        Hello(HostHello),
        /// The result of an attempt.
        #[prost(message, tag = "2")]
        Response(Response),
    }
}

/// Accepts the connection: the proxy may send operations once it has received this.
#[derive(Clone, PartialEq, Message)]
pub struct HostHello {
    /// When the host started.
    #[prost(double, tag = "1")]
    pub started: f64,
}

/// The result of an attempt.
#[derive(Clone, PartialEq, Message)]
pub struct Response {
    /// The attempt's number, unique on this connection.
    #[prost(uint64, tag = "1")]
    pub attempt_id: u64,
    /// How the attempt ended.
    #[prost(enumeration = "AttemptOutcome", tag = "2")]
    pub outcome: i32,
    /// The busy share of the host's cores, if the host reports load.
    #[prost(double, optional, tag = "3")]
    pub utilization: Option<f64>,
}

/// How an attempt ended at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum AttemptOutcome {
    /// The operation was executed.
    Completed = 0,
    /// The host rejected the operation without executing it.
    Refused = 1,
    /// The operation failed.
    Failed = 2,
}
