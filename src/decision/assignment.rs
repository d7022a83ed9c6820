//! Assignments: slices that this controller is assigned and loses, and the handoff from one controller to the next.
//!
//! A slice is assigned with its stored table and without a load report. Until its first report, but for no longer than
//! `UNREPORTED_TIMEOUT`, its rate is estimated: from the handoff of its former controller, or else as the mean rate of
//! the reported slices. Without an estimate its owner would appear idle and be given more slices than it can serve.
//!
//! After an interruption of the observation, each slice that is still assigned comes with its stored table again
//! ([`SliceAssignment::Retained`]). The table replaces the one that was known, and the owner that was chosen for it.
use super::host::Host;
use super::slice::{Slice, Slices};
use super::table::tables_match;
use crate::decaying::DecayingRate;
use crate::interface::{ControllerConfig, HostId, Seconds, SliceAssignment, SliceHandoff, WeightedHost};
use std::collections::BTreeMap;

/// Seconds for which a slice without a load report is assumed to have its estimated rate.
pub const UNREPORTED_TIMEOUT: Seconds = 4.0;

/// Applies an assignment to `slices`. `estimated_rate` is the rate of the slice in operations per second.
pub fn apply_assignment(
    now: Seconds,
    assignment: &SliceAssignment,
    estimated_rate: f64,
    config: &ControllerConfig,
    hosts: &mut BTreeMap<HostId, Host>,
    slices: &mut Slices,
) {
    let former = slices.remove(&assignment.slice());
    let classes = config.classes.len();
    let (slice, entries, assigned) = match (assignment, former) {
        (SliceAssignment::Revoked { .. }, _) => return,
        (SliceAssignment::Retained { slice, entries }, Some(former)) => {
            (slice, entries, retained_slice(now, entries, former, config))
        }
        (SliceAssignment::Assigned { slice, entries } | SliceAssignment::Retained { slice, entries }, _) => {
            let stored = Slice::from_stored(now, entries.clone(), classes);
            (slice, entries, Slice { estimated_rate, ..stored })
        }
    };
    mark_serving_hosts(now, entries, hosts);
    slices.insert(*slice, assigned);
}

/// A slice that was known before an interruption of the observation, with its stored table. What other controllers may
/// have done with it meanwhile is unknown; its demand is not theirs to change.
fn retained_slice(now: Seconds, entries: &[WeightedHost], former: Slice, config: &ControllerConfig) -> Slice {
    if config.sole_controller {
        return Slice { published: entries.to_vec(), ..former };
    }
    if tables_match(&former.published, entries) {
        return Slice { writes_end_at: None, ..former };
    }
    let Slice { demand, estimated_rate, assigned_at, .. } = former;
    let stored = Slice::from_stored(now, entries.to_vec(), demand.len());
    Slice { demand, estimated_rate, assigned_at, ..stored }
}

/// A host that a stored table names has served before, so it is marked as usable without a health check.
fn mark_serving_hosts(now: Seconds, entries: &[WeightedHost], hosts: &mut BTreeMap<HostId, Host>) {
    for entry in entries {
        if let Some(host) = hosts.get_mut(&entry.host).filter(|host| host.last_success_at == 0.0) {
            host.is_down = false;
            host.last_success_at = now;
        }
    }
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
