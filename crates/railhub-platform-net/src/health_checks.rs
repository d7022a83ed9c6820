//! Active health checks: `GET /alive` at a host. Each check uses a new connection, as it also tests whether the host
//! can be reached.
//!
//! Checks that do not fit in the queue are dropped and counted; the decisions request them again at each periodic
//! evaluation.
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

/// Maximum number of concurrent health checks.
pub const MAX_CONCURRENT: usize = 24;
/// Maximum number of queued health checks: as many as a large deployment has hosts.
const MAX_QUEUED: usize = 512;
/// Time-out in seconds, for the connection attempt and for the answer each.
const HEALTH_CHECK_TIMEOUT: Seconds = 0.4;
/// Error codes that mean that this process lacks a resource; they say nothing about the host.
const LOCAL_ERROR_CODES: [i32; 5] =
    [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EADDRNOTAVAIL];

/// The workers that run health checks, with their bounded queue.
pub type HealthChecker = WorkerPool<HealthCheck>;

/// Starts the coroutines that run health checks; each outcome is sent as a [`ControllerEvent::HealthCheckCompleted`].
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

/// Checks one host. Returns `None` if the result says nothing about the host's health.
fn check(address: SocketAddr) -> Option<HealthCheckOutcome> {
    match Client::new(address, seconds(HEALTH_CHECK_TIMEOUT)).request("GET", HEALTH_CHECK_PATH, &[]) {
        Ok(_) => Some(HealthCheckOutcome::Passed),
        Err(HttpError::Status(NOT_SERVING_STATUS)) => Some(HealthCheckOutcome::Rejected),
        Err(HttpError::Timeout | HttpError::Status(_)) => Some(HealthCheckOutcome::Failed),
        Err(HttpError::Connect(error)) if is_local_error(&error) => None,
        Err(HttpError::Connect(_) | HttpError::Io(_) | HttpError::Closed) => {
            Some(HealthCheckOutcome::Unreachable)
        }
        Err(HttpError::Malformed(_)) => None,
    }
}

fn is_local_error(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| LOCAL_ERROR_CODES.contains(&code))
}
