//! One direction between two ends: what becomes of each piece that passes.
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Seconds that a piece which is to come out of order waits besides, at the most.
const REORDERED_BY: f64 = 0.05;
/// Seconds of traffic that a way of limited rate holds before it drops.
const QUEUE: f64 = 0.5;

/// What is wrong with a way; the default is nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Shares of pieces that are lost, come out of order, or come twice.
    pub lost: f64,
    pub reordered: f64,
    pub doubled: f64,
    /// Seconds that each takes, and up to so many more.
    pub delay: f64,
    pub jitter: f64,
    /// Bytes a second; 0: no limit.
    pub rate: f64,
    /// Nothing passes.
    pub cut: bool,
}

/// What a way did so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub passed: u64,
    pub lost: u64,
    pub cut: u64,
    pub overrun: u64,
    pub reordered: u64,
    pub doubled: u64,
    pub bytes: u64,
}

#[derive(Clone, Debug)]
pub struct Way {
    pub faults: Faults,
    pub counts: Counts,
    /// When the rate lets the next piece leave.
    free_at: f64,
    chance: ChaCha8Rng,
}

impl Way {
    pub fn new(chance: ChaCha8Rng) -> Way {
        Way { faults: Faults::default(), counts: Counts::default(), free_at: 0.0, chance }
    }

    fn draw(&mut self, share: f64) -> bool {
        share > 0.0 && self.chance.random::<f64>() < share
    }

    /// When a piece that comes now leaves: not at all, once, or twice.
    pub fn pass(&mut self, now: f64, bytes: usize) -> Vec<f64> {
        let faults = self.faults;
        if faults.cut {
            self.counts.cut += 1;
            return Vec::new();
        }
        if self.draw(faults.lost) {
            self.counts.lost += 1;
            return Vec::new();
        }
        let Some(after_rate) = self.queue(now, bytes) else {
            self.counts.overrun += 1;
            return Vec::new();
        };
        let mut leaves = vec![self.leaves(after_rate)];
        if self.draw(faults.reordered) {
            self.counts.reordered += 1;
            leaves[0] += self.chance.random::<f64>() * REORDERED_BY;
        }
        if self.draw(faults.doubled) {
            self.counts.doubled += 1;
            let again = self.leaves(after_rate) + self.chance.random::<f64>() * REORDERED_BY;
            leaves.push(again);
        }
        self.counts.passed += 1;
        self.counts.bytes += bytes as u64;
        leaves
    }

    fn queue(&mut self, now: f64, bytes: usize) -> Option<f64> {
        if self.faults.rate <= 0.0 {
            return Some(now);
        }
        let free_at = self.free_at.max(now);
        if free_at - now > QUEUE {
            return None;
        }
        self.free_at = free_at + bytes as f64 / self.faults.rate;
        Some(self.free_at)
    }

    fn leaves(&mut self, after: f64) -> f64 {
        let jitter = self.faults.jitter;
        let more = if jitter > 0.0 { self.chance.random::<f64>() * jitter } else { 0.0 };
        after + self.faults.delay + more
    }
}

#[cfg(test)]
mod tests;
