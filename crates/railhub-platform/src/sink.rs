//! What the decisions issue in one batch, sorted by who carries it out.
use crate::command::Command;
use crate::pending_commands::PendingCommands;
use railhub::{BarrierId, ClassId, CommandSink, HostId, ProxyId, RetryPolicy, Seconds, SliceId, TimerId};

/// Takes the decisions of a batch: commands go to the pending ones, the rest is collected.
pub(crate) struct BatchSink<'a> {
    pub(crate) commands: &'a mut PendingCommands,
    pub(crate) probes: Vec<HostId>,
    /// Timers, each with the seconds after which it expires.
    pub(crate) timers: Vec<(Seconds, TimerId)>,
    pub(crate) notes: Vec<String>,
}

impl BatchSink<'_> {
    pub(crate) fn new(commands: &mut PendingCommands) -> BatchSink<'_> {
        BatchSink { commands, probes: Vec::new(), timers: Vec::new(), notes: Vec::new() }
    }
}

impl CommandSink for BatchSink<'_> {
    fn set_line(&mut self, slice: SliceId, host: HostId, weight: f64) {
        self.commands.push(Command::SetWeight { slice, host, weight });
    }
    /// The protocol has no command that assigns a table to a proxy; it is needed only where there are no slices.
    fn hand_table(&mut self, table: SliceId, proxy: ProxyId) {
        self.notes
            .push(format!("the platform cannot assign table {} to proxy {}: left out", table.0, proxy.0));
    }
    fn set_level(&mut self, class: ClassId, share: f64, second_try: RetryPolicy) {
        self.commands.push(Command::SetAdmissionRate { class, rate: share, retry: second_try });
    }
    fn shut_out(&mut self, host: HostId, out: bool) {
        self.commands.push(if out { Command::Exclude(host) } else { Command::Readmit(host) });
    }
    fn mark(&mut self, mark: BarrierId) {
        self.commands.push(Command::Barrier(mark));
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
