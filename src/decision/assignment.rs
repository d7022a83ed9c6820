//! Assignments: slices that this controller is assigned and loses, and what one controller hands to the next.
//!
//! A slice comes with its stored table and without a load report. Until its first report, for `UNREPORTED_TIMEOUT` at
//! most, its rate is estimated: by the handoff of the controller that had it, or else as the mean of the slices that
//! are reported. Without that its owner would seem idle, and be given more than it can bear.
use super::host::Host;
use super::slice::{Slice, Slices};
use crate::decaying::DecayingRate;
use crate::interface::{HostId, Seconds, SliceAssignment, SliceHandoff};
use std::collections::BTreeMap;

/// Seconds for which a slice that no report covers is taken to have its estimated rate.
pub const UNREPORTED_TIMEOUT: Seconds = 4.0;

/// Applies an assignment. `estimated_rate`: of the slice, in operations a second. Changes `slices`, and in `hosts` only
/// what makes a host trusted: one that a stored table names has served, and needs no health check first.
pub fn apply_assignment(
    now: Seconds,
    assignment: &SliceAssignment,
    estimated_rate: f64,
    classes: usize,
    hosts: &mut BTreeMap<HostId, Host>,
    slices: &mut Slices,
) {
    slices.remove(&assignment.slice());
    let SliceAssignment::Assigned { slice, entries } = assignment else { return };
    for entry in entries {
        if let Some(host) = hosts.get_mut(&entry.host).filter(|host| host.last_success_at == 0.0) {
            host.is_down = false;
            host.last_success_at = now;
        }
    }
    let stored = Slice::from_stored(now, entries.clone(), classes);
    slices.insert(*slice, Slice { estimated_rate, ..stored });
}

/// What the next controller of a slice gets to know.
pub fn handoff(now: Seconds, slice: &Slice, admission_rates: &[f64]) -> SliceHandoff {
    SliceHandoff {
        rate: slice.admitted_rate(admission_rates),
        pinned_for: (slice.pinned_until - now).max(0.0),
        preferred_host: slice.preferred_host,
    }
}

/// Applies a handoff that is `age` seconds old, unless that is too old or the slice is reported already.
pub fn apply_handoff(now: Seconds, slice: &mut Slice, handoff: &SliceHandoff, age: Seconds) {
    if age > UNREPORTED_TIMEOUT || slice.is_reported() {
        return;
    }
    slice.estimated_rate = handoff.rate;
    slice.pinned_until = now + (handoff.pinned_for - age).max(0.0);
    slice.preferred_host = handoff.preferred_host;
}

/// The mean rate of the slices that are reported, in operations a second.
pub fn mean_reported_rate(slices: &Slices) -> f64 {
    let reported = || slices.values().filter(|slice| slice.is_reported());
    let total: f64 = reported().flat_map(|slice| slice.demand.iter().map(DecayingRate::per_second)).sum();
    total / reported().count().max(1) as f64
}

/// Drops the estimated rates of slices that are reported by now, or that went unreported for too long: they have no
/// traffic.
pub fn drop_outdated_estimates(now: Seconds, slices: &mut Slices) {
    for slice in slices.values_mut() {
        if slice.is_reported() || now - slice.assigned_at >= UNREPORTED_TIMEOUT {
            slice.estimated_rate = 0.0;
        }
    }
}
