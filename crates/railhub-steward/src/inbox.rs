//! The owner's queues. Words that must not be lost make their sender wait when the queue is full; sums are
//! dropped and counted, since the next ones say more.
use crossbeam_queue::ArrayQueue;
use railhub::{Charge, HostList, ProbeResult, ProxyId, ZoneId};
use railhub_proto::{Subscribe, Sums};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread::Thread;
use std::time::Duration;

use crate::streams::Door;

/// Words and sums that may wait: some seconds' worth from thousands of proxies.
const WORDS: usize = 16 << 10;
const SUMS: usize = 8 << 10;
/// Between tries of a sender that found the queue full.
const FULL_PAUSE: Duration = Duration::from_millis(2);

/// One connection of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

pub enum Word {
    List(HostList),
    Charges(Vec<Charge>),
    Probe(ProbeResult),
    Joins { stream: StreamId, subscribe: Subscribe, door: Arc<Door> },
    Leaves { stream: StreamId, proxy: ProxyId, why: String },
    Ack { stream: StreamId, proxy: ProxyId, nonce: u64 },
    Refusal { stream: StreamId, proxy: ProxyId, nonce: u64, reason: String },
    Stop,
}

pub struct Report {
    pub stream: StreamId,
    pub proxy: ProxyId,
    pub zone: ZoneId,
    pub sums: Sums,
}

pub struct Inbox {
    words: ArrayQueue<Word>,
    sums: ArrayQueue<Report>,
    owner: OnceLock<Thread>,
    pub sums_dropped: AtomicU64,
}

impl Default for Inbox {
    fn default() -> Inbox {
        Inbox {
            words: ArrayQueue::new(WORDS),
            sums: ArrayQueue::new(SUMS),
            owner: OnceLock::new(),
            sums_dropped: AtomicU64::new(0),
        }
    }
}

impl Inbox {
    /// Called by the owner, once, from its thread.
    pub fn own(&self) {
        let _ = self.owner.set(std::thread::current());
    }

    fn wake(&self) {
        if let Some(owner) = self.owner.get() {
            owner.unpark();
        }
    }

    /// From a coroutine or a thread.
    pub fn tell(&self, mut word: Word) {
        while let Err(back) = self.words.push(word) {
            word = back;
            self.wake();
            may::coroutine::sleep(FULL_PAUSE);
        }
        self.wake();
    }

    /// Sums wait for the owner to look; they wake nobody.
    pub fn report(&self, report: Report) {
        if self.sums.push(report).is_err() {
            self.sums_dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    pub fn next_word(&self) -> Option<Word> {
        self.words.pop()
    }

    pub fn next_report(&self) -> Option<Report> {
        self.sums.pop()
    }

    pub fn is_quiet(&self) -> bool {
        self.words.is_empty()
    }
}
