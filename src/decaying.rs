//! Exponentially decaying sums and rates. The decay is computed when a sum is read or added to.
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
    /// Returns the sum at `now`. In `averaging_time` seconds an amount decays to 1/e of its value.
    pub fn read(&self, now: Seconds, averaging_time: Seconds) -> f64 {
        self.value * (-(now - self.updated_at).max(0.0) / averaging_time).exp()
    }

    /// Adds an amount that counts in full at `now`.
    pub fn add(&mut self, now: Seconds, amount: f64, averaging_time: Seconds) {
        *self = DecayingSum { value: self.read(now, averaging_time) + amount, updated_at: now };
    }
}

/// A rate computed from reports that arrive late, at irregular intervals, and cover time spans of different lengths.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    /// Decaying sum of the reported amounts.
    pub amount: DecayingSum,
    /// Decaying sum of the seconds that the reports cover.
    pub span: DecayingSum,
}

impl DecayingRate {
    /// Adds a report of `amount` that covers `span` seconds.
    pub fn add(&mut self, now: Seconds, amount: f64, span: Seconds, averaging_time: Seconds) {
        self.amount.add(now, amount, averaging_time);
        self.span.add(now, span, averaging_time);
    }

    /// The amount per second; 0 before the first report. It does not change without new reports, because both sums
    /// decay alike.
    pub fn per_second(&self) -> f64 {
        if self.span.value > 0.0 {
            self.amount.value / self.span.value
        } else {
            0.0
        }
    }

    /// Whether a report has been added.
    pub fn is_known(&self) -> bool {
        self.span.value > 0.0
    }
}

/// Returns the value below which `fraction` of the values lie, or `None` if there are no values.
pub fn quantile(mut values: Vec<f64>, fraction: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get((values.len() as f64 * fraction) as usize).copied()
}
