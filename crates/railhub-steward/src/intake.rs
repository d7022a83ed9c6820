//! Adds up what proxies report, by zone and host and by slice and class, and lets it through at a rate, the
//! oldest first; the rest adds up. Free of I/O and of clocks.
//!
//! Proxies report at their own moments, late and not always. What came is therefore spread over the time that
//! the reports cover on average, whoever sent them: a proxy that is late lowers both alike, so rates hold.
use railhub::{ClassId, HostId, HostLoadReport, Seconds, SliceId, SliceLoadReport, ZoneId};
use railhub_proto::{LoadReport, SliceLoad};
use std::collections::BTreeMap;

/// Seconds one report may cover, the longest that is believed.
const LONGEST_SPAN: Seconds = 60.0;
/// Seconds a sum covers at the least, so that rates stay finite.
const SHORTEST_SPAN: Seconds = 1e-3;
/// Pairs and slices kept at once: a lying reporter can name hosts without end.
const KEPT: usize = 200_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Tries(ZoneId, HostId),
    Demand(SliceId, ClassId),
}

#[derive(Clone, Copy, Default)]
struct Total {
    amount: f64,
    failed: f64,
    good_time: Seconds,
    busy: Option<f64>,
    /// Cover at the flush before its first part came.
    cover_before: Seconds,
    first: u64,
}

#[derive(Default)]
pub struct ReportAggregator {
    totals: BTreeMap<Key, Total>,
    /// Time that reports have covered for the mean proxy since the start.
    cover: Seconds,
    /// The same, at the last flush: what first came after it covers no more.
    flushed_at: Seconds,
    flushes: u64,
    allowance: f64,
    pub dropped: u64,
}

/// Why a report is not believed.
pub fn fault(sums: &LoadReport) -> Option<&'static str> {
    if !(0.0..=LONGEST_SPAN).contains(&sums.span) {
        return Some("a span that cannot be");
    }
    let sane = |time: f64| time.is_finite() && time >= 0.0;
    if !sums.hosts.iter().all(|sum| sane(sum.success_time) && sum.failed <= sum.attempts) {
        return Some("times or counts that cannot be");
    }
    if !sums.hosts.iter().filter_map(|sum| sum.utilization).all(sane) {
        return Some("a load that cannot be");
    }
    let known = |sum: &SliceLoad| u16::try_from(sum.slice).is_ok() && u8::try_from(sum.class).is_ok();
    if !sums.slices.iter().all(known) {
        return Some("a slice or class that cannot be");
    }
    None
}

impl ReportAggregator {
    /// Takes in one report of one of so many joined proxies.
    pub fn add(&mut self, zone: ZoneId, sums: &LoadReport, proxies: usize) {
        self.cover += sums.span / proxies.max(1) as f64;
        for sum in &sums.hosts {
            let Some(host) = HostId::new(&sum.host) else { continue };
            let Some(total) = self.total(Key::Tries(zone, host)) else { continue };
            total.amount += f64::from(sum.attempts);
            total.failed += f64::from(sum.failed);
            total.good_time += sum.success_time;
            total.busy = sum.utilization.or(total.busy);
        }
        for sum in &sums.slices {
            let key = Key::Demand(SliceId(sum.slice as u16), ClassId(sum.class as u8));
            if let Some(total) = self.total(key) {
                total.amount += f64::from(sum.operations);
            }
        }
    }

    fn total(&mut self, key: Key) -> Option<&mut Total> {
        if self.totals.len() >= KEPT && !self.totals.contains_key(&key) {
            self.dropped += 1;
            return None;
        }
        let fresh = Total { first: self.flushes, cover_before: self.flushed_at, ..Total::default() };
        Some(self.totals.entry(key).or_insert(fresh))
    }

    /// What may go on now, the oldest first; `passed`: seconds since the last call.
    pub fn flush(
        &mut self,
        passed: Seconds,
        lines_a_second: f64,
    ) -> (Vec<HostLoadReport>, Vec<SliceLoadReport>) {
        self.allowance = (self.allowance + passed * lines_a_second).min(lines_a_second.max(1.0) * 2.0);
        let mut order: Vec<(u64, Key)> = self.totals.iter().map(|(key, t)| (t.first, *key)).collect();
        order.sort();
        let (mut tries, mut demand) = (Vec::new(), Vec::new());
        for (_, key) in order {
            if self.allowance < 1.0 {
                break;
            }
            self.allowance -= 1.0;
            let total = self.totals.remove(&key).expect("listed above");
            let span = (self.cover - total.cover_before).max(SHORTEST_SPAN);
            match key {
                Key::Tries(zone, host) => tries.push(try_sum(zone, host, &total, span)),
                Key::Demand(slice, class) => {
                    demand.push(SliceLoadReport { slice, class, operations: total.amount, span });
                }
            }
        }
        self.flushes += 1;
        self.flushed_at = self.cover;
        (tries, demand)
    }
}

fn try_sum(zone: ZoneId, host: HostId, total: &Total, span: Seconds) -> HostLoadReport {
    let good = total.amount - total.failed;
    let mean_latency = if good > 0.0 { total.good_time / good } else { 0.0 };
    HostLoadReport {
        zone,
        host,
        attempts: total.amount,
        failed: total.failed,
        mean_latency,
        span,
        cpu_utilization: total.busy,
    }
}

#[cfg(test)]
mod tests;
