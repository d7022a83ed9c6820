//! A line of figures now and then: who holds descriptors and memory, what was refused, how late things are.
use crate::clock::now;
use crate::monitor::Monitor;
use crate::shared::Shared;
use crate::RunError;
use railhub_platform::NodeConfig;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

/// Between looks at whether the steward can serve, and looks for each line of figures.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const CHECKS_A_LINE: usize = 5;
const PAGE: usize = 4096;

/// Goes on until the process ends.
pub fn tell(shared: &Arc<Shared>, assignment: &NodeConfig) -> Result<(), RunError> {
    let mut monitor = Monitor::default();
    for check in 1.. {
        std::thread::sleep(CHECK_INTERVAL);
        monitor.check(now(), shared);
        if check % CHECKS_A_LINE != 0 {
            continue;
        }
        let (held, counts) = (&shared.held, &shared.counts);
        let owner = shared.owner.lock().expect("no holder panics").clone();
        let refused = format!("{:?}", counts.refused.lock().expect("no holder panics"));
        tracing::info!(
            memory_mb = memory(),
            memory_limit = assignment.memory_mb,
            visitors = held.visitors.load(Relaxed),
            collectors = held.collectors.load(Relaxed),
            relay = held.relay.load(Relaxed),
            discovery = held.discovery.load(Relaxed),
            probes = held.probes.load(Relaxed),
            subscriptions = counts.subscriptions.load(Relaxed),
            calls = counts.calls.load(Relaxed),
            unknown = counts.calls_unknown.load(Relaxed),
            turned_away = counts.calls_turned_away.load(Relaxed),
            refused,
            "holds"
        );
        tracing::info!(?owner, "figures");
    }
    Ok(())
}

/// Megabytes that the process has in memory.
fn memory() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    (pages * PAGE) >> 20
}
