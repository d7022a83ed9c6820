//! The queues of a thread that owns a state: events, which must not be lost, make their sender wait when the queue is
//! full; reports are dropped and counted, since the next ones say more.
use crossbeam_queue::ArrayQueue;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::thread::Thread;
use std::time::Duration;

/// Time between attempts of a sender that found the queue full.
const FULL_QUEUE_RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// Events in order, and reports beside them, for one thread.
pub struct Inbox<E, R> {
    events: ArrayQueue<E>,
    reports: ArrayQueue<R>,
    owner: OnceLock<Thread>,
    /// Reports dropped because their queue was full.
    pub reports_dropped: AtomicU64,
}

impl<E, R> Inbox<E, R> {
    /// Empty queues of these capacities.
    pub fn new(max_events: usize, max_reports: usize) -> Inbox<E, R> {
        Inbox {
            events: ArrayQueue::new(max_events),
            reports: ArrayQueue::new(max_reports),
            owner: OnceLock::new(),
            reports_dropped: AtomicU64::new(0),
        }
    }

    /// Makes the calling thread the owner, which events wake from now on. To be called once.
    pub fn bind_owner(&self) {
        let _ = self.owner.set(std::thread::current());
    }

    fn wake_owner(&self) {
        if let Some(owner) = self.owner.get() {
            owner.unpark();
        }
    }

    /// Sends an event and wakes the owner; waits while the queue is full. From a coroutine or a thread.
    pub fn send(&self, mut event: E) {
        while let Err(rejected) = self.events.push(event) {
            event = rejected;
            self.wake_owner();
            may::coroutine::sleep(FULL_QUEUE_RETRY_INTERVAL);
        }
        self.wake_owner();
    }

    /// Queues a report, which wakes nobody; drops and counts it if the queue is full.
    pub fn push_report(&self, report: R) {
        if self.reports.push(report).is_err() {
            self.reports_dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Takes the oldest event.
    pub fn next_event(&self) -> Option<E> {
        self.events.pop()
    }

    /// Takes the oldest report.
    pub fn next_report(&self) -> Option<R> {
        self.reports.pop()
    }

    /// Whether no event waits; reports may.
    pub fn has_no_events(&self) -> bool {
        self.events.is_empty()
    }
}
