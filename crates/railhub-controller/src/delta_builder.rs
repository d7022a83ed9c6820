//! Collects the commands of one batch of the decision engine.
use crate::change::{Change, ClassAdmission};
use railhub::{
    BarrierId, ClassId, CommandSink, DecisionEvent, HostId, ProxyId, RetryPolicy, Seconds, SliceId, TimerId,
};

/// The commands of one batch.
#[derive(Default)]
pub struct DeltaBuilder {
    /// The change to the routing state of proxies.
    pub change: Change,
    /// The barrier that a proxy passes when it acknowledges the change.
    pub barrier: Option<BarrierId>,
    /// Tables assigned to proxies, in a configuration without slices.
    pub assigned_tables: Vec<(SliceId, ProxyId)>,
    /// Hosts to run a health check on.
    pub health_checks: Vec<HostId>,
    /// Timers, each with its delay in seconds.
    pub timers: Vec<(Seconds, TimerId)>,
    /// The decisions with their causes, for the log.
    pub decision_log: Vec<String>,
}

impl CommandSink for DeltaBuilder {
    fn set_weight(&mut self, slice: SliceId, host: HostId, weight: f64) {
        self.change.lines.insert((slice, host), weight);
    }
    fn assign_table(&mut self, table: SliceId, proxy: ProxyId) {
        self.assigned_tables.push((table, proxy));
    }
    fn set_admission_rate(&mut self, class: ClassId, rate: f64, retry: RetryPolicy) {
        self.change.admission_rates.insert(class, ClassAdmission { rate, retry });
    }
    fn exclude_host(&mut self, host: HostId) {
        self.change.exclusions.insert(host, true);
    }
    fn readmit_host(&mut self, host: HostId) {
        self.change.exclusions.insert(host, false);
    }
    fn set_barrier(&mut self, barrier: BarrierId) {
        self.barrier = Some(barrier);
    }
    fn check_health(&mut self, host: HostId) {
        self.health_checks.push(host);
    }
    fn set_timer(&mut self, after: Seconds, timer: TimerId) {
        self.timers.push((after, timer));
    }
    fn report(&mut self, event: DecisionEvent) {
        self.decision_log.push(event.to_string());
    }
}
