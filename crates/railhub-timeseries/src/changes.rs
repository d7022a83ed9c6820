//! When a line of figures changed its level.
//!
//! The library looks second by second how long the present level has stood (Adams and MacKay 2007: online Bayesian
//! change points, normal values of unknown mean and spread). What it finds is then held against a plain question:
//! are the levels on both sides far enough apart to be worth a word? Those that are not are joined again.
use changepoint::rv::prelude::NormalGamma;
use changepoint::utils::map_changepoints;
use changepoint::{BocpdLike, BocpdTruncated};
use serde::Serialize;

/// Steps a level stands, in mean: troubles of a day come tens of seconds apart.
const STANDS: f64 = 40.0;
/// Levels closer than this are one; service is read to two digits.
const WORTH_A_WORD: f64 = 0.02;
/// Times the usual spread of a step that levels must differ by, for the mean of this many steps.
const CLEAR: f64 = 3.0;
/// Spread of values that never vary, so that they can be divided by it.
const LEAST_SPREAD: f64 = 1e-3;
/// Of normal values: the spread over the median distance of two neighbours.
const SPREAD_OF_DIFFERENCES: f64 = 1.0 / (0.6745 * std::f64::consts::SQRT_2);

/// A stretch of steps on one level.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct Level {
    pub from: usize,
    /// The step after its last.
    pub until: usize,
    pub mean: f64,
}

/// The levels of a line, one after the other; the whole line if nothing changed.
pub fn levels(values: &[f64]) -> Vec<Level> {
    if values.len() < 2 {
        return values.first().map(|value| Level { from: 0, until: 1, mean: *value }).into_iter().collect();
    }
    let spread = usual_spread(values);
    let middle = median(values.to_vec());
    let mut seen = BocpdTruncated::new(STANDS, NormalGamma::new_unchecked(0.0, 0.1, 1.0, 1.0));
    let lengths: Vec<Vec<f64>> =
        values.iter().map(|value| seen.step(&((value - middle) / spread)).to_vec()).collect();
    let mut edges: Vec<usize> =
        map_changepoints(&lengths).into_iter().filter(|n| *n < values.len()).collect();
    edges.extend([0, values.len()]);
    edges.sort_unstable();
    edges.dedup();
    let edges = settled(edges, values);
    joined(edges, values, spread)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// How much a step differs from the next where nothing happens: a change of level does not raise it.
fn usual_spread(values: &[f64]) -> f64 {
    let apart = values.windows(2).map(|two| (two[1] - two[0]).abs()).collect();
    (median(apart) * SPREAD_OF_DIFFERENCES).max(LEAST_SPREAD)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Each inner edge at the step that parts its two sides best: the library sees a change some steps late.
fn settled(edges: Vec<usize>, values: &[f64]) -> Vec<usize> {
    let mut out = edges.clone();
    for n in 1..edges.len().saturating_sub(1) {
        let (from, until) = (out[n - 1], edges[n + 1]);
        let apart = |edge: &usize| {
            let (left, right) = (&values[from..*edge], &values[*edge..until]);
            let weight = (left.len() * right.len()) as f64 / (left.len() + right.len()) as f64;
            weight * (mean(left) - mean(right)).powi(2)
        };
        let best = (from + 1..until).max_by(|a, b| apart(a).total_cmp(&apart(b)));
        out[n] = best.unwrap_or(edges[n]);
    }
    out.dedup();
    out
}

/// Joins the two neighbours that differ least, until all differ enough.
fn joined(mut edges: Vec<usize>, values: &[f64], spread: f64) -> Vec<Level> {
    let level = |from: usize, until: usize| Level { from, until, mean: mean(&values[from..until]) };
    loop {
        let levels: Vec<Level> = edges.windows(2).map(|two| level(two[0], two[1])).collect();
        // How far apart, in units of what would be enough.
        let apart = |a: &Level, b: &Level| {
            let shorter = (a.until - a.from).min(b.until - b.from) as f64;
            (a.mean - b.mean).abs() / WORTH_A_WORD.max(CLEAR * spread / shorter.sqrt())
        };
        let pairs = levels.windows(2).map(|two| apart(&two[0], &two[1]));
        let least = pairs.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
        match least {
            Some((n, apart)) if apart < 1.0 => _ = edges.remove(n + 1),
            _ => return levels,
        }
    }
}

#[cfg(test)]
mod tests;
