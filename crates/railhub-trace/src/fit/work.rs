//! Owns the fit of work by class.
use super::distribution::{candidates, mean, variance, Candidate, MIN_SAMPLES};
use crate::Trace;
use serde::Serialize;

/// The work of a class's operations.
#[derive(Clone, Debug, Serialize)]
pub struct WorkFit {
    /// Name of the class.
    pub class: String,
    /// Number of operations whose work is known and positive.
    pub values: usize,
    /// Core seconds.
    pub mean: f64,
    /// Standard deviation over the mean.
    pub spread: f64,
    /// Fitted distributions, the nearest first.
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
