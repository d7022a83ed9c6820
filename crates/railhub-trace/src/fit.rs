//! Fitting of distributions to a trace: arrivals, popularity of keys, and work per class.
//!
//! The distance of a fit is the Kolmogorov-Smirnov statistic: the largest difference between the recorded and the
//! fitted distribution function. The parameters are estimated from the same values, therefore the critical values are
//! those of Lilliefors (1967, 1969) instead of Kolmogorov's.
mod arrivals;
mod distribution;
mod popularity;
mod work;

pub use arrivals::ArrivalFit;
pub use distribution::Candidate;
pub use popularity::KeyPopularity;
pub use work::WorkFit;

use crate::Trace;
use serde::Serialize;

/// The distributions fitted to a trace. The field names, or their `serde` names, are those of the JSON output.
#[derive(Clone, Debug, Serialize)]
pub struct TraceFit {
    /// `None` if there are too few single operations; the arrival times of aggregated operations are unknown.
    pub arrivals: Option<ArrivalFit>,
    /// `None` if there are too few operations with a known key.
    pub keys: Option<KeyPopularity>,
    /// One fit for each class with enough known values, ordered by class index.
    pub work: Vec<WorkFit>,
}

/// Fits distributions to a trace.
pub fn fit(trace: &Trace) -> TraceFit {
    TraceFit { arrivals: arrivals::fit(trace), keys: popularity::fit(trace), work: work::fit(trace) }
}

#[cfg(test)]
mod tests;
