//! One direction between two endpoints: decides whether and when each packet leaves, without sockets or clocks.
use crate::faults::{Counts, Faults};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Longest time that a reordered packet is held back.
const MAX_REORDER_DELAY_SECONDS: f64 = 0.05;
/// Traffic that the queue of a rate-limited direction holds; packets beyond it are dropped.
const MAX_QUEUE_DELAY_SECONDS: f64 = 0.5;

/// The traffic from one endpoint to another.
#[derive(Clone, Debug)]
pub struct Direction {
    /// The faults in effect.
    pub faults: Faults,
    /// The packet counts so far.
    pub counts: Counts,
    /// When the rate limit lets the next packet leave, in seconds.
    free_at: f64,
    rng: ChaCha8Rng,
}

impl Direction {
    /// A direction without faults.
    pub fn new(rng: ChaCha8Rng) -> Direction {
        Direction { faults: Faults::default(), counts: Counts::default(), free_at: 0.0, rng }
    }

    /// Whether an event of this probability occurs. A probability of 0 takes no number from the random stream.
    fn draw(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random::<f64>() < probability
    }

    /// Counts a packet that arrives `now`. Returns the times at which it leaves, in seconds: none if it is dropped, two if
    /// it is duplicated.
    pub fn schedule(&mut self, now: f64, bytes: usize) -> Vec<f64> {
        let faults = self.faults;
        if faults.cut {
            self.counts.cut += 1;
            return Vec::new();
        }
        if self.draw(faults.lost) {
            self.counts.lost += 1;
            return Vec::new();
        }
        let Some(transmitted_at) = self.enqueue(now, bytes) else {
            self.counts.queue_dropped += 1;
            return Vec::new();
        };
        let mut departures = vec![self.departure_time(transmitted_at)];
        if self.draw(faults.reordered) {
            self.counts.reordered += 1;
            departures[0] += self.reorder_delay();
        }
        if self.draw(faults.duplicated) {
            self.counts.duplicated += 1;
            let duplicate = self.departure_time(transmitted_at) + self.reorder_delay();
            departures.push(duplicate);
        }
        self.counts.passed += 1;
        self.counts.bytes += bytes as u64;
        departures
    }

    /// When the rate limit lets a packet leave; `None` if the queue is full.
    fn enqueue(&mut self, now: f64, bytes: usize) -> Option<f64> {
        if self.faults.bytes_per_second <= 0.0 {
            return Some(now);
        }
        let free_at = self.free_at.max(now);
        if free_at - now > MAX_QUEUE_DELAY_SECONDS {
            return None;
        }
        self.free_at = free_at + bytes as f64 / self.faults.bytes_per_second;
        Some(self.free_at)
    }

    fn departure_time(&mut self, transmitted_at: f64) -> f64 {
        let max_jitter = self.faults.jitter;
        let jitter = if max_jitter > 0.0 { self.rng.random::<f64>() * max_jitter } else { 0.0 };
        transmitted_at + self.faults.delay + jitter
    }

    fn reorder_delay(&mut self) -> f64 {
        self.rng.random::<f64>() * MAX_REORDER_DELAY_SECONDS
    }
}

#[cfg(test)]
mod tests;
