//! Owns the fit of distributions to a trace: arrivals, popularity of keys, and work by class.
//!
//! The distance of a fit is that of Kolmogorov and Smirnov: the largest gap between the recorded and the fitted
//! distribution function. Parameters are estimated from the same values, so critical values are those of Lilliefors
//! (1967, 1969) and not of Kolmogorov.
mod arrivals;
mod distribution;
mod popularity;
mod work;

pub use arrivals::Arrivals;
pub use distribution::Candidate;
pub use popularity::Keys;
pub use work::Work;

use crate::Trace;
use serde::Serialize;

/// The fits of a trace. The names of its fields are those of the JSON output.
#[derive(Clone, Debug, Serialize)]
pub struct Fitted {
    /// `None` if there are too few single operations; the moments of aggregated ones are unknown.
    pub arrivals: Option<Arrivals>,
    /// `None` if too few keys are known.
    pub keys: Option<Keys>,
    /// The classes with enough values, in order of their index.
    pub work: Vec<Work>,
}

/// Fits distributions to a trace.
pub fn fit(trace: &Trace) -> Fitted {
    Fitted { arrivals: arrivals::fit(trace), keys: popularity::fit(trace), work: work::fit(trace) }
}

#[cfg(test)]
mod tests;
