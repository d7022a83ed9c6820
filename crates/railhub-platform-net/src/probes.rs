//! Probes: so many at once, each on a connection of its own, as whether a host can be reached is half of the
//! question. What does not fit the queue is not asked this time; the module asks again each turn.
use crate::shared::{Holds, Shared, Word};
use crossbeam_queue::ArrayQueue;
use may::sync::Semphore;
use railhub::{HostId, ProbeEnd, ProbeResult, Seconds};
use railhub_net::http::{Caller, HttpFault};
use railhub_net::{go, seconds};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Probes at once, and those that may wait: a fleet's worth.
pub const AT_ONCE: usize = 24;
const WAITING: usize = 512;
/// Seconds for a host to say that it lives.
const WITHIN: Seconds = 0.4;

pub struct Probes {
    shared: Arc<Shared>,
    queue: Arc<Queue>,
}

struct Queue {
    waiting: ArrayQueue<(HostId, SocketAddr)>,
    wake: Semphore,
    dropped: AtomicU64,
}

impl Probes {
    pub fn start(shared: &Arc<Shared>) -> Probes {
        let waiting = ArrayQueue::new(WAITING);
        let queue = Arc::new(Queue { waiting, wake: Semphore::new(0), dropped: AtomicU64::new(0) });
        for _ in 0..AT_ONCE {
            let (shared, queue) = (shared.clone(), queue.clone());
            go(move || loop {
                queue.wake.wait();
                let Some((host, address)) = queue.waiting.pop() else { continue };
                let _held = Holds::one(&shared.held.probes);
                match probe(address) {
                    Some(end) => shared.inbox.tell(Word::Probe(ProbeResult { host, end })),
                    None => shared.refuse("probe answer"),
                }
            });
        }
        Probes { shared: shared.clone(), queue }
    }

    pub fn ask(&self, host: HostId, address: SocketAddr) {
        if self.queue.waiting.push((host, address)).is_ok() {
            self.queue.wake.post();
        } else {
            self.queue.dropped.fetch_add(1, Ordering::Relaxed);
            self.shared.refuse("probe for want of room");
        }
    }
}

/// `None`: an answer that cannot be read proves nothing.
fn probe(address: SocketAddr) -> Option<ProbeEnd> {
    Some(match Caller::new(address, seconds(WITHIN)).call("GET", "/alive", &[]) {
        Ok(_) => ProbeEnd::Answered,
        Err(HttpFault::Status(503)) => ProbeEnd::TurnedAway,
        Err(HttpFault::Silent | HttpFault::Status(_)) => ProbeEnd::Failed,
        Err(HttpFault::Unreached(fault)) if is_ours(&fault) => return None,
        Err(HttpFault::Unreached(_) | HttpFault::Broken(_) | HttpFault::Ended) => ProbeEnd::Unreachable,
        Err(HttpFault::Malformed(_)) => return None,
    })
}

/// The process ran out of something: that tells nothing of the host.
fn is_ours(fault: &std::io::Error) -> bool {
    let ours = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EADDRNOTAVAIL];
    fault.raw_os_error().is_some_and(|code| ours.contains(&code))
}
