//! Runs health checks of hosts: a limited number at once, each with a time-out.
//!
//! How a health check is processed: it waits for a free worker, connects to the host, and its result is sent to the
//! owner of the core. A check that does not fit the queue is dropped. The decision engine requests it again with the
//! next tick; a missing result counts neither as passed nor as failed.
use crate::inbox::{Inbox, OwnerEvent};
use railhub::{HealthCheckOutcome, HealthCheckResult, HostId, Seconds};
use railhub_net::http::{Client, HttpError};
use railhub_net::{seconds, WorkerPool};
use std::sync::Arc;

/// Checks that may wait for a free worker: more than there are hosts in the largest fleet.
const MAX_PENDING_HEALTH_CHECKS: usize = 8192;
/// The HTTP status of a host that accepts no operations.
const REJECTED_STATUS: u16 = 503;

/// A pool of workers that run health checks.
pub type HealthChecker = WorkerPool<HostId>;

/// Starts `max_concurrent_checks` workers, which send their results to the inbox.
pub fn start(max_concurrent_checks: usize, timeout: Seconds, inbox: &Arc<Inbox>) -> HealthChecker {
    let inbox = inbox.clone();
    WorkerPool::start(max_concurrent_checks, MAX_PENDING_HEALTH_CHECKS, move |host| {
        inbox.send(OwnerEvent::HealthCheck(HealthCheckResult { host, outcome: check(host, timeout) }));
    })
}

/// Checks a host on a new connection, since its reachability is part of the check.
fn check(host: HostId, timeout: Seconds) -> HealthCheckOutcome {
    // A host whose name is not an address cannot be reached.
    let Some(address) = host.address() else { return HealthCheckOutcome::Unreachable };
    match Client::new(address, seconds(timeout)).request("GET", "/probe", &[]) {
        Ok(_) => HealthCheckOutcome::Passed,
        Err(HttpError::Status(REJECTED_STATUS)) => HealthCheckOutcome::Rejected,
        Err(HttpError::Timeout | HttpError::Status(_)) => HealthCheckOutcome::Failed,
        Err(HttpError::Connect(_) | HttpError::Io(_) | HttpError::Closed | HttpError::Malformed(_)) => {
            HealthCheckOutcome::Unreachable
        }
    }
}
