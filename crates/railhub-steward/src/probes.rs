//! Probes: so many at once, each with a time-out. What does not fit the queue is not asked this time; the
//! decisions ask again each turn, and a missing answer proves nothing.
use crate::inbox::{Inbox, OwnerEvent};
use railhub::{HealthCheckOutcome, HealthCheckResult, HostId, Seconds};
use railhub_net::http::{Client, HttpError};
use railhub_net::{seconds, WorkerPool};
use std::sync::Arc;

/// Probes that may wait for a free prober: more than hosts of the largest fleet.
const WAITING: usize = 8192;

pub type Probes = WorkerPool<HostId>;

pub fn start(at_once: usize, within: Seconds, inbox: &Arc<Inbox>) -> Probes {
    let inbox = inbox.clone();
    WorkerPool::start(at_once, WAITING, move |host| {
        inbox.send(OwnerEvent::Probe(HealthCheckResult { host, outcome: probe(host, within) }));
    })
}

/// A connection of its own each time: whether the host can be reached is half of the question.
fn probe(host: HostId, within: Seconds) -> HealthCheckOutcome {
    // A name that is no address cannot be asked.
    let Some(address) = host.address() else { return HealthCheckOutcome::Unreachable };
    match Client::new(address, seconds(within)).request("GET", "/probe", &[]) {
        Ok(_) => HealthCheckOutcome::Passed,
        Err(HttpError::Status(503)) => HealthCheckOutcome::Rejected,
        Err(HttpError::Timeout | HttpError::Status(_)) => HealthCheckOutcome::Failed,
        Err(HttpError::Connect(_) | HttpError::Io(_) | HttpError::Closed | HttpError::Malformed(_)) => {
            HealthCheckOutcome::Unreachable
        }
    }
}
