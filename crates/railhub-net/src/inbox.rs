//! The input queues of a thread that owns a state. Events must not be lost: their sender waits while the queue is full.
//! Reports are dropped and counted if their queue is full, as the reports that follow carry newer information.
use crossbeam_queue::ArrayQueue;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::thread::Thread;
use std::time::Duration;

/// Time between attempts of a sender while the event queue is full.
const FULL_QUEUE_RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// A queue of events and a separate queue of reports, for one thread. Each keeps its order.
pub struct Inbox<E, R> {
    events: ArrayQueue<E>,
    reports: ArrayQueue<R>,
    owner: OnceLock<Thread>,
    /// Reports dropped because their queue was full.
    pub reports_dropped: AtomicU64,
}

impl<E, R> Inbox<E, R> {
    /// Empty queues that hold at most `max_events` events and `max_reports` reports.
    pub fn new(max_events: usize, max_reports: usize) -> Inbox<E, R> {
        Inbox {
            events: ArrayQueue::new(max_events),
            reports: ArrayQueue::new(max_reports),
            owner: OnceLock::new(),
            reports_dropped: AtomicU64::new(0),
        }
    }

    /// Makes the calling thread the owner, which each event wakes from now on. To be called once.
    pub fn bind_owner(&self) {
        let _ = self.owner.set(std::thread::current());
    }

    fn wake_owner(&self) {
        if let Some(owner) = self.owner.get() {
            owner.unpark();
        }
    }

    /// Sends an event and wakes the owner; waits while the queue is full. May be called from a coroutine or a thread.
    pub fn send(&self, mut event: E) {
        while let Err(rejected) = self.events.push(event) {
            event = rejected;
            self.wake_owner();
            may::coroutine::sleep(FULL_QUEUE_RETRY_INTERVAL);
        }
        self.wake_owner();
    }

    /// Queues a report without waking the owner; drops and counts it if the queue is full.
    pub fn push_report(&self, report: R) {
        if self.reports.push(report).is_err() {
            self.reports_dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Removes and returns the oldest event.
    pub fn next_event(&self) -> Option<E> {
        self.events.pop()
    }

    /// Removes and returns the oldest report.
    pub fn next_report(&self) -> Option<R> {
        self.reports.pop()
    }

    /// Whether no event is queued; reports may be.
    pub fn has_no_events(&self) -> bool {
        self.events.is_empty()
    }
}
