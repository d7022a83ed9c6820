//! The limits that a run is checked against.
use prost::Message;

/// The limits of a run; the first event of a recording.
#[derive(Clone, PartialEq, Message)]
pub struct Limits {
    /// The classes of operations, in the order of their numbers.
    #[prost(message, repeated, tag = "1")]
    pub classes: Vec<ClassLimits>,
    /// Slices, numbered from 0.
    #[prost(uint32, tag = "2")]
    pub slices: u32,
    /// Each slice has one owner at a time.
    #[prost(bool, tag = "3")]
    pub single_owner: bool,
    /// Seconds that a slice may be without a usable host.
    #[prost(double, tag = "4")]
    pub max_unserved: f64,
    /// Seconds in which a controller's update must take effect.
    #[prost(double, tag = "5")]
    pub grace: f64,
    /// A host that is removed from the endpoint list without draining may still receive operations.
    #[prost(bool, tag = "6")]
    pub removed_hosts_exempt: bool,
    /// A host in slow start is overloaded by work above this multiple of its capacity.
    #[prost(double, tag = "7")]
    pub overload_multiple: f64,
    /// Seconds over which that work is summed.
    #[prost(double, tag = "8")]
    pub overload_span: f64,
    /// Fraction of its capacity that a host has when it starts cold.
    #[prost(double, tag = "9")]
    pub cold_capacity_fraction: f64,
    /// Seconds after its start within which every host is warm.
    #[prost(double, tag = "10")]
    pub max_warm_up: f64,
    /// Lines that may wait in the update channel.
    #[prost(double, tag = "11")]
    pub max_backlog: f64,
    /// Lines that a message counts as, on top of those that it carries.
    #[prost(double, tag = "12")]
    pub message_cost: f64,
    /// Messages that a controller may send a proxy within `message_span`; 0: no limit.
    #[prost(uint32, tag = "13")]
    pub max_messages: u32,
    /// Seconds over which messages are counted.
    #[prost(double, tag = "14")]
    pub message_span: f64,
    /// When the first client begins, in seconds.
    #[prost(double, tag = "15")]
    pub from: f64,
    /// When the last client begins, in seconds.
    #[prost(double, tag = "16")]
    pub until: f64,
    /// The zones' names, in the order of their numbers.
    #[prost(string, repeated, tag = "17")]
    pub zones: Vec<String>,
    /// Proxies, numbered from 0.
    #[prost(uint32, tag = "18")]
    pub proxies: u32,
}

/// The limits of one class of operations.
#[derive(Clone, PartialEq, Message)]
pub struct ClassLimits {
    /// The class's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Seconds within which an operation must complete to be in time.
    #[prost(double, tag = "2")]
    pub contract_time: f64,
    /// Seconds after which a client gives up.
    #[prost(double, tag = "3")]
    pub hard_stop: f64,
    /// Weight of an operation that completes in time.
    #[prost(double, tag = "4")]
    pub priority_weight: f64,
    /// Whether a retry can take effect twice.
    #[prost(enumeration = "OperationIdempotency", tag = "5")]
    pub idempotency: i32,
    /// Seconds for which hosts recognise a repeated idempotency key.
    #[prost(double, tag = "6")]
    pub key_window: f64,
    /// Its operations write.
    #[prost(bool, tag = "7")]
    pub writes: bool,
}

/// Whether a retry of an operation can take effect twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum OperationIdempotency {
    /// A retry is always harmless.
    Safe = 0,
    /// Every host recognises a retry by its idempotency key.
    IdempotencyKeyGlobal = 1,
    /// The hosts of the same zone recognise a retry by its idempotency key.
    IdempotencyKeyLocal = 2,
    /// A retry is never recognised, and may take effect again.
    Never = 3,
}
