//! The load that a proxy has counted since its last load report.
use railhub_proto::{HostLoad, LoadReport, SliceLoad};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Counts attempts by host, and operations by slice and class, since the last report.
#[derive(Default)]
pub struct LoadTotals {
    hosts: BTreeMap<SocketAddr, HostLoad>,
    /// Number of operations, by slice and class.
    demand: BTreeMap<(u32, u32), u32>,
    /// Start of the counted interval, in seconds.
    since: f64,
}

impl LoadTotals {
    /// Starts counting at a time in seconds.
    pub fn new(now: f64) -> LoadTotals {
        LoadTotals { since: now, ..LoadTotals::default() }
    }

    /// Counts an operation that a client has requested.
    pub fn count_operation(&mut self, slice: u32, class: u32) {
        *self.demand.entry((slice, class)).or_default() += 1;
    }

    /// Counts an attempt that has ended: its duration in seconds if it succeeded, and the host's utilization if the
    /// response contained it.
    pub fn count_attempt(&mut self, host: SocketAddr, success_time: Option<f64>, utilization: Option<f64>) {
        let no_load = || HostLoad { host: host.to_string(), ..HostLoad::default() };
        let load = self.hosts.entry(host).or_insert_with(no_load);
        load.attempts += 1;
        match success_time {
            Some(time) => load.success_time += time,
            None => load.failed += 1,
        }
        load.utilization = utilization.or(load.utilization);
    }

    /// Returns the totals as a report and starts counting anew.
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
