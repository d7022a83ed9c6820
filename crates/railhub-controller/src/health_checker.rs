//! Checks the health of hosts: so many at once, each check with a time-out.
//!
//! The way of one health check: it waits for a free worker, connects, and its result goes to the owner of the core. A check
//! that does not fit the queue is not sent; the decisions order it again with the next tick, and a result that is missing
//! proves nothing.
use crate::inbox::{Inbox, OwnerEvent};
use railhub::{HealthCheckOutcome, HealthCheckResult, HostId, Seconds};
use railhub_net::http::{Client, HttpError};
use railhub_net::{seconds, WorkerPool};
use std::sync::Arc;

/// Checks that may wait for a free worker: more than the hosts of the largest fleet.
const MAX_PENDING_HEALTH_CHECKS: usize = 8192;
/// The status of a host that takes no operations.
const REJECTED_STATUS: u16 = 503;

/// Checks the health of hosts.
pub type HealthChecker = WorkerPool<HostId>;

/// Starts `max_concurrent_checks` workers.
pub fn start(max_concurrent_checks: usize, timeout: Seconds, inbox: &Arc<Inbox>) -> HealthChecker {
    let inbox = inbox.clone();
    WorkerPool::start(max_concurrent_checks, MAX_PENDING_HEALTH_CHECKS, move |host| {
        inbox.send(OwnerEvent::HealthCheck(HealthCheckResult { host, outcome: check(host, timeout) }));
    })
}

/// Checks a host on a connection of its own: whether the host can be reached is half of what is checked.
fn check(host: HostId, timeout: Seconds) -> HealthCheckOutcome {
    // A host whose name is no address cannot be reached.
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
