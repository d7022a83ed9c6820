//! Load reports: how a report of the proxies changes the state of a host or a slice.
//!
//! A host report updates the host's service time and health score, and shows whether the host completes operations. A
//! slice report updates the slice's demand. The span of the first report after slices were assigned may include time
//! before the assignment, from which it counts no operations for this controller. So its span is limited to the time
//! since the assignment, minus the delay with which a report arrives.
use super::host::Host;
use super::slice::Slices;
use crate::interface::{ControllerConfig, HostLoadReport, Seconds, SliceLoadReport};

/// Seconds over which the demand of a slice is averaged.
pub const DEMAND_AVERAGING: Seconds = 4.0;
/// Seconds from the end of the time that a report covers to its arrival.
const REPORT_DELAY: Seconds = 1.0;
/// Least time for which a report counts, in seconds.
pub const MIN_REPORT_SPAN: Seconds = 0.5;

/// Applies a host report. `capacity` is the result of `load_estimate::owned_capacity`, in cores. `first_assigned_at` is
/// when this controller was last assigned a slice while it had none.
pub fn apply_host_load(
    now: Seconds,
    report: &HostLoadReport,
    capacity: f64,
    first_assigned_at: Seconds,
    config: &ControllerConfig,
    host: &mut Host,
) {
    let span = covered_span(now, first_assigned_at, report.span);
    let report = HostLoadReport { span, ..report.clone() };
    if report.attempts > report.failed {
        host.last_success_at = now;
    } else {
        host.last_failure_at = now;
    }
    host.service_time.add_report(now, &report, capacity, mean_contract_time(config));
    host.zone_scores.entry(report.zone).or_default().add_report(&report);
}

/// Applies a slice report; a report of an unknown slice or class is ignored.
pub fn apply_slice_load(now: Seconds, report: &SliceLoadReport, slices: &mut Slices) {
    let Some(slice) = slices.get_mut(&report.slice) else { return };
    let span = covered_span(now, slice.assigned_at, report.span);
    if let Some(demand) = slice.demand.get_mut(usize::from(report.class.0)) {
        demand.add(now, report.operations, span, DEMAND_AVERAGING);
    }
}

/// The part of a report's span that counts, in seconds.
pub fn covered_span(now: Seconds, assigned_at: Seconds, span: Seconds) -> Seconds {
    span.min((now - assigned_at - REPORT_DELAY).max(MIN_REPORT_SPAN))
}

/// Seconds for which a failed attempt is assumed to have been in flight.
fn mean_contract_time(config: &ControllerConfig) -> Seconds {
    let total: Seconds = config.classes.iter().map(|class| class.contract_time).sum();
    total / config.classes.len().max(1) as f64
}
