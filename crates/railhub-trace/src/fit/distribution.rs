//! Fitting of distributions to positive values; mean and variance.
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, Exp, Gamma, LogNormal};

/// Minimum number of values that a distribution is fitted to.
pub(super) const MIN_SAMPLES: usize = 30;
/// Critical value, at the 5 % level, of the distance times the square root of the number of values: exponential
/// distribution.
const EXPONENTIAL_CRITICAL_VALUE: f64 = 1.06;
/// The same critical value for the other distributions.
pub(super) const DEFAULT_CRITICAL_VALUE: f64 = 0.886;
/// Lower bound of a standard deviation, and of a difference of logarithms, that is used as a divisor.
const MIN_DIVISOR: f64 = 1e-9;

/// A fitted distribution and its distance from the recorded values.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Candidate {
    /// Name of the distribution.
    pub name: &'static str,
    /// Names and values of the fitted parameters.
    pub parameters: Vec<(&'static str, f64)>,
    /// Largest difference between the recorded and the fitted distribution function.
    pub distance: f64,
    /// Largest distance that is accepted: the critical value at the 5 % level.
    pub allowed: f64,
    /// Whether `distance` is at most `allowed`.
    pub fits: bool,
}

pub(super) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

pub(super) fn variance(values: &[f64]) -> f64 {
    let mean_value = mean(values);
    let squares: Vec<f64> = values.iter().map(|value| (value - mean_value).powi(2)).collect();
    mean(&squares)
}

/// Fits each distribution to the positive values, by increasing distance; empty if there are too few values.
pub(super) fn candidates(mut values: Vec<f64>) -> Vec<Candidate> {
    values.retain(|value| *value > 0.0);
    if values.len() < MIN_SAMPLES {
        return Vec::new();
    }
    values.sort_by(f64::total_cmp);
    let mean_value = mean(&values);
    let logs: Vec<f64> = values.iter().map(|value| value.ln()).collect();
    let log_mean = mean(&logs);
    let log_spread = variance(&logs).sqrt().max(MIN_DIVISOR);
    let shape = gamma_shape(mean_value.ln() - log_mean);
    let fits = [
        exponential(&values, mean_value),
        log_normal(&values, log_mean, log_spread),
        gamma(&values, shape, mean_value),
    ];
    let mut fits: Vec<Candidate> = fits.into_iter().flatten().collect();
    fits.sort_by(|left, right| left.distance.total_cmp(&right.distance));
    fits
}

fn exponential(sorted: &[f64], mean: f64) -> Option<Candidate> {
    let distribution = Exp::new(1.0 / mean).ok()?;
    let distance = distance(sorted, &distribution);
    Some(candidate("exponential", vec![("mean", mean)], distance, EXPONENTIAL_CRITICAL_VALUE, sorted.len()))
}

fn log_normal(sorted: &[f64], log_mean: f64, log_spread: f64) -> Option<Candidate> {
    let distribution = LogNormal::new(log_mean, log_spread).ok()?;
    let distance = distance(sorted, &distribution);
    let parameters = vec![("log_mean", log_mean), ("log_spread", log_spread)];
    Some(candidate("log-normal", parameters, distance, DEFAULT_CRITICAL_VALUE, sorted.len()))
}

fn gamma(sorted: &[f64], shape: f64, mean: f64) -> Option<Candidate> {
    let distribution = Gamma::new(shape, shape / mean).ok()?;
    let distance = distance(sorted, &distribution);
    let parameters = vec![("shape", shape), ("mean", mean)];
    Some(candidate("gamma", parameters, distance, DEFAULT_CRITICAL_VALUE, sorted.len()))
}

fn candidate(
    name: &'static str,
    parameters: Vec<(&'static str, f64)>,
    distance: f64,
    critical_value: f64,
    samples: usize,
) -> Candidate {
    let allowed = critical_value / (samples as f64).sqrt();
    Candidate { name, parameters, distance, allowed, fits: distance <= allowed }
}

/// Maximum-likelihood estimate of the gamma shape. `log_difference` is the logarithm of the mean minus the mean of the
/// logarithms (Minka 2002, first approximation, within 1.5 %).
fn gamma_shape(log_difference: f64) -> f64 {
    let difference = log_difference.max(MIN_DIVISOR);
    let root = ((difference - 3.0).powi(2) + 24.0 * difference).sqrt();
    ((3.0 - difference) + root) / (12.0 * difference)
}

/// Kolmogorov-Smirnov distance of sorted values from a distribution.
fn distance(sorted: &[f64], distribution: &impl ContinuousCDF<f64, f64>) -> f64 {
    let count = sorted.len() as f64;
    let mut largest: f64 = 0.0;
    for (index, value) in sorted.iter().enumerate() {
        let fitted = distribution.cdf(*value);
        let below = (fitted - index as f64 / count).abs();
        let above = ((index + 1) as f64 / count - fitted).abs();
        largest = largest.max(below.max(above));
    }
    largest
}
