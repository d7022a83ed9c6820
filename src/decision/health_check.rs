//! Health checks: when failed checks and load reports prove that a host is down, and when it is back in service.
//!
//! A host is down after `UNREACHABLE_THRESHOLD` consecutive failed checks, the last of which reached no process. It is
//! also down after `UNHEALTHY_THRESHOLD` consecutive failed checks while load reports show nothing but failures: failed
//! checks alone prove nothing, because checks of a saturated host time out as well. A missing report proves nothing
//! either. If more than `MAX_FRACTION_DOWN` of the hosts would be down, the fault is likely elsewhere, and no further
//! host is marked as down.
use super::host::Host;
use crate::interface::{CommandSink, DecisionEvent, HealthCheckOutcome, HealthCheckResult, HostId};
use crate::interface::{Phase, Seconds};
use std::collections::BTreeMap;

/// Consecutive failed checks that prove a host down while load reports show only failures.
const UNHEALTHY_THRESHOLD: u32 = 3;
/// Consecutive failed checks that prove a host down if the last of them reached no process.
const UNREACHABLE_THRESHOLD: u32 = 2;
/// Seconds without a successful operation, while load reports show failures, after which a host is considered to fail
/// all operations.
const FAILING_REPORTS_TIMEOUT: Seconds = 2.0;
/// Maximum fraction of the hosts in service (ready, with an operation or a health check that succeeded) that may be
/// marked as down.
const MAX_FRACTION_DOWN: f64 = 0.5;

/// Applies the result of a health check; returns whether it marked the host as down.
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
        // Checks again at once instead of at the next tick: a second failure proves the host down.
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

/// Whether one more host down would exceed `MAX_FRACTION_DOWN`.
fn is_down_limit_reached(hosts: &BTreeMap<HostId, Host>) -> bool {
    let has_served = |host: &&Host| host.phase == Phase::Ready && host.last_success_at > 0.0;
    let serving = hosts.values().filter(has_served).count();
    let down = hosts.values().filter(has_served).filter(|host| host.is_down).count();
    (down + 1) as f64 > MAX_FRACTION_DOWN * serving as f64
}

/// Whether failed checks and load reports prove that the host is down.
fn is_proven_down(now: Seconds, host: &Host) -> bool {
    let only_failures_reported =
        host.last_failure_at > host.last_success_at && now - host.last_success_at > FAILING_REPORTS_TIMEOUT;
    host.failed_checks >= UNHEALTHY_THRESHOLD && only_failures_reported
        || host.is_unreachable && host.failed_checks >= UNREACHABLE_THRESHOLD
}

/// Applies a passed check; returns whether the host was down. A host whose process was not reached has likely
/// restarted, so it is cold.
fn apply_passed_check(now: Seconds, host: &mut Host) -> bool {
    host.failed_checks = 0;
    host.last_success_at = now;
    if host.is_down && host.is_unreachable {
        host.warming_since = Some(now);
    }
    std::mem::replace(&mut host.is_down, false)
}
