//! What a proxy has met since its last sums.
use railhub_proto::{HostLoad, LoadReport, SliceLoad};
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Default)]
pub struct Totals {
    hosts: BTreeMap<SocketAddr, HostLoad>,
    demand: BTreeMap<(u32, u32), u32>,
    since: f64,
}

impl Totals {
    pub fn new(now: f64) -> Totals {
        Totals { since: now, ..Totals::default() }
    }

    pub fn came(&mut self, slice: u32, class: u32) {
        *self.demand.entry((slice, class)).or_default() += 1;
    }

    /// `time`: of a good try.
    pub fn tried(&mut self, host: SocketAddr, time: Option<f64>, busy: Option<f64>) {
        let sum = self
            .hosts
            .entry(host)
            .or_insert_with(|| HostLoad { host: host.to_string(), ..HostLoad::default() });
        sum.attempts += 1;
        match time {
            Some(time) => sum.success_time += time,
            None => sum.failed += 1,
        }
        sum.utilization = busy.or(sum.utilization);
    }

    /// All of it, to be sent; starts over.
    pub fn take(&mut self, now: f64) -> LoadReport {
        let all = std::mem::replace(self, Totals::new(now));
        let demand = all.demand.into_iter();
        LoadReport {
            span: now - all.since,
            hosts: all.hosts.into_values().collect(),
            slices: demand
                .map(|((slice, class), operations)| SliceLoad { slice, class, operations })
                .collect(),
        }
    }
}
