//! Operations and their classes.
use railhub_record::OperationIdempotency;

/// A class of operations.
#[derive(Clone, Debug)]
pub struct OperationClass {
    /// Name of the class.
    pub name: String,
    /// Seconds within which an operation must complete to be in time.
    pub contract_time: f64,
    /// Seconds after which the client gives up.
    pub hard_stop: f64,
    /// Weight of an operation of this class that completes in time.
    pub priority_weight: f64,
    /// Whether, and within which scope, a repeated request takes effect only once.
    pub idempotency: OperationIdempotency,
    /// Seconds during which a repeated idempotency key is recognised.
    pub key_window: f64,
    /// Whether the operations of the class write.
    pub writes: bool,
}

/// An operation that a client will send.
#[derive(Clone, Copy, Debug)]
pub struct PlannedOperation {
    /// Number of the operation.
    pub operation: u64,
    /// Number of its class.
    pub class: u32,
    /// Key that the operation accesses.
    pub key: u64,
    /// Slice of the key.
    pub slice: u32,
    /// Work in core seconds at speed 1.
    pub work: f64,
    /// Upper limit of the request timeout, as a fraction of the hard stop; below 1 for a client that gives up early.
    pub max_request_timeout_fraction: f64,
    /// Whether the client may send one request more than configured, after it has stopped waiting.
    pub extra_retry: bool,
}
