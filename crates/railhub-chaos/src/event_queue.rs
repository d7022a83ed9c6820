//! The queue of simulated events: ordered by time in microseconds, and by insertion among events of one microsecond.
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Microseconds of a second: the resolution of the queue.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Events that wait for their time.
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
    /// Schedules an event at a time in seconds, rounded up to the microsecond: no event comes before its time.
    pub fn schedule(&mut self, at: f64, event: T) {
        self.last_number += 1;
        let at_microseconds = (at * MICROSECONDS_PER_SECOND).ceil() as u64;
        self.order.push(Reverse((at_microseconds, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    /// Takes out the next event, with its time in seconds.
    pub fn pop(&mut self) -> Option<(f64, T)> {
        let Reverse((at_microseconds, number)) = self.order.pop()?;
        let event = self.events.remove(&number)?;
        Some((at_microseconds as f64 / MICROSECONDS_PER_SECOND, event))
    }

    /// The number of events that were ever scheduled.
    pub fn scheduled_count(&self) -> u64 {
        self.last_number
    }
}

/// Rounds a time in seconds up to the resolution of the queue.
///
/// A process that resumes between two microseconds would see each event that waits for it come just too early, for ever.
pub fn round_up_to_queue_resolution(at: f64) -> f64 {
    (at * MICROSECONDS_PER_SECOND).ceil() / MICROSECONDS_PER_SECOND
}
