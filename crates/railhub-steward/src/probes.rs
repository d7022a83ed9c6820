//! Probes: so many at once, each with a time-out. What does not fit the queue is not asked this time; the
//! decisions ask again each turn, and a missing answer proves nothing.
use crate::inbox::{Inbox, Word};
use may::sync::Semphore;
use railhub::{HostId, ProbeEnd, ProbeResult, Seconds};
use railhub_net::http::{Caller, HttpFault};
use railhub_net::{seconds, Task};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crossbeam_queue::ArrayQueue;

/// Probes that may wait for a free prober: more than hosts of the largest fleet.
const WAITING: usize = 8192;

pub struct Probes {
    shared: Arc<Shared>,
    _probers: Vec<Task>,
}

struct Shared {
    queue: ArrayQueue<HostId>,
    wake: Semphore,
    dropped: AtomicU64,
}

impl Probes {
    pub fn start(at_once: usize, within: Seconds, inbox: &Arc<Inbox>) -> Probes {
        let queue = ArrayQueue::new(WAITING);
        let shared = Arc::new(Shared { queue, wake: Semphore::new(0), dropped: AtomicU64::new(0) });
        let probers = (0..at_once).map(|_| {
            let (shared, inbox) = (shared.clone(), inbox.clone());
            Task::go(move || loop {
                shared.wake.wait();
                if let Some(host) = shared.queue.pop() {
                    inbox.tell(Word::Probe(ProbeResult { host, end: probe(host, within) }));
                }
            })
        });
        let probers = probers.collect();
        Probes { shared, _probers: probers }
    }

    pub fn ask(&self, host: HostId) {
        if self.shared.queue.push(host).is_ok() {
            self.shared.wake.post();
        } else {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }
}

/// A connection of its own each time: whether the host can be reached is half of the question.
fn probe(host: HostId, within: Seconds) -> ProbeEnd {
    // A name that is no address cannot be asked.
    let Some(address) = host.address() else { return ProbeEnd::Unreachable };
    match Caller::new(address, seconds(within)).call("GET", "/probe", &[]) {
        Ok(_) => ProbeEnd::Answered,
        Err(HttpFault::Status(503)) => ProbeEnd::TurnedAway,
        Err(HttpFault::Silent | HttpFault::Status(_)) => ProbeEnd::Failed,
        Err(HttpFault::Unreached(_) | HttpFault::Broken(_) | HttpFault::Ended | HttpFault::Malformed(_)) => {
            ProbeEnd::Unreachable
        }
    }
}
