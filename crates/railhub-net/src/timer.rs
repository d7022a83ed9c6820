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

struct Timer {
    due_at: f64,
    action: Box<dyn FnOnce() + Send>,
}

impl PartialEq for Timer {
    fn eq(&self, other: &Timer) -> bool {
        self.due_at == other.due_at
    }
}

impl Eq for Timer {}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Timer) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timer {
    /// Reversed: the timer that is due first is the greatest, as the heap returns the greatest first.
    fn cmp(&self, other: &Timer) -> Ordering {
        other.due_at.total_cmp(&self.due_at)
    }
}

/// Runs the action on the timer thread after `delay` seconds. The action must not block.
pub fn run_after(delay: f64, action: impl FnOnce() + Send + 'static) {
    static TIMERS: OnceLock<Sender<Timer>> = OnceLock::new();
    let timers = TIMERS.get_or_init(start_thread);
    let _ = timers.send(Timer { due_at: now() + delay, action: Box::new(action) });
}

fn start_thread() -> Sender<Timer> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || run_timers(&receiver));
    sender
}

/// Runs the actions that are due, until the sender is dropped.
fn run_timers(receiver: &Receiver<Timer>) {
    let mut timers: BinaryHeap<Timer> = BinaryHeap::new();
    loop {
        let wait = timers.peek().map_or(IDLE_SLEEP_SECONDS, |timer| timer.due_at - now());
        match receiver.recv_timeout(seconds(wait)) {
            Ok(timer) => timers.push(timer),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        while timers.peek().is_some_and(|timer| timer.due_at <= now()) {
            if let Some(timer) = timers.pop() {
                (timer.action)();
            }
        }
    }
}

#[cfg(test)]
mod tests;
