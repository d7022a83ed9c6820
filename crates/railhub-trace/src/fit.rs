//! Owns the fit of distributions to a trace: arrivals, popularity of keys, and work by class.
//!
//! The distance of a fit is that of Kolmogorov and Smirnov: the largest gap between the recorded and the fitted
//! distribution function. Parameters are estimated from the same values, so critical values are those of Lilliefors
//! (1967, 1969) and not of Kolmogorov.
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

/// The fits of a trace. The names of its fields are those of the JSON output.
#[derive(Clone, Debug, Serialize)]
pub struct TraceFit {
    /// `None` if there are too few single operations; the moments of aggregated ones are unknown.
    pub arrivals: Option<ArrivalFit>,
    /// `None` if too few keys are known.
    pub keys: Option<KeyPopularity>,
    /// The classes with enough values, in order of their index.
    pub work: Vec<WorkFit>,
}

/// Fits distributions to a trace.
pub fn fit(trace: &Trace) -> TraceFit {
    TraceFit { arrivals: arrivals::fit(trace), keys: popularity::fit(trace), work: work::fit(trace) }
}

#[cfg(test)]
mod tests;
