//! The messages between controllers and proxies. Times are fractional seconds of the machine's monotonic clock, which
//! all processes share; hosts are written as address:port; slices, zones and classes are numbers.
use prost::{Message, Oneof};

/// Maximum size of a message from a proxy to a controller: a load report of some thousands of hosts and slices.
pub const MAX_FROM_PROXY_BYTES: usize = 256 << 10;
/// Maximum size of a message from a controller: the complete tables of some ten thousand slices.
pub const MAX_FROM_CONTROLLER_BYTES: usize = 4 << 20;

/// A message from a proxy to a controller.
#[derive(Clone, PartialEq, Message)]
pub struct FromProxy {
    /// The message; absent only if the peer sends a kind that this program does not know.
    #[prost(oneof = "from_proxy::Payload", tags = "1, 2, 3, 4")]
    pub payload: Option<from_proxy::Payload>,
}

/// The kinds of [`FromProxy`].
pub mod from_proxy {
    use super::*;
    /// A message that a proxy sends.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Payload {
        /// Opens the stream; sent once, first.
        #[prost(message, tag = "1")]
        Subscribe(Subscribe),
        /// A delta was applied.
        #[prost(message, tag = "2")]
        Ack(Ack),
        /// A delta was rejected.
        #[prost(message, tag = "3")]
        Nack(Nack),
        /// Results of the proxy's attempts.
        #[prost(message, tag = "4")]
        LoadReport(LoadReport),
    }
}

/// Opens a stream: identifies the proxy and the version that it holds.
#[derive(Clone, PartialEq, Message)]
pub struct Subscribe {
    /// The proxy's number.
    #[prost(uint32, tag = "1")]
    pub proxy: u32,
    /// The zone that the proxy runs in.
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    /// Identifies the process: each process that runs as this proxy has a different value.
    #[prost(uint64, tag = "3")]
    pub process: u64,
    /// The controller process that made the version that the proxy holds.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// The version that the proxy holds; 0 if it holds none.
    #[prost(uint64, tag = "5")]
    pub version: u64,
}

/// Acknowledges that a delta was applied, and with it all that were sent before it.
#[derive(Clone, PartialEq, Message)]
pub struct Ack {
    /// The nonce of the delta.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
}

/// Rejects a delta. The proxy keeps its last valid tables.
#[derive(Clone, PartialEq, Message)]
pub struct Nack {
    /// The nonce of the delta.
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// The part of the delta that is invalid, for the log.
    #[prost(string, tag = "2")]
    pub reason: String,
}

/// Results of a proxy's attempts since its last report.
#[derive(Clone, PartialEq, Message)]
pub struct LoadReport {
    /// Seconds that the report covers.
    #[prost(double, tag = "1")]
    pub span: f64,
    /// Attempts by host.
    #[prost(message, repeated, tag = "2")]
    pub hosts: Vec<HostLoad>,
    /// Demand by slice and class.
    #[prost(message, repeated, tag = "3")]
    pub slices: Vec<SliceLoad>,
}

/// A proxy's attempts at one host.
#[derive(Clone, PartialEq, Message)]
pub struct HostLoad {
    /// The host, as address:port.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Completed attempts, failed ones included.
    #[prost(uint32, tag = "2")]
    pub attempts: u32,
    /// Attempts that failed.
    #[prost(uint32, tag = "3")]
    pub failed: u32,
    /// Total duration in seconds of the attempts that succeeded.
    #[prost(double, tag = "4")]
    pub success_time: f64,
    /// The most recent utilization in the host's responses: the busy share of its cores.
    #[prost(double, optional, tag = "5")]
    pub utilization: Option<f64>,
}

/// A proxy's demand for one slice in one class.
#[derive(Clone, PartialEq, Message)]
pub struct SliceLoad {
    /// The slice.
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    /// The class of operations.
    #[prost(uint32, tag = "2")]
    pub class: u32,
    /// Operations that arrived, whether admitted or not.
    #[prost(uint32, tag = "3")]
    pub operations: u32,
}

/// A message from a controller to a proxy.
#[derive(Clone, PartialEq, Message)]
pub struct FromController {
    /// The message; absent only if the peer sends a kind that this program does not know.
    #[prost(oneof = "from_controller::Payload", tags = "1, 2")]
    pub payload: Option<from_controller::Payload>,
}

/// The kinds of [`FromController`].
pub mod from_controller {
    use super::*;
    /// A message that a controller sends.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Payload {
        /// A change of the tables, admission rates and exclusions that the proxy holds.
        #[prost(message, tag = "1")]
        Delta(Delta),
        /// The controller closes the stream.
        #[prost(message, tag = "2")]
        Goodbye(Goodbye),
    }
}

/// The last message of a stream that the controller closes.
#[derive(Clone, PartialEq, Message)]
pub struct Goodbye {
    /// Why the stream is closed, for the proxy's log.
    #[prost(string, tag = "1")]
    pub reason: String,
}

/// A change of the tables, admission rates and exclusions that a proxy holds. It is applied completely or not at all,
/// in this order: the reset, the cleared tables, the lines, the admission rates and the exclusions.
#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    /// Identifies the delta in its [`Ack`] or [`Nack`].
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// The controller process that made the version.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The version that the proxy holds after it has applied the delta.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// When the oldest change in the delta was published.
    #[prost(double, tag = "4")]
    pub published_at: f64,
    /// Whether the proxy discards the admission rates and exclusions that it holds.
    #[prost(bool, tag = "5")]
    pub reset: bool,
    /// Tables whose lines are all removed before `lines` are set.
    #[prost(uint32, repeated, tag = "6")]
    pub cleared: Vec<u32>,
    /// Endpoint weights to set or remove.
    #[prost(message, repeated, tag = "7")]
    pub lines: Vec<TableLine>,
    /// Admission rates by class.
    #[prost(message, repeated, tag = "8")]
    pub admission_rates: Vec<AdmissionRate>,
    /// Hosts to exclude from every table, or to readmit.
    #[prost(message, repeated, tag = "9")]
    pub exclusions: Vec<HostExclusion>,
    /// The table that the proxy is assigned, in a deployment without slices.
    #[prost(uint32, optional, tag = "10")]
    pub assigned_table: Option<u32>,
    /// The epoch that each slice of the delta is published under, if several controllers share the slices. A proxy that
    /// has applied a newer epoch of a slice ignores the part of the delta about that slice.
    #[prost(message, repeated, tag = "11")]
    pub epochs: Vec<SliceEpoch>,
}

impl Delta {
    /// Cost of the delta in lines of the update channel, without the cost per message.
    pub fn cost(&self) -> usize {
        self.cleared.len() + self.lines.len() + self.admission_rates.len() + self.exclusions.len()
    }
}

/// The epoch that a slice is published under.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SliceEpoch {
    /// The slice.
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    /// The epoch of the lease that the controller holds.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// One line of a slice's table: the weight of a host.
#[derive(Clone, PartialEq, Message)]
pub struct TableLine {
    /// The slice, or the table in a deployment without slices.
    #[prost(uint32, tag = "1")]
    pub slice: u32,
    /// The host, as address:port.
    #[prost(string, tag = "2")]
    pub host: String,
    /// The weight; 0 removes the line.
    #[prost(double, tag = "3")]
    pub weight: f64,
}

/// The share of the operations of a class that a proxy admits, and when they are retried.
#[derive(Clone, PartialEq, Message)]
pub struct AdmissionRate {
    /// The class of operations.
    #[prost(uint32, tag = "1")]
    pub class: u32,
    /// Share of the operations that is admitted, 0 to 1.
    #[prost(double, tag = "2")]
    pub rate: f64,
    /// When an operation of this class is retried.
    #[prost(enumeration = "RetryCondition", tag = "3")]
    pub retry: i32,
}

/// When a proxy retries an operation at another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum RetryCondition {
    /// Never.
    Never = 0,
    /// Only if the host has certainly not executed the operation.
    IfNotExecuted = 1,
    /// After any failure.
    AfterFailure = 2,
}

/// Excludes a host from every table that the proxy holds, or readmits it.
#[derive(Clone, PartialEq, Message)]
pub struct HostExclusion {
    /// The host, as address:port.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Whether the host is excluded.
    #[prost(bool, tag = "2")]
    pub excluded: bool,
}
