//! The messages between proxies and hosts. Times are seconds with fractions on one monotonic clock of the machine.
use prost::{Message, Oneof};

/// Bytes that a message between a proxy and a host may have: an operation or its response.
pub const MAX_HOST_MESSAGE_BYTES: usize = 4 << 10;

/// A message from a proxy to a host.
#[derive(Clone, PartialEq, Message)]
pub struct ToHost {
    /// The message; absent only where a peer sends a kind that this program does not know.
    #[prost(oneof = "to_host::Payload", tags = "1, 2, 3")]
    pub payload: Option<to_host::Payload>,
}

/// The kinds of [`ToHost`].
pub mod to_host {
    use super::*;
    /// What a proxy sends.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Payload {
        /// Opens the connection; sent once, first.
        #[prost(message, tag = "1")]
        ProxyHello(ProxyHello),
        /// An attempt at an operation.
        #[prost(message, tag = "2")]
        Operation(Operation),
        /// The proxy has given an attempt up.
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

/// An attempt is no longer waited for: the host drops it unless it has begun.
#[derive(Clone, PartialEq, Message)]
pub struct Cancel {
    /// The attempt on this connection.
    #[prost(uint64, tag = "1")]
    pub attempt_id: u64,
}

/// An attempt at an operation.
#[derive(Clone, PartialEq, Message)]
pub struct Operation {
    /// The attempt on this connection.
    #[prost(uint64, tag = "6")]
    pub attempt_id: u64,
    /// The operation, the same for each of its attempts.
    #[prost(uint64, tag = "1")]
    pub operation_id: u64,
    /// The key that it touches.
    #[prost(uint64, tag = "2")]
    pub key: u64,
    /// Its class.
    #[prost(uint32, tag = "3")]
    pub class: u32,
    /// The slice that its key is in.
    #[prost(uint32, tag = "4")]
    pub slice: u32,
    /// Core seconds that it takes at speed 1; an emulated host sleeps for them.
    #[prost(double, tag = "5")]
    pub work: f64,
}

/// A message from a host to a proxy.
#[derive(Clone, PartialEq, Message)]
pub struct FromHost {
    /// The message; absent only where a peer sends a kind that this program does not know.
    #[prost(oneof = "from_host::Payload", tags = "1, 2")]
    pub payload: Option<from_host::Payload>,
}

/// The kinds of [`FromHost`].
pub mod from_host {
    use super::*;
    /// What a host sends.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Payload {
        /// Accepts the connection.
        #[prost(message, tag = "1")]
        Hello(HostHello),
        /// The end of an attempt.
        #[prost(message, tag = "2")]
        Response(Response),
    }
}

/// The host accepts operations on this connection; none may be sent before it.
#[derive(Clone, PartialEq, Message)]
pub struct HostHello {
    /// When the host started.
    #[prost(double, tag = "1")]
    pub started: f64,
}

/// The end of an attempt.
#[derive(Clone, PartialEq, Message)]
pub struct Response {
    /// The attempt on this connection.
    #[prost(uint64, tag = "1")]
    pub attempt_id: u64,
    /// How it ended.
    #[prost(enumeration = "AttemptOutcome", tag = "2")]
    pub outcome: i32,
    /// The busy share of the host's cores, where it reports load.
    #[prost(double, optional, tag = "3")]
    pub utilization: Option<f64>,
}

/// How an attempt ended at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum AttemptOutcome {
    /// The operation was executed.
    Completed = 0,
    /// The host rejected it: it was not executed.
    Refused = 1,
    /// It failed.
    Failed = 2,
}
