//! What the emulated processes know of operations and their classes.
use railhub_record::OperationIdempotency;

/// A class of operations. Times in seconds.
#[derive(Clone, Debug)]
pub struct OperationClass {
    /// Its name.
    pub name: String,
    /// Seconds within which an operation is in time.
    pub contract_time: f64,
    /// Seconds after which a client gives up.
    pub hard_stop: f64,
    /// What an operation that completes in time counts for.
    pub priority_weight: f64,
    /// Whether a retry can take effect twice.
    pub idempotency: OperationIdempotency,
    /// Seconds in which a repeated idempotency key is recognised.
    pub key_window: f64,
    /// Its operations write.
    pub writes: bool,
}

/// An operation that a client is to send.
#[derive(Clone, Copy, Debug)]
pub struct PlannedOperation {
    /// Its number.
    pub operation: u64,
    /// The number of its class.
    pub class: u32,
    /// The key that it is for.
    pub key: u64,
    /// The key's slice.
    pub slice: u32,
    /// Core seconds at speed 1.
    pub work: f64,
    /// Fraction of the hard stop after which this client stops waiting.
    pub max_request_timeout_fraction: f64,
    /// The client sends one more request after it stopped waiting.
    pub extra_retry: bool,
}
