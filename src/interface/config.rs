//! What a controller is configured with.
use super::time::Seconds;

/// Whether an operation may run twice, and where a repeat is recognised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It may run any number of times.
    Safe,
    /// It bears a key by which every host drops a repeat for this many seconds.
    IdempotencyKeyGlobal(Seconds),
    /// It bears a key, but only the hosts of one zone or cell drop a repeat.
    IdempotencyKeyLocal,
    /// It must not run twice.
    Never,
}

/// An operation class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassConfig {
    /// Seconds within which an operation must complete to count in full.
    pub contract_time: Seconds,
    /// Worth of one operation relative to those of the other classes.
    pub priority_weight: f64,
    /// Whether an operation may run twice.
    pub idempotency: Idempotency,
}

/// What a controller knows when it starts.
#[derive(Clone, Debug, Default)]
pub struct ControllerConfig {
    /// The operation classes; a `ClassId` is a position here.
    pub classes: Vec<ClassConfig>,
    /// Slices of the key space. 0: it is not sliced, and one table serves all operations.
    pub slice_count: u16,
    /// A slice is written through one host only: its table names the owner alone.
    pub single_owner: bool,
    /// Seconds a proxy that lost its stream goes on writing to the owner it knows (`single_owner`).
    pub write_lease: Seconds,
    /// Longest a write lasts, in seconds (`single_owner`).
    pub max_write_duration: Seconds,
    /// The controller may have hosts health checked.
    pub health_checks_allowed: bool,
    /// A host that a complete list lacks, or that it calls gone, may stay in service.
    pub delisted_may_serve: bool,
    /// Proxies admit a class by a fraction of its operations, which the controller sets.
    pub admission_by_fraction: bool,
    /// Least fraction of its warm capacity that a host starts with.
    pub cold_capacity_fraction: f64,
    /// Seconds from its start in which a host is warm at the latest.
    pub warm_up_time: Seconds,
    /// Demand at which a host that has just started fails, as a multiple of its present capacity.
    pub overload_multiple: f64,
    /// Lines that may wait in the update channel for all proxies together.
    pub backlog_limit: f64,
    /// Lines that a message costs on top of its own.
    pub message_overhead: f64,
    /// Messages that may be sent to one proxy within `message_quota_window`; 0: no such limit.
    pub message_quota: u32,
    /// Seconds that `message_quota` is counted over.
    pub message_quota_window: Seconds,
    /// Time after which a first attempt that may be retried is given up, as a multiple of the contract time.
    pub first_attempt_timeout_multiple: f64,
}
