//! Fit of the work of operations, by class.
use super::distribution::{candidates, mean, variance, Candidate, MIN_SAMPLES};
use crate::Trace;
use serde::Serialize;

/// The work of the operations of one class.
#[derive(Clone, Debug, Serialize)]
pub struct WorkFit {
    /// Name of the class.
    pub class: String,
    /// Number of operations whose work is known and positive.
    pub values: usize,
    /// Mean work in core seconds.
    pub mean: f64,
    /// Coefficient of variation: standard deviation over mean.
    pub spread: f64,
    /// Fitted distributions, by increasing distance.
    pub candidates: Vec<Candidate>,
}

pub(super) fn fit(trace: &Trace) -> Vec<WorkFit> {
    let mut fits = Vec::new();
    for (class, name) in trace.header.classes.iter().enumerate() {
        let rows = trace.rows.iter().filter(|row| row.class as usize == class);
        let values = rows.filter_map(|row| row.work).filter(|work| *work > 0.0).collect();
        fits.extend(fit_class(name, values));
    }
    fits
}

fn fit_class(class: &str, values: Vec<f64>) -> Option<WorkFit> {
    if values.len() < MIN_SAMPLES {
        return None;
    }
    let mean = mean(&values);
    Some(WorkFit {
        class: class.to_owned(),
        values: values.len(),
        mean,
        spread: variance(&values).sqrt() / mean,
        candidates: candidates(values),
    })
}
