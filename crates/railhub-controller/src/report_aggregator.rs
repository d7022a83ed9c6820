//! Adds up load reports by zone and host, and by slice and class. Totals are passed on at a limited rate, the oldest
//! first; the others keep adding up. Does no I/O and reads no clock.
//!
//! Proxies report at different times, and some reports are late or missing. A total is therefore related to the time
//! that the reports cover on average over all proxies: a late report lowers the count and the covered time alike, so
//! that rates stay correct.
use railhub::{ClassId, HostId, HostLoadReport, Seconds, SliceId, SliceLoadReport, ZoneId};
use railhub_proto::LoadReport;
use std::collections::BTreeMap;

/// Minimum seconds that a total covers, so that rates stay finite.
const MIN_SPAN: Seconds = 1e-3;
/// Maximum totals kept at once: a proxy could report on an unlimited number of host names.
const MAX_TOTALS: usize = 200_000;
/// Unused allowance that is kept after a pause, in seconds of the permitted rate.
const MAX_ALLOWANCE_SECONDS: Seconds = 2.0;

/// The subject of a total.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TotalKey {
    Host(ZoneId, HostId),
    Slice(SliceId, ClassId),
}

#[derive(Clone, Copy, Default)]
struct Total {
    /// Attempts at a host, operations for a slice.
    count: f64,
    failed: f64,
    success_time: Seconds,
    utilization: Option<f64>,
    /// The aggregator's covered time at the last flush before the first report.
    covered_time_before: Seconds,
    /// Number of flushes before the first report.
    flushes_before: u64,
}

/// Totals that have not been passed to the decision engine yet.
#[derive(Default)]
pub struct ReportAggregator {
    totals: BTreeMap<TotalKey, Total>,
    /// Seconds that reports have covered since the start, averaged over the proxies.
    covered_time: Seconds,
    /// `covered_time` at the last flush: a total that begins after it covers no earlier time.
    covered_time_at_flush: Seconds,
    flushes: u64,
    /// Totals that may be passed on now.
    allowance: f64,
    /// Entries of reports that were dropped because the limit of totals was reached.
    pub dropped: u64,
}

impl ReportAggregator {
    /// Adds a report from one of `proxies` joined proxies.
    pub fn add(&mut self, zone: ZoneId, report: &LoadReport, proxies: usize) {
        self.covered_time += report.span / proxies.max(1) as f64;
        for load in &report.hosts {
            let Some(host) = HostId::new(&load.host) else { continue };
            let Some(total) = self.total(TotalKey::Host(zone, host)) else { continue };
            total.count += f64::from(load.attempts);
            total.failed += f64::from(load.failed);
            total.success_time += load.success_time;
            total.utilization = load.utilization.or(total.utilization);
        }
        for load in &report.slices {
            let key = TotalKey::Slice(SliceId(load.slice as u16), ClassId(load.class as u8));
            if let Some(total) = self.total(key) {
                total.count += f64::from(load.operations);
            }
        }
    }

    fn total(&mut self, key: TotalKey) -> Option<&mut Total> {
        if self.totals.len() >= MAX_TOTALS && !self.totals.contains_key(&key) {
            self.dropped += 1;
            return None;
        }
        let empty = Total {
            flushes_before: self.flushes,
            covered_time_before: self.covered_time_at_flush,
            ..Total::default()
        };
        Some(self.totals.entry(key).or_insert(empty))
    }

    /// Removes and returns as many totals as `totals_per_second` allows, the oldest first. `elapsed`: seconds since the
    /// last call.
    pub fn flush(
        &mut self,
        elapsed: Seconds,
        totals_per_second: f64,
    ) -> (Vec<HostLoadReport>, Vec<SliceLoadReport>) {
        let max_allowance = totals_per_second.max(1.0) * MAX_ALLOWANCE_SECONDS;
        self.allowance = (self.allowance + elapsed * totals_per_second).min(max_allowance);
        let (mut hosts, mut slices) = (Vec::new(), Vec::new());
        for key in self.oldest_first() {
            if self.allowance < 1.0 {
                break;
            }
            self.allowance -= 1.0;
            let Some(total) = self.totals.remove(&key) else { continue };
            let span = (self.covered_time - total.covered_time_before).max(MIN_SPAN);
            match key {
                TotalKey::Host(zone, host) => hosts.push(host_report(zone, host, &total, span)),
                TotalKey::Slice(slice, class) => {
                    slices.push(SliceLoadReport { slice, class, operations: total.count, span });
                }
            }
        }
        self.flushes += 1;
        self.covered_time_at_flush = self.covered_time;
        (hosts, slices)
    }

    fn oldest_first(&self) -> Vec<TotalKey> {
        let mut order: Vec<(u64, TotalKey)> = Vec::with_capacity(self.totals.len());
        order.extend(self.totals.iter().map(|(key, total)| (total.flushes_before, *key)));
        order.sort();
        order.into_iter().map(|(_, key)| key).collect()
    }
}

fn host_report(zone: ZoneId, host: HostId, total: &Total, span: Seconds) -> HostLoadReport {
    let succeeded = total.count - total.failed;
    let mean_latency = if succeeded > 0.0 { total.success_time / succeeded } else { 0.0 };
    HostLoadReport {
        zone,
        host,
        attempts: total.count,
        failed: total.failed,
        mean_latency,
        span,
        cpu_utilization: total.utilization,
    }
}

#[cfg(test)]
mod tests;
