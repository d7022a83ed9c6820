//! The queues of a thread that owns a state. Words that must not be lost make their sender wait when the queue is
//! full; sums are dropped and counted, since the next ones say more.
use crossbeam_queue::ArrayQueue;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::thread::Thread;
use std::time::Duration;

/// Between tries of a sender that found the queue full.
const FULL_PAUSE: Duration = Duration::from_millis(2);

/// Words in order, and sums beside them, for one thread.
pub struct Inbox<W, S> {
    words: ArrayQueue<W>,
    sums: ArrayQueue<S>,
    owner: OnceLock<Thread>,
    pub sums_dropped: AtomicU64,
}

impl<W, S> Inbox<W, S> {
    /// So many words and sums may wait.
    pub fn new(words: usize, sums: usize) -> Inbox<W, S> {
        Inbox {
            words: ArrayQueue::new(words),
            sums: ArrayQueue::new(sums),
            owner: OnceLock::new(),
            sums_dropped: AtomicU64::new(0),
        }
    }

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
    pub fn tell(&self, mut word: W) {
        while let Err(back) = self.words.push(word) {
            word = back;
            self.wake();
            may::coroutine::sleep(FULL_PAUSE);
        }
        self.wake();
    }

    /// Sums wait for the owner to look; they wake nobody.
    pub fn report(&self, report: S) {
        if self.sums.push(report).is_err() {
            self.sums_dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    pub fn next_word(&self) -> Option<W> {
        self.words.pop()
    }

    pub fn next_report(&self) -> Option<S> {
        self.sums.pop()
    }

    pub fn is_quiet(&self) -> bool {
        self.words.is_empty()
    }
}
