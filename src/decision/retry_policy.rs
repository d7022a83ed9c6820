//! Retries: after which failures the proxies retry an operation of a class.
//!
//! Inputs: whether the class may run twice, whether load is shed, the utilization of all hosts together. An
//! operation that must not run twice is retried only where its attempt has certainly not run.
use crate::interface::{ClassConfig, Idempotency, RetryPolicy};

/// Utilization of all hosts together up to which attempts that may have run are retried.
const MAX_RETRY_UTILIZATION: f64 = 0.5;
/// Least time that an idempotency key must be remembered, as a multiple of the first attempt's timeout: the first
/// attempt may run late.
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

/// The policy under the present load: retries would feed an overload.
pub fn retry_policy(safe: RetryPolicy, is_shedding: bool, fleet_utilization: f64) -> RetryPolicy {
    if is_shedding {
        RetryPolicy::Never
    } else if fleet_utilization < MAX_RETRY_UTILIZATION {
        safe
    } else {
        RetryPolicy::IfNotExecuted
    }
}
