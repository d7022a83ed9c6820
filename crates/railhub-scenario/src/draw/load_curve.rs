//! The rate of operations over time.
use super::random::KEY_EXPONENT;
use crate::fault::{FaultKind, ScheduledFault};
use crate::scenario::Scenario;

/// Iterations by which the rate and the fraction of remembered keys, which depend on each other, converge. Both change
/// little after the first.
const RATE_ITERATIONS: usize = 4;
/// Samples per second of the load curve by which its peak is found.
const PEAK_SAMPLES_PER_SECOND: f64 = 4.0;
/// Factor by which the bound of the peak exceeds the highest sample.
const PEAK_MARGIN: f64 = 1.05;
/// Lower limit of the peak, as a multiple of the rate.
const MIN_PEAK: f64 = 0.01;

/// Operations per second that offer the scenario's load to the hosts. Slices are assumed to keep their owners, and
/// hosts to remember the keys that repeat at this rate. `mean_work` is the mean work of an operation, in core seconds.
pub(crate) fn offered_rate(scenario: &Scenario, capacity: f64, mean_work: f64, slice_sizes: &[f64]) -> f64 {
    let keys = 1..=scenario.keys_per_slice;
    let weights: Vec<f64> = keys.map(|key| (key as f64).powf(-KEY_EXPONENT)).collect();
    let total: f64 = weights.iter().sum();
    let mut rate = scenario.load * capacity / mean_work;
    for _ in 0..RATE_ITERATIONS {
        let remembered_in_slice = |size: &f64| -> f64 {
            let repeated =
                |weight: &f64| 1.0 - (-rate * size * weight / total * scenario.affinity_duration).exp();
            size * weights.iter().map(|weight| weight / total * repeated(weight)).sum::<f64>()
        };
        let remembered: f64 = slice_sizes.iter().map(remembered_in_slice).sum();
        rate = scenario.load * capacity / (mean_work * (1.0 - scenario.affinity_gain * remembered));
    }
    rate
}

/// The multiple of the offered rate at a time: the load shape times the growth of the traffic.
pub(crate) fn rate_multiple(scenario: &Scenario, at: f64) -> f64 {
    let growth = scenario.faults.iter().filter_map(|fault| traffic_growth(fault, at));
    shape_at(&scenario.load_shape, at) * growth.product::<f64>()
}

/// An upper bound of [`rate_multiple`] during the scenario.
pub(crate) fn peak_rate_multiple(scenario: &Scenario) -> f64 {
    let samples = (scenario.length * PEAK_SAMPLES_PER_SECOND) as usize + 1;
    let multiples =
        (0..=samples).map(|sample| rate_multiple(scenario, sample as f64 / PEAK_SAMPLES_PER_SECOND));
    multiples.fold(MIN_PEAK, f64::max) * PEAK_MARGIN
}

fn shape_at(shape: &[(f64, f64)], at: f64) -> f64 {
    let next = shape.iter().position(|point| point.0 > at).unwrap_or(shape.len());
    let previous_point = next.checked_sub(1).map(|previous| shape[previous]);
    match (previous_point, shape.get(next)) {
        (None, None) => 1.0,
        (Some((_, multiple)), None) => multiple,
        (None, Some((_, multiple))) => *multiple,
        (Some((start, from)), Some((end, to))) => from + (to - from) * (at - start) / (end - start),
    }
}

fn traffic_growth(fault: &ScheduledFault, at: f64) -> Option<f64> {
    match fault.kind {
        FaultKind::Growth { factor, traffic_ratio } => {
            Some(1.0 + (factor - 1.0) * traffic_ratio * fault.progress(at))
        }
        _ => None,
    }
}
