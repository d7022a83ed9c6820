//! Active health checks: `GET /alive` at a host, each on a connection of its own, as whether a host can be reached is
//! half of the question.
//!
//! What does not fit the queue is dropped and counted; the decisions request it again at each periodic evaluation.
use crate::descriptors::DescriptorGuard;
use crate::events::ControllerEvent;
use crate::rejections::RejectionCause;
use crate::shared_state::SharedState;
use railhub::{HealthCheckOutcome, Seconds};
use railhub_net::http::{Client, HttpError};
use railhub_net::{seconds, WorkerPool};
use railhub_platform::wire::hosts::{HEALTH_CHECK_PATH, NOT_SERVING_STATUS};
use railhub_platform::HealthCheck;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Health checks at once.
pub const MAX_CONCURRENT: usize = 24;
/// Health checks that may wait for one that ends: as many as a large deployment has hosts.
const MAX_QUEUED: usize = 512;
/// Seconds for a host to answer, each for the connection and for the answer.
const HEALTH_CHECK_TIMEOUT: Seconds = 0.4;
/// Errors of this process, which ran out of something: they prove nothing of the host.
const LOCAL_ERRORS: [i32; 5] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EADDRNOTAVAIL];

/// Runs health checks from a bounded queue.
pub type HealthChecker = WorkerPool<HealthCheck>;

/// Starts the coroutines that run health checks; outcomes come back as [`ControllerEvent::HealthCheckCompleted`].
pub fn start(shared: &Arc<SharedState>) -> HealthChecker {
    let shared = shared.clone();
    WorkerPool::start(MAX_CONCURRENT, MAX_QUEUED, move |health_check: HealthCheck| {
        let _descriptor = DescriptorGuard::count(&shared.descriptors.health_checks);
        match check(health_check.address) {
            Some(outcome) => shared.inbox.send(ControllerEvent::HealthCheckCompleted(health_check, outcome)),
            None => shared.rejections.record(RejectionCause::HealthCheckResponse),
        }
    })
}

/// `None`: what happened proves nothing of the host.
fn check(address: SocketAddr) -> Option<HealthCheckOutcome> {
    match Client::new(address, seconds(HEALTH_CHECK_TIMEOUT)).request("GET", HEALTH_CHECK_PATH, &[]) {
        Ok(_) => Some(HealthCheckOutcome::Passed),
        Err(HttpError::Status(NOT_SERVING_STATUS)) => Some(HealthCheckOutcome::Rejected),
        Err(HttpError::Timeout | HttpError::Status(_)) => Some(HealthCheckOutcome::Failed),
        Err(HttpError::Connect(error)) if is_local(&error) => None,
        Err(HttpError::Connect(_) | HttpError::Io(_) | HttpError::Closed) => {
            Some(HealthCheckOutcome::Unreachable)
        }
        Err(HttpError::Malformed(_)) => None,
    }
}

fn is_local(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| LOCAL_ERRORS.contains(&code))
}
