//! Slow start: how much load a host can serve from its start until it is warm.
//!
//! From a known start, the least fraction of its capacity that a host is certain to have grows linearly to 1 within
//! `warm_up_time`. The fraction that it likely has is the square root of the least fraction. A cold host fails when it
//! is overloaded, so its limits are computed from the least fraction and from the multiple of its capacity that
//! overloads it.
use crate::interface::{ControllerConfig, Seconds};

/// Utilization up to which a host is given slices.
pub const MAX_UTILIZATION: f64 = 0.75;
/// Utilization up to which a cold host is given slices, as a fraction of the utilization that overloads it.
pub const COLD_MAX_UTILIZATION_FRACTION: f64 = 0.3;
/// Utilization above which a cold host gives up slices, as a fraction of the utilization that overloads it. Between the
/// two limits slices are neither added nor removed.
pub const COLD_OFFLOAD_UTILIZATION_FRACTION: f64 = 0.4;
/// Least duration of a warm-up, in seconds.
const MIN_WARM_UP_TIME: Seconds = 1.0;

/// Utilization limits of a host.
#[derive(Clone, Copy)]
pub struct UtilizationLimits {
    /// Utilization up to which the host is given slices.
    pub max_utilization: f64,
    /// Utilization above which slices leave the host.
    pub offload_utilization: f64,
}

/// The fraction of its warm capacity that a host is certain to have.
pub fn least_capacity_fraction(
    now: Seconds,
    warming_since: Option<Seconds>,
    config: &ControllerConfig,
) -> f64 {
    let Some(since) = warming_since else { return 1.0 };
    let progress = (now - since).max(0.0) / config.warm_up_time.max(MIN_WARM_UP_TIME);
    (config.cold_capacity_fraction + (1.0 - config.cold_capacity_fraction) * progress).clamp(0.01, 1.0)
}

/// The fraction of its warm capacity that a host likely has. `least` is the fraction that it is certain to have.
pub fn likely_capacity_fraction(least: f64) -> f64 {
    least.sqrt()
}

/// The limits of a host. `least` is the fraction of its capacity that it is certain to have.
pub fn utilization_limits(least: f64, config: &ControllerConfig) -> UtilizationLimits {
    if least >= 1.0 {
        return UtilizationLimits { max_utilization: MAX_UTILIZATION, offload_utilization: f64::MAX };
    }
    // `overload_multiple` refers to the least capacity and utilization to the likely one, so the multiple is scaled by
    // least / sqrt(least) = sqrt(least).
    let overload_limit = config.overload_multiple * least.sqrt();
    UtilizationLimits {
        max_utilization: MAX_UTILIZATION.min(COLD_MAX_UTILIZATION_FRACTION * overload_limit),
        offload_utilization: COLD_OFFLOAD_UTILIZATION_FRACTION * overload_limit,
    }
}

/// Whether a host is warm judging by its listed start only, regardless of `warming_since`.
pub fn started_long_ago(now: Seconds, started_at: Option<Seconds>, config: &ControllerConfig) -> bool {
    started_at.is_none_or(|at| now - at >= config.warm_up_time)
}
