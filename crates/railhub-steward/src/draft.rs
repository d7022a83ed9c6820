//! What one round decided.
use crate::tables::Change;
use railhub::{
    BarrierId, ClassId, CommandSink, DecisionEvent, HostId, ProxyId, RetryPolicy, Seconds, SliceId, TimerId,
};

#[derive(Default)]
pub struct DeltaBuilder {
    pub change: Change,
    pub mark: Option<BarrierId>,
    pub handed: Vec<(SliceId, ProxyId)>,
    pub probes: Vec<HostId>,
    pub wakes: Vec<(Seconds, TimerId)>,
    pub notes: Vec<String>,
}

impl CommandSink for DeltaBuilder {
    fn set_weight(&mut self, slice: SliceId, host: HostId, weight: f64) {
        self.change.lines.insert((slice, host), weight);
    }
    fn assign_table(&mut self, table: SliceId, proxy: ProxyId) {
        self.handed.push((table, proxy));
    }
    fn set_admission_rate(&mut self, class: ClassId, rate: f64, retry_policy: RetryPolicy) {
        self.change.levels.insert(class, (rate, retry_policy));
    }
    fn exclude_host(&mut self, host: HostId) {
        self.change.shut.insert(host, true);
    }
    fn readmit_host(&mut self, host: HostId) {
        self.change.shut.insert(host, false);
    }
    fn set_barrier(&mut self, barrier: BarrierId) {
        self.mark = Some(barrier);
    }
    fn check_health(&mut self, host: HostId) {
        self.probes.push(host);
    }
    fn set_timer(&mut self, after: Seconds, timer: TimerId) {
        self.wakes.push((after, timer));
    }
    fn report(&mut self, event: DecisionEvent) {
        self.notes.push(event.to_string());
    }
}
