//! Health checks: when failed checks and load reports prove that a host is down, and when it is back.
//!
//! A host is down after `UNREACHABLE_THRESHOLD` failed checks, the last of which reached no process, or after
//! `UNHEALTHY_THRESHOLD` that failed while load reports show failures alone: checks of a host that is merely full time
//! out as well. A missing report proves nothing. Where most hosts would be down the fault is likely elsewhere, and no
//! further one is.
use super::host::Host;
use crate::interface::{CommandSink, DecisionEvent, HealthCheckOutcome, HealthCheckResult, HostId};
use crate::interface::{Phase, Seconds};
use std::collections::BTreeMap;

/// Failed checks in a row that count as proof, beside reports of failures alone.
const UNHEALTHY_THRESHOLD: u32 = 3;
/// Failed checks in a row that count as proof, the last of which reached no process.
const UNREACHABLE_THRESHOLD: u32 = 2;
/// Seconds without a completed operation, while reports show failures, that count as failures alone.
const FAILING_REPORTS_TIMEOUT: Seconds = 2.0;
/// Fraction of the ready hosts that ever served which may be down.
const MAX_FRACTION_DOWN: f64 = 0.5;

/// Applies the end of a health check; whether the host is down from now on and was not before.
pub fn apply_health_check(
    now: Seconds,
    result: &HealthCheckResult,
    hosts: &mut BTreeMap<HostId, Host>,
    commands: &mut impl CommandSink,
) -> bool {
    let is_down_limit_reached = is_down_limit_reached(hosts);
    let Some(host) = hosts.get_mut(&result.host) else { return false };
    match result.outcome {
        HealthCheckOutcome::Rejected => return false,
        HealthCheckOutcome::Passed => {
            if apply_passed_check(now, host) {
                commands.report(DecisionEvent::HealthCheckPassed(result.host));
            }
            return false;
        }
        HealthCheckOutcome::Failed | HealthCheckOutcome::Unreachable => {}
    }
    host.failed_checks += 1;
    host.is_unreachable = result.outcome == HealthCheckOutcome::Unreachable;
    let may_go_down = host.is_delisted || !is_down_limit_reached;
    let is_newly_down = !host.is_down && is_proven_down(now, host) && may_go_down;
    if !is_newly_down {
        // Checked again at once, not at the next tick: a second failure is the proof.
        if host.is_unreachable && host.failed_checks < UNREACHABLE_THRESHOLD {
            commands.check_health(result.host);
        }
        return false;
    }
    host.is_down = true;
    if host.is_delisted {
        (host.phase, host.gone_at) = (Phase::Gone, now);
    }
    commands.report(DecisionEvent::HealthChecksFailed(result.host));
    true
}

/// One more host down would be more than may be.
fn is_down_limit_reached(hosts: &BTreeMap<HostId, Host>) -> bool {
    let has_served = |host: &&Host| host.phase == Phase::Ready && host.last_success_at > 0.0;
    let serving = hosts.values().filter(has_served).count();
    let down = hosts.values().filter(has_served).filter(|host| host.is_down).count();
    (down + 1) as f64 > MAX_FRACTION_DOWN * serving as f64
}

fn is_proven_down(now: Seconds, host: &Host) -> bool {
    let only_failures_reported =
        host.last_failure_at > host.last_success_at && now - host.last_success_at > FAILING_REPORTS_TIMEOUT;
    host.failed_checks >= UNHEALTHY_THRESHOLD && only_failures_reported
        || host.is_unreachable && host.failed_checks >= UNREACHABLE_THRESHOLD
}

/// Whether the host was down and is back. One whose process was not reached has likely started anew: it is cold.
fn apply_passed_check(now: Seconds, host: &mut Host) -> bool {
    host.failed_checks = 0;
    host.last_success_at = now;
    if host.is_down && host.is_unreachable {
        host.warming_since = Some(now);
    }
    std::mem::replace(&mut host.is_down, false)
}
