//! What is measured over time: exponentially decaying sums, brought up to date when they are read or added to.
use crate::interface::Seconds;

/// A sum in which an amount counts for less the longer ago it was added.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    /// The sum as it was at `updated_at`.
    pub value: f64,
    /// When an amount was last added.
    pub updated_at: Seconds,
}

impl DecayingSum {
    /// The sum now. In `averaging_time` seconds an amount falls to 1/e of what it was.
    pub fn read(&self, now: Seconds, averaging_time: Seconds) -> f64 {
        self.value * (-(now - self.updated_at).max(0.0) / averaging_time).exp()
    }

    /// Adds an amount that counts in full now.
    pub fn add(&mut self, now: Seconds, amount: f64, averaging_time: Seconds) {
        *self = DecayingSum { value: self.read(now, averaging_time) + amount, updated_at: now };
    }
}

/// A rate over the time that reports cover, which come late, apart and not every second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    /// What the reports counted.
    pub amount: DecayingSum,
    /// Seconds that the reports cover.
    pub span: DecayingSum,
}

impl DecayingRate {
    /// Adds a report of an amount within a span of seconds.
    pub fn add(&mut self, now: Seconds, amount: f64, span: Seconds, averaging_time: Seconds) {
        self.amount.add(now, amount, averaging_time);
        self.span.add(now, span, averaging_time);
    }

    /// The amount a second; 0 before the first report. Without new reports it stays: both sums decay alike.
    pub fn per_second(&self) -> f64 {
        if self.span.value > 0.0 {
            self.amount.value / self.span.value
        } else {
            0.0
        }
    }

    /// A report has been added.
    pub fn is_known(&self) -> bool {
        self.span.value > 0.0
    }
}

/// The value below which the given fraction of the values lies; `None` of no values.
pub fn quantile(mut values: Vec<f64>, fraction: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get((values.len() as f64 * fraction) as usize).copied()
}
