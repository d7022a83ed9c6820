//! The load that a proxy has seen since its last report.
use railhub_proto::{HostLoad, LoadReport, SliceLoad};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Attempts by host and operations by slice and class, since the last report.
#[derive(Default)]
pub struct LoadTotals {
    hosts: BTreeMap<SocketAddr, HostLoad>,
    /// Operations, by slice and class.
    demand: BTreeMap<(u32, u32), u32>,
    since: f64,
}

impl LoadTotals {
    /// Starts at a time in seconds.
    pub fn new(now: f64) -> LoadTotals {
        LoadTotals { since: now, ..LoadTotals::default() }
    }

    /// Counts an operation that arrived.
    pub fn count_operation(&mut self, slice: u32, class: u32) {
        *self.demand.entry((slice, class)).or_default() += 1;
    }

    /// Counts an attempt that ended: its seconds if it succeeded, and the host's utilization if the response had it.
    pub fn count_attempt(&mut self, host: SocketAddr, success_time: Option<f64>, utilization: Option<f64>) {
        let new = || HostLoad { host: host.to_string(), ..HostLoad::default() };
        let load = self.hosts.entry(host).or_insert_with(new);
        load.attempts += 1;
        match success_time {
            Some(time) => load.success_time += time,
            None => load.failed += 1,
        }
        load.utilization = utilization.or(load.utilization);
    }

    /// The report of the totals; starts over.
    pub fn take_report(&mut self, now: f64) -> LoadReport {
        let totals = std::mem::replace(self, LoadTotals::new(now));
        let demand = totals.demand.into_iter();
        let slices = demand.map(|((slice, class), operations)| SliceLoad { slice, class, operations });
        LoadReport {
            span: now - totals.since,
            hosts: totals.hosts.into_values().collect(),
            slices: slices.collect(),
        }
    }
}
