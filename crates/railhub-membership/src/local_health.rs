//! A node's local health (Lifeguard: Dadgar, Phillips, Currey 2017). A node that was paused, is starved of CPU or cut
//! off from the network misses acknowledgements from all others. The worse its local health, the longer it waits for
//! acknowledgements and before it declares a suspect dead.
use crate::Seconds;

/// Highest health score, at which timeouts are three times as long as at 0.
const MAX_SCORE: u32 = 8;
/// Fraction by which each point of the score lengthens timeouts.
const TIMEOUT_INCREASE_PER_POINT: f64 = 0.25;
/// Seconds by which a tick may be late without a penalty.
const MAX_TICK_DELAY: Seconds = 0.15;
/// Points added for a late tick.
const LATE_TICK_PENALTY: u32 = 2;
/// Points added for a probe that neither its target nor any helper answered.
const MISSED_NACK_PENALTY: u32 = 1;
/// Points added for a refutation.
const REFUTATION_PENALTY: u32 = 1;

/// The score of a node's own health; 0 is healthy.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    fn penalize(&mut self, points: u32) {
        self.score = (self.score + points).min(MAX_SCORE);
    }

    /// A tick ran `delay` seconds after it was due.
    pub fn on_tick(&mut self, delay: Seconds) {
        if delay > MAX_TICK_DELAY {
            self.penalize(LATE_TICK_PENALTY);
        }
    }

    /// A probe failed, and no helper sent an acknowledgement or a nack.
    pub fn on_missed_nack(&mut self) {
        self.penalize(MISSED_NACK_PENALTY);
    }

    /// The node had to refute a suspicion of itself.
    pub fn on_refutation(&mut self) {
        self.penalize(REFUTATION_PENALTY);
    }

    /// A probe was acknowledged in time.
    pub fn on_probe_success(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The local health multiplier of timeouts, 1 to 3.
    pub fn multiplier(&self) -> f64 {
        1.0 + TIMEOUT_INCREASE_PER_POINT * f64::from(self.score)
    }
}

#[cfg(test)]
mod tests;
