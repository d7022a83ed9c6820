//! Collects the output of the decision logic for one batch, separated by recipient.
use crate::command::Command;
use crate::pending_commands::PendingCommands;
use railhub::{
    BarrierId, ClassId, CommandSink, DecisionEvent, HostId, ProxyId, RetryPolicy, Seconds, SliceId, TimerId,
    WeightedHost,
};
use thiserror::Error;

/// A log message of the decision logic.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Notice {
    /// A decision that was made.
    #[error("{0}")]
    Decision(DecisionEvent),
    /// A snapshot has replaced the known state.
    #[error(
        "snapshot applied proxies={proxies} slices={slices} tables_changed={tables_changed} \
         commands_discarded={commands_discarded}"
    )]
    SnapshotApplied {
        /// Connected proxies.
        proxies: usize,
        /// Slices assigned to this controller.
        slices: usize,
        /// Tables that are neither as last published nor a result of the pending commands.
        tables_changed: usize,
        /// Commands dropped because the table that they were decided on has changed, or may have.
        commands_discarded: u64,
    },
    /// The protocol has no command that assigns a table to a proxy. The decision logic issues it only if the key space
    /// is not sliced.
    #[error("cannot assign a table to a proxy on the platform table={} proxy={}", table.0, proxy.0)]
    TableNotAssignable {
        /// The table.
        table: SliceId,
        /// The proxy.
        proxy: ProxyId,
    },
}

/// Receives the output of one batch: commands are queued, everything else is collected.
pub(crate) struct BatchSink<'a> {
    pub(crate) commands: &'a mut PendingCommands,
    pub(crate) health_checks: Vec<HostId>,
    /// Timers to set, each with the seconds until it expires.
    pub(crate) timers: Vec<(Seconds, TimerId)>,
    pub(crate) notices: Vec<Notice>,
}

impl BatchSink<'_> {
    pub(crate) fn new(commands: &mut PendingCommands) -> BatchSink<'_> {
        BatchSink { commands, health_checks: Vec::new(), timers: Vec::new(), notices: Vec::new() }
    }
}

impl CommandSink for BatchSink<'_> {
    fn set_weight(&mut self, slice: SliceId, host: HostId, weight: f64) {
        self.commands.push(Command::SetWeight { slice, entry: WeightedHost { host, weight } });
    }
    fn assign_table(&mut self, table: SliceId, proxy: ProxyId) {
        self.notices.push(Notice::TableNotAssignable { table, proxy });
    }
    fn set_admission_rate(&mut self, class: ClassId, rate: f64, retry: RetryPolicy) {
        self.commands.push(Command::SetAdmissionRate { class, rate, retry });
    }
    fn exclude_host(&mut self, host: HostId) {
        self.commands.push(Command::Exclude(host));
    }
    fn readmit_host(&mut self, host: HostId) {
        self.commands.push(Command::Readmit(host));
    }
    fn set_barrier(&mut self, barrier: BarrierId) {
        self.commands.push(Command::Barrier(barrier));
    }
    fn check_health(&mut self, host: HostId) {
        self.health_checks.push(host);
    }
    fn set_timer(&mut self, after: Seconds, timer: TimerId) {
        self.timers.push((after, timer));
    }
    fn report(&mut self, event: DecisionEvent) {
        self.notices.push(Notice::Decision(event));
    }
}
