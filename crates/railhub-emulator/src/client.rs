//! An emulated client: sends an operation to its proxy, retries if the operation's class allows it, and gives up at the
//! hard stop of the class.
use crate::operation::{OperationClass, PlannedOperation};
use crate::proxy::{Proxy, ProxyOutcome, ProxyRequest};
use railhub_net::{now, seconds};
use railhub_record::{EventKind, OperationEnd, OperationIdempotency, Outcome, Recorder};
use std::sync::Arc;

/// Time-outs and retries of the clients.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// Maximum number of requests after the first.
    pub max_retries: u32,
    /// A request times out after this fraction of the hard stop.
    pub request_timeout_fraction: f64,
    /// Seconds before the first retry; the delay increases by this amount with each further retry.
    pub retry_backoff: f64,
}

/// Runs one operation from its first request until it completes or the client gives up, and records the outcome.
pub fn run(
    operation: PlannedOperation,
    config: ClientConfig,
    class: &OperationClass,
    proxy: &Arc<Proxy>,
    recorder: &Recorder,
) {
    let began_at = now();
    let (mut requests, mut outcome) = (0, Outcome::GaveUp);
    let extra_requests = u32::from(operation.extra_retry);
    while requests <= config.max_retries + extra_requests {
        let max_timeout =
            class.hard_stop * config.request_timeout_fraction.min(operation.max_request_timeout_fraction);
        let timeout = (began_at + class.hard_stop - now()).min(max_timeout);
        if timeout <= 0.0 {
            break;
        }
        requests += 1;
        let end = proxy.handle(ProxyRequest { operation, request: requests, timeout });
        outcome = client_outcome(end, now() - began_at, class);
        let may_retry = end == ProxyOutcome::Rejected
            || end == ProxyOutcome::Failed && may_retry_failure(class, now() - began_at);
        if !may_retry {
            break;
        }
        may::coroutine::sleep(seconds(config.retry_backoff * f64::from(requests)));
    }
    let end = OperationEnd {
        operation: operation.operation,
        class: operation.class,
        slice: operation.slice,
        zone: proxy.config.zone,
        began: began_at,
        outcome: outcome.into(),
        requests,
        key: operation.key,
        work: operation.work,
        proxy: proxy.config.number,
    };
    recorder.record(now(), EventKind::OperationEnd(end));
}

fn client_outcome(end: ProxyOutcome, elapsed: f64, class: &OperationClass) -> Outcome {
    match end {
        ProxyOutcome::Completed if elapsed <= class.contract_time => Outcome::Completed,
        ProxyOutcome::Completed => Outcome::Late,
        ProxyOutcome::Rejected => Outcome::Refused,
        ProxyOutcome::Failed => Outcome::Failed,
    }
}

/// Whether the client may retry a request that failed and so may have taken effect.
fn may_retry_failure(class: &OperationClass, elapsed: f64) -> bool {
    match class.idempotency {
        OperationIdempotency::Safe => true,
        OperationIdempotency::IdempotencyKeyGlobal => elapsed <= class.key_window,
        OperationIdempotency::IdempotencyKeyLocal | OperationIdempotency::Never => false,
    }
}
