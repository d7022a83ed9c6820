//! A client: sends an operation to its proxy, retries as the operation's class allows, and gives up at the hard stop.
use crate::operation::{OperationClass, PlannedOperation};
use crate::proxy::{Proxy, ProxyOutcome, ProxyRequest};
use railhub_net::{now, seconds};
use railhub_record::{EventKind, OperationEnd, OperationIdempotency, Outcome, Recorder};
use std::sync::Arc;

/// How clients behave.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// Requests after the first.
    pub max_retries: u32,
    /// A request times out after this fraction of the hard stop.
    pub request_timeout_fraction: f64,
    /// Seconds before the first retry; grows by as much with each further one.
    pub retry_backoff: f64,
}

/// Runs one operation from its first request to its end, and records the end.
pub fn run(
    operation: PlannedOperation,
    config: ClientConfig,
    class: &OperationClass,
    proxy: &Arc<Proxy>,
    recorder: &Recorder,
) {
    let began = now();
    let (mut requests, mut outcome) = (0, Outcome::GaveUp);
    let extra_requests = u32::from(operation.extra_retry);
    while requests <= config.max_retries + extra_requests {
        let max_timeout =
            class.hard_stop * config.request_timeout_fraction.min(operation.max_request_timeout_fraction);
        let timeout = (began + class.hard_stop - now()).min(max_timeout);
        if timeout <= 0.0 {
            break;
        }
        requests += 1;
        let end = proxy.handle(ProxyRequest { operation, request: requests, timeout });
        outcome = client_outcome(end, now() - began, class);
        let may_retry = end == ProxyOutcome::Rejected
            || end == ProxyOutcome::Failed && may_retry_failure(class, now() - began);
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
        began,
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

fn may_retry_failure(class: &OperationClass, elapsed: f64) -> bool {
    match class.idempotency {
        OperationIdempotency::Safe => true,
        OperationIdempotency::IdempotencyKeyGlobal => elapsed <= class.key_window,
        OperationIdempotency::IdempotencyKeyLocal | OperationIdempotency::Never => false,
    }
}
