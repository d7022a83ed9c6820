//! The configuration of a controller.
use super::time::Seconds;

/// Whether an operation may be executed twice, and which hosts detect a duplicate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Safe,
    /// It carries an idempotency key by which every host drops duplicates for this many seconds.
    IdempotencyKeyGlobal(Seconds),
    /// It carries an idempotency key, but only the hosts of one zone or cell drop duplicates.
    IdempotencyKeyLocal,
    /// It must not be executed twice.
    Never,
}

/// An operation class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassConfig {
    /// Seconds within which an operation must complete to count in full.
    pub contract_time: Seconds,
    /// Value of one operation relative to an operation of another class.
    pub priority_weight: f64,
    /// Whether an operation may be executed twice.
    pub idempotency: Idempotency,
}

/// The configuration of a controller.
#[derive(Clone, Debug, Default)]
pub struct ControllerConfig {
    /// The operation classes; a `ClassId` is a position here.
    pub classes: Vec<ClassConfig>,
    /// Number of slices of the key space; 0 if it is not sliced and one table serves all operations.
    pub slice_count: u16,
    /// A slice is written through one host only, so its table names no host but the owner.
    pub single_owner: bool,
    /// Seconds for which a proxy that lost its stream may go on writing to the owner that it knows (`single_owner`).
    pub write_lease: Seconds,
    /// Longest duration of a write, in seconds (`single_owner`).
    pub max_write_duration: Seconds,
    /// Number of proxies, whether connected or not; 0 if it is unknown.
    pub proxy_count: u32,
    /// No other controller changes the tables of the store.
    pub sole_controller: bool,
    /// The controller may request health checks of hosts.
    pub health_checks_allowed: bool,
    /// A host that is missing from a complete endpoint list, or listed as gone, may stay in service.
    pub delisted_may_serve: bool,
    /// Proxies admit a fraction of each class's operations, which the controller sets.
    pub admission_by_fraction: bool,
    /// Least fraction of its warm capacity that a host has when it starts.
    pub cold_capacity_fraction: f64,
    /// Seconds after its start by which a host is warm.
    pub warm_up_time: Seconds,
    /// Demand at which a host that has just started fails, as a multiple of its present capacity.
    pub overload_multiple: f64,
    /// Lines that may wait in the update channel, summed over all proxies.
    pub backlog_limit: f64,
    /// Lines that a message counts for in addition to its content.
    pub message_overhead: f64,
    /// Messages that may be sent to one proxy within `message_quota_window`; 0 means no limit.
    pub message_quota: u32,
    /// Length of the sliding window of `message_quota`, in seconds.
    pub message_quota_window: Seconds,
    /// Timeout of a first attempt that may be retried, as a multiple of the contract time.
    pub first_attempt_timeout_multiple: f64,
}
