//! Collects the commands of one batch.
use crate::change::{Change, ClassAdmission};
use railhub::{BarrierId, ClassId, CommandSink, HostId, ProxyId, RetryPolicy, Seconds, SliceId, TimerId};

/// What the decisions ordered in one batch.
#[derive(Default)]
pub struct DeltaBuilder {
    /// What proxies are to hold.
    pub change: Change,
    /// The barrier that a proxy passes once it has acknowledged the change.
    pub barrier: Option<BarrierId>,
    /// Proxies that are assigned a table, where there are no slices.
    pub assigned_tables: Vec<(SliceId, ProxyId)>,
    /// Hosts to be probed.
    pub probes: Vec<HostId>,
    /// Timers, each after so many seconds.
    pub timers: Vec<(Seconds, TimerId)>,
    /// The decisions with their causes, for the log.
    pub notes: Vec<String>,
}

impl CommandSink for DeltaBuilder {
    fn set_line(&mut self, slice: SliceId, host: HostId, weight: f64) {
        self.change.lines.insert((slice, host), weight);
    }
    fn hand_table(&mut self, table: SliceId, proxy: ProxyId) {
        self.assigned_tables.push((table, proxy));
    }
    fn set_level(&mut self, class: ClassId, share: f64, second_try: RetryPolicy) {
        self.change.admission_rates.insert(class, ClassAdmission { rate: share, retry: second_try });
    }
    fn shut_out(&mut self, host: HostId, out: bool) {
        self.change.exclusions.insert(host, out);
    }
    fn mark(&mut self, mark: BarrierId) {
        self.barrier = Some(mark);
    }
    fn probe(&mut self, host: HostId) {
        self.probes.push(host);
    }
    fn wake(&mut self, after: Seconds, timer: TimerId) {
        self.timers.push((after, timer));
    }
    fn note(&mut self, text: &str) {
        self.notes.push(text.to_owned());
    }
}
