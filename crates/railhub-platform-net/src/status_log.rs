//! Logs the status every few seconds: the use of descriptors and memory, rejections and latencies. Checks for outages
//! once a second.
use crate::clock::now;
use crate::outage_monitor::OutageMonitor;
use crate::shared_state::SharedState;
use crate::status::ControllerStatus;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// Time between checks for outages.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of outage checks per status line.
const CHECKS_PER_STATUS: u64 = 5;
/// Size of a memory page.
const PAGE_BYTES: usize = 4096;

/// Runs on the calling thread until the process ends.
pub fn run(shared: &SharedState, memory_limit_mb: usize) -> ! {
    let mut outages = OutageMonitor::default();
    let mut checks: u64 = 0;
    loop {
        std::thread::sleep(OUTAGE_CHECK_INTERVAL);
        outages.check(now(), shared);
        checks += 1;
        if checks.is_multiple_of(CHECKS_PER_STATUS) {
            log_resources(shared, memory_limit_mb);
            log_controller(&shared.status());
        }
    }
}

fn log_resources(shared: &SharedState, memory_limit_mb: usize) {
    let (descriptors, counters) = (&shared.descriptors, &shared.relay_counters);
    let rejections = format!("{:?}", shared.rejections.counts());
    tracing::info!(
        memory_mb = resident_memory_mb(),
        memory_limit_mb,
        inbound = descriptors.inbound.load(Relaxed),
        collectors = descriptors.collectors.load(Relaxed),
        relay = descriptors.relay.load(Relaxed),
        discovery = descriptors.discovery.load(Relaxed),
        health_checks = descriptors.health_checks.load(Relaxed),
        subscriptions = counters.subscriptions.load(Relaxed),
        calls = counters.calls.load(Relaxed),
        calls_unknown = counters.calls_unknown.load(Relaxed),
        calls_rejected = counters.calls_rejected.load(Relaxed),
        rejections,
        "resource usage"
    );
}

fn log_controller(status: &ControllerStatus) {
    tracing::info!(
        generation = status.generation,
        proxies = status.proxies,
        hosts = status.hosts,
        pending_commands = status.pending_commands,
        batches = status.batches,
        snapshot_applied = status.snapshot_applied,
        reports_dropped = status.reports_dropped,
        health_checks_dropped = status.health_checks_dropped,
        health_checks_stale = status.health_checks_stale,
        commands_coalesced = status.commands_coalesced,
        commands_discarded = status.commands_discarded,
        unnamed_classes = status.unnamed_classes,
        timer_lateness_p99_s = status.timer_lateness.p99,
        timer_lateness_max_s = status.timer_lateness.max,
        call_latency_p99_s = status.call_latency.p99,
        call_latency_max_s = status.call_latency.max,
        report_latency_p99_s = status.report_latency.p99,
        report_latency_max_s = status.report_latency.max,
        longest_batch_s = status.longest_batch,
        "controller status"
    );
}

/// Resident memory of the process in MiB; 0 if the system does not report it.
fn resident_memory_mb() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident_pages: usize = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    (resident_pages * PAGE_BYTES) >> 20
}
