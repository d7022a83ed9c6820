//! Means and intervals. Differences are paired by seed. Their interval is a percentile bootstrap of the mean, since
//! service has heavy tails: one overload in twenty scenarios can decide the mean.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Bootstrap resamples of an estimate.
const RESAMPLE_COUNT: usize = 2000;
/// Fraction of the resamples outside the interval on each side.
const TAIL_FRACTION: f64 = 0.025;

/// A mean with its 95 % interval.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Estimate {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    pub count: usize,
}

impl Estimate {
    pub fn half_width(&self) -> f64 {
        (self.high - self.low) / 2.0
    }
}

pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Estimates the mean with its 95 % interval; the same values and seed give the same result.
pub fn estimate(values: &[f64], seed: u64) -> Estimate {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = values.len();
    if count == 0 {
        return Estimate { mean: f64::NAN, low: f64::NAN, high: f64::NAN, count };
    }
    let resample = |_| (0..count).map(|_| values[rng.random_range(0..count)]).sum::<f64>() / count as f64;
    let mut means: Vec<f64> = (0..RESAMPLE_COUNT).map(resample).collect();
    means.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| means[((RESAMPLE_COUNT - 1) as f64 * fraction).round() as usize];
    // Resamples of few values vary less than the true distribution, so the interval is widened.
    let correction = (count as f64 / (count as f64 - 1.0).max(1.0)).sqrt();
    let center = mean(values);
    let low = center - (center - quantile(TAIL_FRACTION)) * correction;
    let high = center + (quantile(1.0 - TAIL_FRACTION) - center) * correction;
    Estimate { mean: center, low, high, count }
}

/// Comparison of an arm with the first arm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    Better,
    Worse,
    NoDifferenceWorthHaving,
    NotKnownYet,
    /// The arm breaks rules and the first does not: the arm loses, whatever its service.
    BreaksRules,
    /// The first arm breaks rules and the arm does not: the arm wins, whatever its service.
    FirstBreaksRules,
    /// Neither arm is to be used.
    BothBreakRules,
    CannotBeRun,
}

/// What the interval of a difference shows.
pub fn verdict(difference: &Estimate, min_relevant_difference: f64) -> Verdict {
    if difference.low > min_relevant_difference {
        Verdict::Better
    } else if difference.high < -min_relevant_difference {
        Verdict::Worse
    } else if difference.low >= -min_relevant_difference && difference.high <= min_relevant_difference {
        Verdict::NoDifferenceWorthHaving
    } else if difference.low > 0.0 {
        Verdict::Better
    } else if difference.high < 0.0 {
        Verdict::Worse
    } else {
        Verdict::NotKnownYet
    }
}

#[cfg(test)]
mod tests;
