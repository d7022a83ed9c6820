//! What falls due, in the order of its time, to the microsecond; of two at one moment the one that was put in first.
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub(crate) struct Agenda<T> {
    order: BinaryHeap<Reverse<(u64, u64)>>,
    things: BTreeMap<u64, T>,
    last: u64,
}

impl<T> Agenda<T> {
    pub fn new() -> Agenda<T> {
        Agenda { order: BinaryHeap::new(), things: BTreeMap::new(), last: 0 }
    }

    /// Rounded up to the microsecond: nothing falls due before its time.
    pub fn put(&mut self, at: f64, thing: T) {
        self.last += 1;
        self.order.push(Reverse(((at * 1e6).ceil() as u64, self.last)));
        self.things.insert(self.last, thing);
    }

    pub fn next(&mut self) -> Option<(f64, T)> {
        let Reverse((at, number)) = self.order.pop()?;
        let thing = self.things.remove(&number)?;
        Some((at as f64 / 1e6, thing))
    }

    /// Things put in so far.
    pub fn count(&self) -> u64 {
        self.last
    }
}
