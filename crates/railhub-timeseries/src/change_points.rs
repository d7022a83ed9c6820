//! Segmentation of a series into segments of constant mean.
//!
//! Bayesian online change point detection (Adams and MacKay 2007; normal values of unknown mean and variance) proposes
//! the boundaries. Each boundary is then moved to the step that separates its two sides best, and neighbouring segments
//! whose means are too close are merged.
use changepoint::rv::prelude::NormalGamma;
use changepoint::utils::map_changepoints;
use changepoint::{BocpdLike, BocpdTruncated};

/// Mean number of steps of a segment in the detector's prior.
const EXPECTED_SEGMENT_STEPS: f64 = 40.0;
/// Difference of means below which segments are merged: service is reported with two decimals, so that smaller changes
/// do not matter.
const MIN_MEAN_DIFFERENCE: f64 = 0.02;
/// Number of standard errors by which the means of two segments must differ; below it they are merged.
const MIN_STANDARD_ERRORS: f64 = 3.0;
/// Lower bound of the standard deviation, which is a divisor: constant values have none.
const MIN_SPREAD: f64 = 1e-3;
/// Ratio of the standard deviation of normal values to the median absolute difference of neighbouring values.
const DEVIATION_PER_MEDIAN_DIFFERENCE: f64 = 1.0 / (0.6745 * std::f64::consts::SQRT_2);

/// Consecutive steps with a constant mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Segment {
    /// First step of the segment.
    pub start: usize,
    /// The step after the last one of the segment.
    pub end: usize,
    /// Mean of the values in the segment.
    pub mean: f64,
}

impl Segment {
    fn new(start: usize, end: usize, values: &[f64]) -> Segment {
        Segment { start, end, mean: mean(&values[start..end]) }
    }

    fn steps(&self) -> usize {
        self.end - self.start
    }
}

/// The segments of a series, in order; one if the mean never changes, none if the series is empty.
pub fn segments(values: &[f64]) -> Vec<Segment> {
    match values {
        [] => Vec::new(),
        [value] => vec![Segment { start: 0, end: 1, mean: *value }],
        _ => {
            let spread = spread(values);
            let boundaries = refine_boundaries(&detect_boundaries(values, spread), values);
            merge_segments(boundaries, values, spread)
        }
    }
}

/// The first step of each segment that the detector finds, followed by the end of the series.
fn detect_boundaries(values: &[f64], spread: f64) -> Vec<usize> {
    let center = median(values.to_vec());
    let prior = NormalGamma::new_unchecked(0.0, 0.1, 1.0, 1.0);
    let mut detector = BocpdTruncated::new(EXPECTED_SEGMENT_STEPS, prior);
    let mut run_lengths: Vec<Vec<f64>> = Vec::with_capacity(values.len());
    for value in values {
        run_lengths.push(detector.step(&((value - center) / spread)).to_vec());
    }
    let mut boundaries = map_changepoints(&run_lengths);
    boundaries.retain(|step| *step < values.len());
    boundaries.extend([0, values.len()]);
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Standard deviation within segments, estimated from the differences of neighbouring values so that changes of the
/// mean do not raise it.
fn spread(values: &[f64]) -> f64 {
    let differences = values.windows(2).map(|pair| (pair[1] - pair[0]).abs()).collect();
    (median(differences) * DEVIATION_PER_MEDIAN_DIFFERENCE).max(MIN_SPREAD)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Moves each inner boundary to the step that separates its two sides best, because the detector finds a change some
/// steps late.
fn refine_boundaries(detected: &[usize], values: &[f64]) -> Vec<usize> {
    let mut refined = detected.to_vec();
    for index in 1..detected.len().saturating_sub(1) {
        let (start, end) = (refined[index - 1], detected[index + 1]);
        let separation_at = |step: usize| separation(&values[start..step], &values[step..end]);
        let best = (start + 1..end).max_by(|a, b| separation_at(*a).total_cmp(&separation_at(*b)));
        refined[index] = best.unwrap_or(detected[index]);
    }
    refined.dedup();
    refined
}

/// Sum of squares between the values left and right of a boundary.
fn separation(left: &[f64], right: &[f64]) -> f64 {
    let weight = (left.len() * right.len()) as f64 / (left.len() + right.len()) as f64;
    weight * (mean(left) - mean(right)).powi(2)
}

/// Merges the two neighbouring segments that differ least, until all neighbours differ enough.
fn merge_segments(mut boundaries: Vec<usize>, values: &[f64], spread: f64) -> Vec<Segment> {
    loop {
        let segments: Vec<Segment> =
            boundaries.windows(2).map(|pair| Segment::new(pair[0], pair[1], values)).collect();
        let differences = segments.windows(2).map(|pair| relative_difference(&pair[0], &pair[1], spread));
        let smallest = differences.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
        match smallest {
            Some((index, difference)) if difference < 1.0 => _ = boundaries.remove(index + 1),
            _ => return segments,
        }
    }
}

/// Difference of two means divided by the smallest difference for which the segments stay separate.
fn relative_difference(a: &Segment, b: &Segment, spread: f64) -> f64 {
    let shorter = a.steps().min(b.steps()) as f64;
    (a.mean - b.mean).abs() / MIN_MEAN_DIFFERENCE.max(MIN_STANDARD_ERRORS * spread / shorter.sqrt())
}

#[cfg(test)]
mod tests;
