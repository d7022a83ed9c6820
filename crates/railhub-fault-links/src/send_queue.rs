//! Datagrams that wait for their departure time, the earliest first.
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Datagrams that may wait at once; further ones are dropped, as by a network switch with a full queue.
const MAX_QUEUED_DATAGRAMS: usize = 100_000;

/// A datagram that waits to be sent. Endpoints are given by their index in the relay's list.
pub(crate) struct QueuedDatagram {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) bytes: Vec<u8>,
}

/// When a datagram leaves, in microseconds, and its number: those of the same time leave in the order of their arrival.
type Departure = (u64, u64);

/// The datagrams that a relay has yet to send.
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

    /// Removes the next datagram, whether or not it is due.
    pub(crate) fn pop(&mut self) -> Option<QueuedDatagram> {
        let Reverse((_, number)) = self.departures.pop()?;
        self.datagrams.remove(&number)
    }
}
