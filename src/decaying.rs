//! What is measured over time: decaying sums, brought up to date when they are read or added to.
use crate::interface::Seconds;

#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    pub value: f64,
    pub at: Seconds,
}

impl DecayingSum {
    pub fn read(&self, now: Seconds, memory: Seconds) -> f64 {
        self.value * (-(now - self.at).max(0.0) / memory).exp()
    }

    pub fn add(&mut self, now: Seconds, amount: f64, memory: Seconds) {
        *self = DecayingSum { value: self.read(now, memory) + amount, at: now };
    }
}

/// What came in a second, over the time that the reports cover: they come late, apart and not every second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    pub amount: DecayingSum,
    pub span: DecayingSum,
}

impl DecayingRate {
    pub fn add(&mut self, now: Seconds, amount: f64, span: Seconds, memory: Seconds) {
        self.amount.add(now, amount, memory);
        self.span.add(now, span, memory);
    }

    pub fn read(&self) -> f64 {
        if self.span.value > 0.0 {
            self.amount.value / self.span.value
        } else {
            0.0
        }
    }
}

/// The value below which such a share of the values lies.
pub fn at_share(mut values: Vec<f64>, share: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get((values.len() as f64 * share) as usize).copied()
}
