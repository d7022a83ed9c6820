//! Means and intervals. A difference is taken seed by seed; its interval by a percentile bootstrap of the
//! mean, since service has heavy tails: one jam in twenty days decides.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Resamples, and the share of them that the interval leaves out on each side.
const RESAMPLES: usize = 2000;
const LEFT_OUT: f64 = 0.025;

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

/// The mean with its 95 % interval; the same for the same values.
pub fn estimate(values: &[f64], seed: u64) -> Estimate {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let count = values.len();
    if count == 0 {
        return Estimate { mean: f64::NAN, low: f64::NAN, high: f64::NAN, count };
    }
    let resample = |_| (0..count).map(|_| values[chance.random_range(0..count)]).sum::<f64>() / count as f64;
    let mut means: Vec<f64> = (0..RESAMPLES).map(resample).collect();
    means.sort_by(f64::total_cmp);
    let at = |share: f64| means[((RESAMPLES - 1) as f64 * share).round() as usize];
    // Few values vary less when drawn again than the truth does: the interval is widened accordingly.
    let wider = (count as f64 / (count as f64 - 1.0).max(1.0)).sqrt();
    let middle = mean(values);
    let low = middle - (middle - at(LEFT_OUT)) * wider;
    let high = middle + (at(1.0 - LEFT_OUT) - middle) * wider;
    Estimate { mean: middle, low, high, count }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    Better,
    Worse,
    NoDifferenceWorthHaving,
    NotKnownYet,
    /// It breaks rules, the first arm does not: it loses, whatever its service.
    BreaksRules,
    /// The first arm breaks rules, it does not: it wins, whatever its service.
    FirstBreaksRules,
    /// Neither is to be used.
    BothBreakRules,
    CannotBeRun,
}

/// What is known of a difference.
pub fn verdict(difference: &Estimate, worth_having: f64) -> Verdict {
    if difference.low > worth_having {
        Verdict::Better
    } else if difference.high < -worth_having {
        Verdict::Worse
    } else if difference.low >= -worth_having && difference.high <= worth_having {
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
