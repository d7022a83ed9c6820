//! Timers on a separate thread, in place of the runtime's timers. The runtime's timer list can fail an assertion when
//! many timers are cancelled while others expire: under load with `may` 0.3 the timer thread panicked and every sleep
//! of the process hung. Therefore timers here cannot be cancelled; the action of one that is no longer needed must do
//! nothing.
use crate::clock::{now, seconds};
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::OnceLock;

/// Sleep of the timer thread while there is no timer.
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
    /// Reversed: the entry that is due first is the greatest, as the heap returns the greatest first.
    fn cmp(&self, other: &Entry) -> Ordering {
        other.due_at.total_cmp(&self.due_at)
    }
}

/// Runs the action on the timer thread after `delay` seconds. The action must not block.
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

/// Runs the actions that are due, until the sender is dropped.
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
