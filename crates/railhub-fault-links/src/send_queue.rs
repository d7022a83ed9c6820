//! Datagrams that wait for their time, the earliest first.
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Datagrams that wait at once; further ones are dropped, as by a full switch.
const MAX_QUEUED_DATAGRAMS: usize = 100_000;

/// A datagram that waits. Endpoints are given by their places in the relay's list.
pub(crate) struct QueuedDatagram {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) bytes: Vec<u8>,
}

/// When a datagram leaves, in microseconds, and its number: those of one time leave in the order in which they came.
type Departure = (u64, u64);

/// The queue of a relay.
#[derive(Default)]
pub(crate) struct SendQueue {
    departures: BinaryHeap<Reverse<Departure>>,
    datagrams: BTreeMap<u64, QueuedDatagram>,
    last_number: u64,
}

impl SendQueue {
    /// Queues a datagram that leaves at `at`, in seconds.
    pub(crate) fn push(&mut self, at: f64, datagram: QueuedDatagram) {
        if self.datagrams.len() >= MAX_QUEUED_DATAGRAMS {
            return;
        }
        self.last_number += 1;
        self.departures.push(Reverse(((at * 1e6) as u64, self.last_number)));
        self.datagrams.insert(self.last_number, datagram);
    }

    /// When the next datagram leaves, in seconds.
    pub(crate) fn next_at(&self) -> Option<f64> {
        self.departures.peek().map(|Reverse((micros, _))| *micros as f64 / 1e6)
    }

    /// Takes the next datagram out, due or not.
    pub(crate) fn pop(&mut self) -> Option<QueuedDatagram> {
        let Reverse((_, number)) = self.departures.pop()?;
        self.datagrams.remove(&number)
    }
}
