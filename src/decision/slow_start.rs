//! Slow start: what a host can bear from its start until it is warm.
//!
//! From a known start, the least fraction of its capacity that a host surely has grows in a straight line to 1 within
//! `warm_up_time`. The fraction that it likely has is the square root of that. An overload makes a cold host
//! fail, so it is filled by the least and by the multiple of its capacity that overloads it.
use crate::interface::{ControllerConfig, Seconds};

/// Utilization up to which a host is given slices.
pub const MAX_UTILIZATION: f64 = 0.75;
/// Utilization, as a fraction of the one that overloads a cold host, up to which it is given slices.
pub const COLD_MAX_UTILIZATION_FRACTION: f64 = 0.3;
/// The same fraction, past which a cold host gives slices up. Between the two slices neither come nor go.
pub const COLD_OFFLOAD_UTILIZATION_FRACTION: f64 = 0.4;
/// Least time, in seconds, that a warm-up is taken to last.
const MIN_WARM_UP_TIME: Seconds = 1.0;

/// Utilization limits of a host.
#[derive(Clone, Copy)]
pub struct UtilizationLimits {
    /// Up to it the host is given slices.
    pub max_utilization: f64,
    /// Past it slices leave the host.
    pub offload_utilization: f64,
}

/// The fraction of its warm capacity that a host surely has.
pub fn least_capacity_fraction(
    now: Seconds,
    warming_since: Option<Seconds>,
    config: &ControllerConfig,
) -> f64 {
    let Some(since) = warming_since else { return 1.0 };
    let progress = (now - since).max(0.0) / config.warm_up_time.max(MIN_WARM_UP_TIME);
    (config.cold_capacity_fraction + (1.0 - config.cold_capacity_fraction) * progress).clamp(0.01, 1.0)
}

/// The fraction of its warm capacity that a host likely has.
pub fn likely_capacity_fraction(least: f64) -> f64 {
    least.sqrt()
}

/// The limits of a host that surely has this fraction of its capacity.
pub fn utilization_limits(least: f64, config: &ControllerConfig) -> UtilizationLimits {
    if least >= 1.0 {
        return UtilizationLimits { max_utilization: MAX_UTILIZATION, offload_utilization: f64::MAX };
    }
    // `overload_multiple` is of the least capacity, utilization of the likely one: least / sqrt(least) = sqrt(least).
    let overload_limit = config.overload_multiple * least.sqrt();
    UtilizationLimits {
        max_utilization: MAX_UTILIZATION.min(COLD_MAX_UTILIZATION_FRACTION * overload_limit),
        offload_utilization: COLD_OFFLOAD_UTILIZATION_FRACTION * overload_limit,
    }
}

/// Whether a host is warm by its listed start alone, whatever `warming_since` says.
pub fn started_long_ago(now: Seconds, started_at: Option<Seconds>, config: &ControllerConfig) -> bool {
    started_at.is_none_or(|at| now - at >= config.warm_up_time)
}
