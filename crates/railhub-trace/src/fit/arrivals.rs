//! Fit of arrivals: rates, burstiness, and the gaps between operations.
use super::distribution::{candidates, mean, variance, Candidate, MIN_SAMPLES};
use crate::Trace;
use serde::Serialize;

/// Length of the windows in which operations are counted to measure bursts.
const BURST_WINDOW_SECONDS: f64 = 0.1;
/// Length of the windows in which the arrival rate is assumed to be constant.
const RATE_WINDOW_SECONDS: f64 = 5.0;
/// Lower bound of the last window's length, which is a divisor.
const MIN_WINDOW_SECONDS: f64 = 1e-6;

/// Arrivals of single operations; aggregates are left out.
#[derive(Clone, Debug, Serialize)]
pub struct ArrivalFit {
    /// Operations per second in windows of 5 s; the last window also holds a remainder shorter than half a window.
    pub rates: Vec<f64>,
    /// Index of dispersion: variance over mean of the counts per 0.1 s; 1 for a Poisson process.
    pub dispersion: f64,
    /// Distributions of the gaps between operations, in units of the mean gap of their 5 s window, by increasing
    /// distance.
    pub gaps: Vec<Candidate>,
}

pub(super) fn fit(trace: &Trace) -> Option<ArrivalFit> {
    let single = trace.rows.iter().filter(|row| row.span == 0.0);
    let times: Vec<f64> = single.map(|row| row.at).collect();
    if times.len() < MIN_SAMPLES {
        return None;
    }
    let length = trace.header.length.max(*times.last()?);
    let rates = rates(&times, length);
    let gaps = candidates(normalized_gaps(&times, &rates));
    Some(ArrivalFit { dispersion: dispersion(&times, length), rates, gaps })
}

fn rate_window(at: f64) -> usize {
    (at / RATE_WINDOW_SECONDS) as usize
}

/// Operations per second in each window. A remainder shorter than half a window is added to the last window, because a
/// rate over a very short time would be arbitrary.
fn rates(times: &[f64], length: f64) -> Vec<f64> {
    let windows = (length / RATE_WINDOW_SECONDS).round().max(1.0) as usize;
    let last = windows - 1;
    let mut counts = vec![0.0; windows];
    for at in times {
        counts[rate_window(*at).min(last)] += 1.0;
    }
    let last_window_seconds = (length - last as f64 * RATE_WINDOW_SECONDS).max(MIN_WINDOW_SECONDS);
    let seconds = |window: usize| if window == last { last_window_seconds } else { RATE_WINDOW_SECONDS };
    counts.iter().enumerate().map(|(window, count)| count / seconds(window)).collect()
}

/// Index of dispersion of the counts per burst window, averaged over the complete rate windows.
fn dispersion(times: &[f64], length: f64) -> f64 {
    let mut ratios = Vec::new();
    for block in times.chunk_by(|left, right| rate_window(*left) == rate_window(*right)) {
        let window = rate_window(block[0]);
        let end = (window + 1) as f64 * RATE_WINDOW_SECONDS;
        if end <= length + BURST_WINDOW_SECONDS {
            let counts = burst_counts(block, window as f64 * RATE_WINDOW_SECONDS);
            ratios.push(variance(&counts) / mean(&counts));
        }
    }
    mean(&ratios)
}

/// Number of operations in each burst window of the rate window that begins at `begin` seconds.
fn burst_counts(times: &[f64], begin: f64) -> Vec<f64> {
    let mut counts = vec![0.0; (RATE_WINDOW_SECONDS / BURST_WINDOW_SECONDS) as usize];
    let last = counts.len() - 1;
    for at in times {
        let window = ((at - begin) / BURST_WINDOW_SECONDS) as usize;
        counts[window.min(last)] += 1.0;
    }
    counts
}

/// Gaps between operations, in units of the mean gap of the rate window in which the gap begins.
fn normalized_gaps(times: &[f64], rates: &[f64]) -> Vec<f64> {
    let last = rates.len() - 1;
    let gap = |pair: &[f64]| (pair[1] - pair[0]) * rates[rate_window(pair[0]).min(last)];
    times.windows(2).map(gap).collect()
}
