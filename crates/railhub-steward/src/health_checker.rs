//! Sends probes: so many at once, each with a time-out.
//!
//! The way of one probe: it waits for a free prober, connects, and its result goes to the owner of the core. A probe
//! that does not fit the queue is not sent; the decisions order it again with the next tick, and a result that is missing
//! proves nothing.
use crate::inbox::{Inbox, OwnerEvent};
use railhub::{HealthCheckOutcome, HealthCheckResult, HostId, Seconds};
use railhub_net::http::{Client, HttpError};
use railhub_net::{seconds, WorkerPool};
use std::sync::Arc;

/// Probes that may wait for a free prober: more than the hosts of the largest fleet.
const MAX_PENDING_PROBES: usize = 8192;
/// The status of a host that takes no operations.
const REJECTED_STATUS: u16 = 503;

/// Probes hosts.
pub type HealthChecker = WorkerPool<HostId>;

/// Starts `max_concurrent` probers.
pub fn start(max_concurrent: usize, timeout: Seconds, inbox: &Arc<Inbox>) -> HealthChecker {
    let inbox = inbox.clone();
    WorkerPool::start(max_concurrent, MAX_PENDING_PROBES, move |host| {
        inbox.send(OwnerEvent::HealthCheck(HealthCheckResult { host, outcome: probe(host, timeout) }));
    })
}

/// Probes a host on a connection of its own: whether the host can be reached is half of what is checked.
fn probe(host: HostId, timeout: Seconds) -> HealthCheckOutcome {
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
