//! Probes: so many at once, each on a connection of its own, as whether a host can be reached is half of the
//! question. What does not fit the queue is not asked this time; the module asks again each turn.
use crate::shared::{ControllerEvent, DescriptorGuard, Shared};
use railhub::{HealthCheckOutcome, Seconds};
use railhub_net::http::{Caller, HttpError};
use railhub_net::{seconds, Pool};
use railhub_platform::wire::hosts::{HEALTH_CHECK_PATH, NOT_SERVING_STATUS};
use railhub_platform::Probe;
use std::net::SocketAddr;
use std::sync::Arc;

/// Probes at once, and those that may wait: a fleet's worth.
pub const AT_ONCE: usize = 24;
const WAITING: usize = 512;
/// Seconds for a host to say that it lives.
const WITHIN: Seconds = 0.4;

pub type Probes = Pool<Probe>;

pub fn start(shared: &Arc<Shared>) -> Probes {
    let shared = shared.clone();
    Pool::start(AT_ONCE, WAITING, move |asked: Probe| {
        let _held = DescriptorGuard::one(&shared.held.probes);
        match probe(asked.address) {
            Some(end) => shared.inbox.tell(ControllerEvent::Probe(asked, end)),
            None => shared.refuse("probe answer"),
        }
    })
}

/// `None`: an answer that cannot be read proves nothing.
fn probe(address: SocketAddr) -> Option<HealthCheckOutcome> {
    Some(match Caller::new(address, seconds(WITHIN)).call("GET", HEALTH_CHECK_PATH, &[]) {
        Ok(_) => HealthCheckOutcome::Passed,
        Err(HttpError::Status(NOT_SERVING_STATUS)) => HealthCheckOutcome::Rejected,
        Err(HttpError::Silent | HttpError::Status(_)) => HealthCheckOutcome::Failed,
        Err(HttpError::Unreached(fault)) if is_ours(&fault) => return None,
        Err(HttpError::Unreached(_) | HttpError::Broken(_) | HttpError::Ended) => {
            HealthCheckOutcome::Unreachable
        }
        Err(HttpError::Malformed(_)) => return None,
    })
}

/// The process ran out of something: that tells nothing of the host.
fn is_ours(fault: &std::io::Error) -> bool {
    let ours = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EADDRNOTAVAIL];
    fault.raw_os_error().is_some_and(|code| ours.contains(&code))
}
