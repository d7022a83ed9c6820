//! Retry policies: after which failures the proxies retry an operation of a class.
//!
//! Inputs: whether operations of the class may be executed twice, whether load is shed, and the utilization of all
//! hosts together. An operation that must not be executed twice is retried only if its attempt was certainly not
//! executed.
use crate::interface::{ClassConfig, Idempotency, RetryPolicy};

/// Utilization of all hosts together below which attempts that may have been executed are retried.
const MAX_RETRY_UTILIZATION: f64 = 0.5;
/// Least time for which hosts must remember an idempotency key, as a multiple of the timeout of the first attempt: the
/// first attempt may be executed late.
const MIN_KEY_WINDOW_MULTIPLE: f64 = 3.0;

/// The widest policy under which no operation of a class takes effect twice.
pub fn widest_safe_policy(class: &ClassConfig, first_attempt_timeout_multiple: f64) -> RetryPolicy {
    let min_key_window = MIN_KEY_WINDOW_MULTIPLE * first_attempt_timeout_multiple * class.contract_time;
    match class.idempotency {
        Idempotency::Safe => RetryPolicy::AfterFailure,
        Idempotency::IdempotencyKeyGlobal(window) if window >= min_key_window => RetryPolicy::AfterFailure,
        Idempotency::IdempotencyKeyGlobal(_) | Idempotency::IdempotencyKeyLocal | Idempotency::Never => {
            RetryPolicy::IfNotExecuted
        }
    }
}

/// The policy under the current load: retries would increase an overload.
pub fn retry_policy(safe: RetryPolicy, is_shedding: bool, fleet_utilization: f64) -> RetryPolicy {
    if is_shedding {
        RetryPolicy::Never
    } else if fleet_utilization < MAX_RETRY_UTILIZATION {
        safe
    } else {
        RetryPolicy::IfNotExecuted
    }
}
