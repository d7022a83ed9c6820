//! What one round decided.
use crate::tables::Change;
use railhub::{BarrierId, ClassId, CommandSink, HostId, ProxyId, RetryPolicy, Seconds, SliceId, TimerId};

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
    fn set_line(&mut self, slice: SliceId, host: HostId, weight: f64) {
        self.change.lines.insert((slice, host), weight);
    }
    fn hand_table(&mut self, table: SliceId, proxy: ProxyId) {
        self.handed.push((table, proxy));
    }
    fn set_level(&mut self, class: ClassId, share: f64, second_try: RetryPolicy) {
        self.change.levels.insert(class, (share, second_try));
    }
    fn shut_out(&mut self, host: HostId, out: bool) {
        self.change.shut.insert(host, out);
    }
    fn mark(&mut self, mark: BarrierId) {
        self.mark = Some(mark);
    }
    fn probe(&mut self, host: HostId) {
        self.probes.push(host);
    }
    fn wake(&mut self, after: Seconds, timer: TimerId) {
        self.wakes.push((after, timer));
    }
    fn note(&mut self, text: &str) {
        self.notes.push(text.to_owned());
    }
}
