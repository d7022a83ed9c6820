//! Assignments: slices that this controller is assigned and loses, and the handoff from one controller to the next.
//!
//! A slice is assigned with its stored table and without a load report. Until its first report, but for no longer than
//! `UNREPORTED_TIMEOUT`, its rate is estimated: from the handoff of its former controller, or else as the mean rate of
//! the reported slices. Without an estimate its owner would appear idle and be given more slices than it can serve.
use super::host::Host;
use super::slice::{Slice, Slices};
use crate::decaying::DecayingRate;
use crate::interface::{HostId, Seconds, SliceAssignment, SliceHandoff};
use std::collections::BTreeMap;

/// Seconds for which a slice without a load report is assumed to have its estimated rate.
pub const UNREPORTED_TIMEOUT: Seconds = 4.0;

/// Applies an assignment to `slices`. `estimated_rate` is the rate of the slice in operations per second. A host that
/// the stored table names has served before, so it is marked as usable without a health check.
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

/// The state of a slice for its next controller.
pub fn handoff(now: Seconds, slice: &Slice, admission_rates: &[f64]) -> SliceHandoff {
    SliceHandoff {
        rate: slice.admitted_rate(admission_rates),
        pinned_for: (slice.pinned_until - now).max(0.0),
        preferred_host: slice.preferred_host,
    }
}

/// Applies a handoff that was made `age` seconds ago, unless it is too old or a load report has covered the slice.
pub fn apply_handoff(now: Seconds, slice: &mut Slice, handoff: &SliceHandoff, age: Seconds) {
    if age > UNREPORTED_TIMEOUT || slice.is_reported() {
        return;
    }
    slice.estimated_rate = handoff.rate;
    slice.pinned_until = now + (handoff.pinned_for - age).max(0.0);
    slice.preferred_host = handoff.preferred_host;
}

/// The mean rate of the slices that load reports have covered, in operations per second.
pub fn mean_reported_rate(slices: &Slices) -> f64 {
    let reported = || slices.values().filter(|slice| slice.is_reported());
    let total: f64 = reported().flat_map(|slice| slice.demand.iter().map(DecayingRate::per_second)).sum();
    total / reported().count().max(1) as f64
}

/// Drops the estimated rates of slices that load reports have covered, and of slices that have not been reported for
/// `UNREPORTED_TIMEOUT`, which have no traffic.
pub fn drop_outdated_estimates(now: Seconds, slices: &mut Slices) {
    for slice in slices.values_mut() {
        if slice.is_reported() || now - slice.assigned_at >= UNREPORTED_TIMEOUT {
            slice.estimated_rate = 0.0;
        }
    }
}
