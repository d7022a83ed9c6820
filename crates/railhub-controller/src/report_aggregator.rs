//! Adds up load reports by zone and host and by slice and class, and gives them on at a rate, the oldest first; the
//! rest adds up. Free of I/O and of clocks.
//!
//! Proxies report at their own moments, late and not always. What came is therefore spread over the time that the
//! reports cover on average, whichever proxy sent them: a proxy that is late lowers both alike, so rates hold.
use railhub::{ClassId, HostId, HostLoadReport, Seconds, SliceId, SliceLoadReport, ZoneId};
use railhub_proto::LoadReport;
use std::collections::BTreeMap;

/// Seconds that a total covers at the least, so that rates stay finite.
const MIN_SPAN: Seconds = 1e-3;
/// Totals kept at once: a proxy can name hosts without end.
const MAX_TOTALS: usize = 200_000;
/// Seconds of the rate that may be given on at once after a pause.
const MAX_ALLOWANCE_SECONDS: Seconds = 2.0;

/// What a total is of.
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
    /// The aggregator's covered time at the flush before the first part came.
    covered_before: Seconds,
    /// The flush before the first part came.
    since_flush: u64,
}

/// Totals that the decisions have not been given.
#[derive(Default)]
pub struct ReportAggregator {
    totals: BTreeMap<TotalKey, Total>,
    /// Seconds that reports have covered for the mean proxy since the start.
    covered: Seconds,
    /// The same at the last flush: a total that begins after it covers no earlier time.
    covered_at_flush: Seconds,
    flushes: u64,
    /// Totals that may be given on.
    allowance: f64,
    /// Parts of reports that were dropped because too many totals are kept.
    pub dropped: u64,
}

impl ReportAggregator {
    /// Adds a report of one of `proxies` joined proxies.
    pub fn add(&mut self, zone: ZoneId, report: &LoadReport, proxies: usize) {
        self.covered += report.span / proxies.max(1) as f64;
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
        let empty =
            Total { since_flush: self.flushes, covered_before: self.covered_at_flush, ..Total::default() };
        Some(self.totals.entry(key).or_insert(empty))
    }

    /// Removes the totals that `totals_per_second` allows, the oldest first. `elapsed`: seconds since the last call.
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
            let span = (self.covered - total.covered_before).max(MIN_SPAN);
            match key {
                TotalKey::Host(zone, host) => hosts.push(host_report(zone, host, &total, span)),
                TotalKey::Slice(slice, class) => {
                    slices.push(SliceLoadReport { slice, class, operations: total.count, span });
                }
            }
        }
        self.flushes += 1;
        self.covered_at_flush = self.covered;
        (hosts, slices)
    }

    fn oldest_first(&self) -> Vec<TotalKey> {
        let mut order: Vec<(u64, TotalKey)> = Vec::with_capacity(self.totals.len());
        order.extend(self.totals.iter().map(|(key, total)| (total.since_flush, *key)));
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
