//! Timers by a thread of our own. The runtime's timer list can fail an assertion when many timers are cancelled while
//! others run out (seen under load with `may` 0.3: the timer thread panicked and every sleep of the process hung), so
//! nothing here cancels one: a wait that ended early leaves an entry that does nothing.
use crate::clock::{now, seconds};
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::OnceLock;

/// Seconds the thread sleeps when nothing is due.
const IDLE_SLEEP_SECONDS: f64 = 3600.0;

struct Entry {
    due_at: f64,
    action: Box<dyn FnOnce() + Send>,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.due_at == other.due_at
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// The earlier entry is the greater, so that the heap gives it first.
    fn cmp(&self, other: &Entry) -> Ordering {
        other.due_at.total_cmp(&self.due_at)
    }
}

/// Runs the action after a span of seconds, on the timers' thread; it must not wait.
pub fn run_after(delay: f64, action: impl FnOnce() + Send + 'static) {
    static ENTRIES: OnceLock<Sender<Entry>> = OnceLock::new();
    let entries = ENTRIES.get_or_init(start_thread);
    let _ = entries.send(Entry { due_at: now() + delay, action: Box::new(action) });
}

fn start_thread() -> Sender<Entry> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || run_timers(&receiver));
    sender
}

/// Runs until no sender is left.
fn run_timers(receiver: &Receiver<Entry>) {
    let mut entries: BinaryHeap<Entry> = BinaryHeap::new();
    loop {
        let wait = entries.peek().map_or(IDLE_SLEEP_SECONDS, |entry| entry.due_at - now());
        match receiver.recv_timeout(seconds(wait)) {
            Ok(entry) => entries.push(entry),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        while entries.peek().is_some_and(|entry| entry.due_at <= now()) {
            if let Some(entry) = entries.pop() {
                (entry.action)();
            }
        }
    }
}

#[cfg(test)]
mod tests;
