//! A queue of simulated events, ordered by time in microseconds; events of the same microsecond keep insertion order.
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Microseconds per second; the queue has a resolution of one microsecond.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Scheduled events, returned in the order of their times.
pub struct EventQueue<T> {
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, T>,
    last_number: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> EventQueue<T> {
        EventQueue { order: BinaryHeap::new(), events: BTreeMap::new(), last_number: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event at a time in seconds. The time is rounded up to a microsecond, so that no event is early.
    pub fn schedule(&mut self, at: f64, event: T) {
        self.last_number += 1;
        let at_microseconds = (at * MICROSECONDS_PER_SECOND).ceil() as u64;
        self.order.push(Reverse((at_microseconds, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    /// Removes the next event and returns it with its time in seconds.
    pub fn pop(&mut self) -> Option<(f64, T)> {
        let Reverse((at_microseconds, number)) = self.order.pop()?;
        let event = self.events.remove(&number)?;
        Some((at_microseconds as f64 / MICROSECONDS_PER_SECOND, event))
    }

    /// Number of events scheduled so far, including those already removed.
    pub fn scheduled_count(&self) -> u64 {
        self.last_number
    }
}

/// Rounds a time in seconds up to the resolution of the queue.
///
/// Events that are deferred until a process resumes need this: if the time of resumption lay between two microseconds, an
/// event could come due just before it, and would be deferred again without end.
pub fn round_up_to_queue_resolution(at: f64) -> f64 {
    (at * MICROSECONDS_PER_SECOND).ceil() / MICROSECONDS_PER_SECOND
}
