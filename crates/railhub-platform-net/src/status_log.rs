//! Logs the status every few seconds: what holds descriptors and memory, what was rejected, how late things are. Between
//! the lines it looks for outages.
use crate::clock::now;
use crate::outage_monitor::OutageMonitor;
use crate::shared_state::SharedState;
use crate::status::ControllerStatus;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// Seconds between looks for outages.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Looks for outages for each status line.
const CHECKS_PER_STATUS: u64 = 5;
/// Bytes of a memory page.
const PAGE_SIZE: usize = 4096;

/// Runs until the process ends, on the calling thread.
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
    let refused = format!("{:?}", shared.rejections.counts());
    tracing::info!(
        memory_mb = resident_memory_mb(),
        memory_limit = memory_limit_mb,
        visitors = descriptors.inbound.load(Relaxed),
        collectors = descriptors.collectors.load(Relaxed),
        relay = descriptors.relay.load(Relaxed),
        discovery = descriptors.discovery.load(Relaxed),
        probes = descriptors.health_checks.load(Relaxed),
        subscriptions = counters.subscriptions.load(Relaxed),
        calls = counters.calls.load(Relaxed),
        unknown = counters.calls_unknown.load(Relaxed),
        turned_away = counters.calls_rejected.load(Relaxed),
        refused,
        "holds"
    );
}

fn log_controller(status: &ControllerStatus) {
    tracing::info!(
        generation = status.generation,
        joined = status.proxies,
        hosts = status.hosts,
        waiting = status.pending_commands,
        rounds = status.batches,
        informed = status.snapshot_applied,
        sums_dropped = status.reports_dropped,
        probes_dropped = status.health_checks_dropped,
        probes_outrun = status.health_checks_stale,
        folded = status.commands_coalesced,
        unnamed = status.unnamed_classes,
        late_99 = status.timer_lateness.p99,
        late_most = status.timer_lateness.max,
        call_99 = status.call_latency.p99,
        call_most = status.call_latency.max,
        report_99 = status.report_latency.p99,
        report_most = status.report_latency.max,
        longest_round = status.longest_batch,
        "figures"
    );
}

/// Megabytes that the process has in memory; 0 if the system does not tell.
fn resident_memory_mb() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident_pages: usize = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    (resident_pages * PAGE_SIZE) >> 20
}
