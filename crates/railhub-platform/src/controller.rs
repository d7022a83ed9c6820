//! Gathers what peers send into batches, runs the decisions on them, and hands commands to the relay's driver.
//!
//! Owns the decisions and wires the parts round them, each with one job: [`crate::subscription`] (whose events count,
//! and the snapshot), [`crate::call`] (whether a call may leave), [`crate::pending_commands`] (what it carries),
//! [`crate::host_directory`], [`crate::slice_assignments`] and [`crate::batch`].
//!
//! The way of one event:
//! 1. A handler, `on_EVENT`, puts it into the pending batch, or into the snapshot while one is received.
//! 2. [`PlatformController::next_deadline`] says when the next batch is due; nothing is decided before the first
//!    snapshot is complete.
//! 3. [`PlatformController::poll`] hands the batch to the decisions, whose commands wait among the pending ones.
//! 4. [`PlatformController::next_call`] gives the call that carries them, one at a time.
//! 5. [`PlatformController::on_call_ended`] settles it by its response. Without one, a snapshot of a later subscription
//!    shows its outcome ([`PlatformController::take_resubscribe_reason`]).
use crate::batch::{PendingBatch, Timers};
use crate::call::{CallTracker, ResubscribeReason};
use crate::command::Command;
use crate::config::NodeConfig;
use crate::endpoints::EndpointPage;
use crate::host_directory::{merge_list, HostDirectory, Probe};
use crate::pending_commands::{AcceptedCommands, PendingCommands};
use crate::relay::{Call, CallResponse, RelayEvent, SubscriptionId};
use crate::sink::{BatchSink, Notice};
use crate::slice_assignments::PendingAssignments;
use crate::subscription::{Snapshot, Subscription, Update, FIRST_SNAPSHOT_IDLE_TIMEOUT};
use crate::table::{tables_match, Table};
use railhub::{
    Controller, EventBatch, HealthCheckOutcome, HealthCheckResult, HostLoadReport, ProxyId, ProxyStreamEvent,
    Seconds, SliceAssignment, SliceId, SliceLoadReport,
};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// What the driver does after [`PlatformController::poll`], and logs.
#[derive(Debug, Default)]
pub struct Effects {
    /// Health checks to make.
    pub probes: Vec<Probe>,
    /// What the decisions report, for the log.
    pub notices: Vec<Notice>,
    /// Batches handled: 0 or 1.
    pub batches: u64,
    /// Seconds by which expired timers came late.
    pub timer_lateness: Vec<Seconds>,
}

/// Commands that the relay will not carry out. The next snapshot corrects what the decisions believe.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum DroppedCommands {
    /// The relay stopped at a command: it names what the relay does not know, or a number below 0.
    #[error("the relay refused a command, which is dropped: {0:?}")]
    Refused(Command),
    /// The relay cannot read a call.
    #[error("the relay cannot read a call: its {commands} commands are dropped")]
    MalformedCall {
        /// How many commands it carried.
        commands: usize,
    },
}

/// A controller on the platform, free of I/O and clocks.
pub struct PlatformController {
    decisions: Controller,
    class_names: Vec<String>,
    /// Least time between two batches that no timer asks for, in seconds.
    tick_interval: Seconds,
    single_owner: bool,
    batch: PendingBatch,
    timers: Timers,
    subscription: Subscription,
    assignments: PendingAssignments,
    hosts: HostDirectory,
    proxies: BTreeSet<ProxyId>,
    commands: PendingCommands,
    /// When the oldest commands were issued that the relay has not accepted.
    oldest_pending_at: Option<Seconds>,
    call: CallTracker,
    probes_outdated: u64,
}

impl PlatformController {
    /// A controller that knows the hosts of its configuration and nothing of the relay.
    pub fn new(config: &NodeConfig) -> PlatformController {
        let mut controller = PlatformController {
            decisions: Controller::new(config.controller.clone()),
            class_names: config.names.classes.clone(),
            tick_interval: config.tick_interval,
            single_owner: config.controller.single_owner,
            batch: PendingBatch { changed: true, ..PendingBatch::default() },
            timers: Timers::default(),
            subscription: Subscription::default(),
            assignments: PendingAssignments::default(),
            hosts: HostDirectory::default(),
            proxies: BTreeSet::new(),
            commands: PendingCommands::new(&config.controller),
            oldest_pending_at: None,
            call: CallTracker::default(),
            probes_outdated: 0,
        };
        controller.on_endpoint_page(0.0, &config.known);
        controller
    }

    /// A page of discovery. Returns whether it is new.
    pub fn on_endpoint_page(&mut self, now: Seconds, page: &EndpointPage) -> bool {
        let is_new = self.hosts.apply_page(now, page);
        if is_new {
            merge_list(&mut self.batch.events.endpoint_lists, page.list());
            self.batch.changed = true;
        }
        is_new
    }

    /// What the proxies of a zone saw of one host.
    pub fn on_host_load(&mut self, report: HostLoadReport) {
        self.batch.add_host_load(report);
    }

    /// What the proxies saw of one slice and class.
    pub fn on_slice_load(&mut self, report: SliceLoadReport) {
        self.batch.add_slice_load(report);
    }

    /// How a health check ended. One of a host that is gone, moved or started anew meanwhile is ignored.
    pub fn on_probe_result(&mut self, probe: &Probe, outcome: HealthCheckOutcome) {
        if self.hosts.is_current(probe) {
            self.batch.events.health_checks.push(HealthCheckResult { host: probe.host, outcome });
            self.batch.changed = true;
        } else {
            self.probes_outdated += 1;
        }
    }

    /// A subscription is about to be requested; must be told before the relay can know.
    pub fn on_subscription_requested(&mut self, id: SubscriptionId) {
        self.subscription.on_requested(id);
    }

    /// The connection of a subscription ended.
    pub fn on_subscription_ended(&mut self, id: SubscriptionId) {
        self.subscription.on_ended(id);
    }

    /// An event of a subscription; those of an older one than the newest confirmed one are ignored.
    pub fn on_relay_event(&mut self, now: Seconds, id: SubscriptionId, event: RelayEvent) {
        match self.subscription.on_event(now, id, event) {
            Update::None => {}
            Update::Subscribed => self.call.on_subscribed(id),
            Update::SnapshotEnded => self.complete_snapshot(),
            Update::SliceReassigned { slice, assigned } => self.discard_commands(slice, assigned),
            Update::BarrierAcked(ack) => self.batch.events.barrier_acks.push(ack),
            Update::Live(event) => self.on_live_event(now, event),
        }
    }

    fn on_live_event(&mut self, now: Seconds, event: RelayEvent) {
        self.batch.changed |= event != RelayEvent::Heartbeat;
        match event {
            RelayEvent::ProxyJoined { proxy, first } => self.add_stream_event(joined(proxy, first)),
            RelayEvent::ProxyLeft(proxy) => self.add_stream_event(ProxyStreamEvent::Disconnected(proxy)),
            RelayEvent::BarrierAcked(ack) => self.batch.events.barrier_acks.push(ack),
            RelayEvent::SliceAssigned { slice, assigned } => {
                self.discard_commands(slice, assigned);
                self.assignments.on_assigned(now, slice, assigned);
            }
            RelayEvent::StoredEntry { slice, line } => {
                let decisions = &self.decisions;
                let known_table = || {
                    let (_, lines) = decisions.assigned_tables().find(|(id, _)| *id == slice)?;
                    Some(lines.to_vec())
                };
                let batched = &mut self.batch.events.assignments;
                self.assignments.on_stored_entry(now, slice, line, self.single_owner, batched, known_table);
            }
            RelayEvent::Subscribed | RelayEvent::Heartbeat => {}
        }
    }

    fn add_stream_event(&mut self, event: ProxyStreamEvent) {
        match event {
            ProxyStreamEvent::Connected(proxy) | ProxyStreamEvent::Reconnected(proxy) => {
                self.proxies.insert(proxy);
            }
            ProxyStreamEvent::Disconnected(proxy) => {
                self.proxies.remove(&proxy);
            }
        }
        self.batch.events.proxy_streams.push(event);
    }

    /// Commands about a slice that changed hands are about its table as it was before. On which table those of the
    /// current call are carried out, only a snapshot shows.
    fn discard_commands(&mut self, slice: SliceId, assigned: bool) {
        let call_is_about_it = self.commands.discard_table(slice);
        if call_is_about_it && assigned {
            self.require_snapshot(ResubscribeReason::SliceReassigned);
        }
    }

    fn require_snapshot(&mut self, reason: ResubscribeReason) {
        self.call.require_snapshot(self.subscription.latest(), reason);
    }

    /// The snapshot is complete: it replaces what was believed.
    fn complete_snapshot(&mut self) {
        self.settle_call();
        let Some(snapshot) = self.subscription.complete_snapshot(self.single_owner) else { return };
        self.batch.changed = true;
        // Assignments of before are part of the snapshot; that a proxy left before it is not.
        self.assignments.assignments.clear();
        self.batch.events.assignments.clear();
        self.apply_proxies(&snapshot.proxies);
        self.apply_tables(snapshot.tables);
    }

    fn apply_proxies(&mut self, present: &BTreeMap<ProxyId, bool>) {
        let absent: Vec<ProxyId> =
            self.proxies.iter().copied().filter(|proxy| !present.contains_key(proxy)).collect();
        for proxy in absent {
            self.add_stream_event(ProxyStreamEvent::Disconnected(proxy));
        }
        // A proxy believed joined may have left and returned unseen: it counts as joined anew.
        for (proxy, first) in present {
            self.add_stream_event(joined(*proxy, *first));
        }
    }

    /// Assigns the slices whose table differs from what the decisions believe, and takes away those that are missing.
    fn apply_tables(&mut self, stored: BTreeMap<SliceId, Table>) {
        let mut believed: BTreeMap<SliceId, Table> =
            self.decisions.assigned_tables().map(|(slice, lines)| (slice, lines.to_vec())).collect();
        let assignments = &mut self.batch.events.assignments;
        for (slice, table) in stored {
            let entries = self.commands.table_when_accepted(slice, &table);
            let is_as_believed =
                believed.remove(&slice).is_some_and(|belief| tables_match(&belief, &entries));
            if !is_as_believed {
                assignments.push(SliceAssignment::Assigned { slice, entries });
            }
        }
        for slice in believed.into_keys() {
            assignments.push(SliceAssignment::Revoked { slice });
        }
    }

    /// Reads the outcome of a call from the snapshot, if it is not known and the snapshot shows it.
    fn settle_call(&mut self) {
        let Some(snapshot) = self.snapshot_after_call() else { return };
        let tables = snapshot.tables.clone();
        self.commands.reconcile(&tables);
        self.call.on_outcome_known();
    }

    /// The snapshot being received, if it was requested after a call ended whose outcome is not known.
    fn snapshot_after_call(&self) -> Option<&Snapshot> {
        let latest = self.call.outcome_unknown_at()?;
        self.subscription.snapshot_later_than(latest)
    }

    /// The same, once it has all tables that the call changes: a slice that has not come yet must not pass for one that
    /// is not assigned here any more.
    fn snapshot_covering_call(&self) -> Option<&Snapshot> {
        self.snapshot_after_call().filter(|snapshot| self.commands.call_is_covered_by(&snapshot.tables))
    }

    /// When [`PlatformController::poll`] has something to do, if no event comes before.
    pub fn next_deadline(&self) -> Option<Seconds> {
        let snapshot = self.subscription.idle_deadline();
        let call = self.snapshot_covering_call().map(|s| s.last_event_at + FIRST_SNAPSHOT_IDLE_TIMEOUT);
        let batch = if self.subscription.is_synchronized() { self.batch_deadline() } else { None };
        [snapshot, call, batch].into_iter().flatten().min_by(f64::total_cmp)
    }

    fn batch_deadline(&self) -> Option<Seconds> {
        let assignments = self.assignments.idle_deadline();
        let timer = self.timers.next_due();
        let tick = self.batch.changed.then_some(self.batch.handled_at + self.tick_interval);
        [assignments, timer, tick].into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Does what is due: ends a snapshot that has paused for long, and handles a batch.
    pub fn poll(&mut self, now: Seconds) -> Effects {
        if self.subscription.is_idle(now) {
            self.complete_snapshot();
        }
        let covering = self.snapshot_covering_call();
        if covering.is_some_and(|snapshot| now - snapshot.last_event_at >= FIRST_SNAPSHOT_IDLE_TIMEOUT) {
            self.settle_call();
        }
        if self.assignments.are_complete(now) {
            self.batch.events.assignments.append(&mut self.assignments.assignments);
            self.batch.changed = true;
        }
        if self.subscription.is_synchronized() && self.is_batch_due(now) {
            self.handle_batch(now)
        } else {
            Effects::default()
        }
    }

    fn is_batch_due(&self, now: Seconds) -> bool {
        let is_tick_due = self.batch.changed && now - self.batch.handled_at >= self.tick_interval;
        is_tick_due || self.timers.is_due(now)
    }

    /// Runs the decisions on the pending events.
    fn handle_batch(&mut self, now: Seconds) -> Effects {
        let expired = self.timers.take_expired(now);
        let events = self.next_batch(now, expired.iter().map(|timer| timer.id));
        let mut sink = BatchSink::new(&mut self.commands);
        self.decisions.handle_batch(&events, &mut sink);
        let BatchSink { probes, timers, notices, .. } = sink;
        if !self.commands.is_empty() {
            self.oldest_pending_at.get_or_insert(now);
        }
        for (after, id) in timers {
            self.timers.set(now + after, id);
        }
        Effects {
            probes: probes.into_iter().filter_map(|host| self.hosts.probe(host)).collect(),
            notices,
            batches: 1,
            timer_lateness: expired.iter().map(|timer| now - timer.due_at).collect(),
        }
    }

    fn next_batch(&mut self, now: Seconds, expired: impl Iterator<Item = railhub::TimerId>) -> EventBatch {
        if self.commands.is_empty() {
            self.oldest_pending_at = None;
        }
        let mut events = self.batch.take(now);
        events.timers.extend(expired);
        events.oldest_pending_at = self.oldest_pending_at;
        events
    }

    /// The next call to the relay, if one may leave ([`crate::call`]). Its end must come back by
    /// [`PlatformController::on_call_ended`].
    pub fn next_call(&mut self) -> Option<Call> {
        if self.call.blocker().is_some() {
            return None;
        }
        let call = self.commands.next_call(&self.class_names)?;
        self.call.on_sent();
        Some(call)
    }

    /// The call in flight ended; without a response its outcome is not known. Returns what was dropped, for the log.
    pub fn on_call_ended(&mut self, response: Option<CallResponse>) -> Option<DroppedCommands> {
        self.call.on_ended(self.subscription.latest());
        match response {
            None => {
                self.require_snapshot(ResubscribeReason::OutcomeUnknown);
                None
            }
            Some(CallResponse::Rejected) => None,
            Some(CallResponse::Malformed) => {
                Some(DroppedCommands::MalformedCall { commands: self.commands.drop_call() })
            }
            Some(CallResponse::Accepted(count)) => {
                let AcceptedCommands { accepted, refused } = self.commands.on_accepted(count);
                if self.subscription.on_accepted(accepted).is_err() {
                    self.require_snapshot(ResubscribeReason::SnapshotTooSlow);
                }
                refused.map(DroppedCommands::Refused)
            }
        }
    }

    /// Why a new subscription must be requested, if it must; given once.
    pub fn take_resubscribe_reason(&mut self) -> Option<ResubscribeReason> {
        let overflowed = std::mem::take(&mut self.commands.overflowed);
        let dropped = overflowed.then_some(ResubscribeReason::CommandsDropped);
        self.call.take_resubscribe_reason().or(dropped)
    }

    /// The generation of the list of hosts.
    pub fn generation(&self) -> u64 {
        self.hosts.generation()
    }

    /// Whether a first snapshot is complete, so that decisions are made.
    pub fn is_synchronized(&self) -> bool {
        self.subscription.is_synchronized()
    }

    /// Proxies whose stream is up.
    pub fn proxies_joined(&self) -> usize {
        self.proxies.len()
    }

    /// Hosts that discovery lists.
    pub fn hosts_listed(&self) -> usize {
        self.hosts.len()
    }

    /// Commands that the relay has not accepted.
    pub fn commands_pending(&self) -> usize {
        self.commands.len()
    }

    /// Commands dropped as a later one about the same came.
    pub fn commands_folded(&self) -> u64 {
        self.commands.folded
    }

    /// Admission rates dropped as their class has no name.
    pub fn commands_unnamed(&self) -> u64 {
        self.commands.unnamed
    }

    /// Load reports dropped for want of room.
    pub fn load_reports_dropped(&self) -> u64 {
        self.batch.load_reports_dropped
    }

    /// Health checks whose host was another by the time they ended.
    pub fn probes_outdated(&self) -> u64 {
        self.probes_outdated
    }
}

/// The stream of a proxy is up. `first`: it holds no table yet.
fn joined(proxy: ProxyId, first: bool) -> ProxyStreamEvent {
    if first {
        ProxyStreamEvent::Connected(proxy)
    } else {
        ProxyStreamEvent::Reconnected(proxy)
    }
}

#[cfg(test)]
mod tests;
