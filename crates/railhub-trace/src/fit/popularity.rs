//! Fit of the popularity of keys: a power law of the rank, except for a few hot keys.
use super::distribution::{DEFAULT_CRITICAL_VALUE, MIN_SAMPLES};
use crate::Trace;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Upper bound of the fitted exponent.
const MAX_EXPONENT: f64 = 3.0;
/// Precision of the fitted exponent.
const EXPONENT_TOLERANCE: f64 = 1e-4;
/// Multiple of the curve's value above which a key may be an outlier.
const OUTLIER_MULTIPLE: f64 = 2.0;
/// Minimum fraction of all operations that are for an outlier.
const MIN_OUTLIER_FRACTION: f64 = 0.01;
/// Number of top ranks, plus 1, among which outliers are searched for.
const MAX_OUTLIER_RANKS: usize = 64;

/// The popularity of keys: a power law, and the outliers above it.
#[derive(Clone, Debug, Serialize)]
pub struct KeyPopularity {
    /// Number of distinct keys.
    pub keys: usize,
    /// A key's fraction of the operations is proportional to `rank^-exponent`.
    pub exponent: f64,
    /// Largest difference between the recorded and the fitted distribution function of the rank.
    pub distance: f64,
    /// Largest distance that is accepted: the critical value at the 5 % level.
    pub allowed: f64,
    /// Whether `distance` is at most `allowed`.
    pub fits: bool,
    /// Keys far above the curve, with their fractions of all operations.
    #[serde(rename = "off_the_curve")]
    pub outliers: Vec<(u64, f64)>,
}

struct RankedKey {
    key: u64,
    count: u64,
}

pub(super) fn fit(trace: &Trace) -> Option<KeyPopularity> {
    let ranked = rank_keys(trace);
    let operations: u64 = ranked.iter().map(|ranked| ranked.count).sum();
    if ranked.len() < 2 || (operations as usize) < MIN_SAMPLES {
        return None;
    }
    let (outliers, on_curve) = ranked.split_at(count_outliers(&ranked, operations));
    let counts = counts(on_curve);
    let exponent = exponent(&counts);
    let distance = curve_distance(&counts, exponent);
    let allowed = DEFAULT_CRITICAL_VALUE / (counts.iter().sum::<u64>() as f64).sqrt();
    let fraction = |hot: &RankedKey| (hot.key, hot.count as f64 / operations as f64);
    Some(KeyPopularity {
        keys: ranked.len(),
        exponent,
        distance,
        allowed,
        fits: distance <= allowed,
        outliers: outliers.iter().map(fraction).collect(),
    })
}

/// Keys by decreasing count; of equal counts, the smaller key first.
fn rank_keys(trace: &Trace) -> Vec<RankedKey> {
    let mut counts: BTreeMap<u64, u64> = BTreeMap::new();
    for row in &trace.rows {
        if let Some(key) = row.key {
            *counts.entry(key).or_default() += u64::from(row.count);
        }
    }
    let mut ranked: Vec<RankedKey> =
        counts.into_iter().map(|(key, count)| RankedKey { key, count }).collect();
    ranked.sort_by_key(|ranked| (Reverse(ranked.count), ranked.key));
    ranked
}

fn counts(ranked: &[RankedKey]) -> Vec<u64> {
    ranked.iter().map(|ranked| ranked.count).collect()
}

/// Number of top ranks that are far above the curve fitted to the ranks after them.
fn count_outliers(ranked: &[RankedKey], operations: u64) -> usize {
    let end = ranked.len().min(MAX_OUTLIER_RANKS) - 1;
    let last = (0..end).rev().find(|rank| is_outlier(ranked, *rank, operations));
    last.map_or(0, |rank| rank + 1)
}

fn is_outlier(ranked: &[RankedKey], rank: usize, operations: u64) -> bool {
    let rest = counts(&ranked[rank + 1..]);
    let curve = rest[0] as f64 * 2f64.powf(exponent(&rest));
    let count = ranked[rank].count as f64;
    count > OUTLIER_MULTIPLE * curve && count > MIN_OUTLIER_FRACTION * operations as f64
}

/// Maximum-likelihood estimate of the exponent from counts by rank. Ternary search is enough: the likelihood has one
/// maximum.
fn exponent(counts: &[u64]) -> f64 {
    let total: f64 = counts.iter().map(|count| *count as f64).sum();
    let logs: Vec<f64> = (1..=counts.len()).map(|rank| (rank as f64).ln()).collect();
    let weighted: f64 = counts.iter().zip(&logs).map(|(count, log)| *count as f64 * log).sum();
    let likelihood = |exponent: f64| {
        let norm: f64 = logs.iter().map(|log| (-exponent * log).exp()).sum();
        -exponent * weighted - total * norm.ln()
    };
    let mut low = 0.0;
    let mut high = MAX_EXPONENT;
    while high - low > EXPONENT_TOLERANCE {
        let third = (high - low) / 3.0;
        if likelihood(low + third) < likelihood(high - third) {
            low += third;
        } else {
            high -= third;
        }
    }
    (low + high) / 2.0
}

/// Largest difference between the recorded and the fitted distribution function of the rank.
fn curve_distance(counts: &[u64], exponent: f64) -> f64 {
    let weights: Vec<f64> = (1..=counts.len()).map(|rank| (rank as f64).powf(-exponent)).collect();
    let total = counts.iter().sum::<u64>() as f64;
    let norm = weights.iter().sum::<f64>();
    let mut recorded = 0.0;
    let mut fitted = 0.0;
    let mut largest: f64 = 0.0;
    for (count, weight) in counts.iter().zip(&weights) {
        recorded += *count as f64 / total;
        fitted += weight / norm;
        largest = largest.max((recorded - fitted).abs());
    }
    largest
}
