//! Gathers what peers send into batches, runs the decisions on them, and hands commands to the relay's driver.
//!
//! Owns the decisions and wires the parts around them, each with one job: [`crate::subscription`] (whose events count,
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
use crate::config::NodeConfig;
use crate::effects::{DroppedCommands, Effects};
use crate::endpoints::EndpointPage;
use crate::host_directory::{merge_list, HealthCheck, HostDirectory};
use crate::pending_commands::{AcceptedCommands, PendingCommands};
use crate::relay::{Call, CallResponse, RelayEvent, SubscriptionId};
use crate::sink::BatchSink;
use crate::slice_assignments::PendingAssignments;
use crate::snapshot_changes::{assignment_changes, stream_changes, stream_established};
use crate::subscription::{EventOutcome, Snapshot, Subscription};
use crate::table::Table;
use railhub::{
    Controller, EventBatch, HealthCheckOutcome, HealthCheckResult, HostLoadReport, ProxyId, ProxyStreamEvent,
    Seconds, SliceId, SliceLoadReport,
};
use std::collections::{BTreeMap, BTreeSet};

/// A controller on the platform, free of I/O and clocks.
pub struct PlatformController {
    decisions: Controller,
    class_names: Vec<String>,
    /// Least time between two batches without an expired timer, in seconds. No tick of the decisions: that is a timer.
    min_batch_interval: Seconds,
    single_owner: bool,
    batch: PendingBatch,
    timers: Timers,
    subscription: Subscription,
    pending_assignments: PendingAssignments,
    hosts: HostDirectory,
    proxies: BTreeSet<ProxyId>,
    commands: PendingCommands,
    /// Since when there have been commands, at each batch, that the relay had not accepted; the oldest may be newer.
    oldest_pending_at: Option<Seconds>,
    call: CallTracker,
    health_checks_stale: u64,
}

impl PlatformController {
    /// A controller that knows the hosts of its configuration and nothing of the relay.
    pub fn new(config: &NodeConfig) -> PlatformController {
        let mut controller = PlatformController {
            decisions: Controller::new(config.controller.clone()),
            class_names: config.names.classes.clone(),
            min_batch_interval: config.min_batch_interval,
            single_owner: config.controller.single_owner,
            batch: PendingBatch { changed: true, ..PendingBatch::default() },
            timers: Timers::default(),
            subscription: Subscription::default(),
            pending_assignments: PendingAssignments::default(),
            hosts: HostDirectory::default(),
            proxies: BTreeSet::new(),
            commands: PendingCommands::new(&config.controller),
            oldest_pending_at: None,
            call: CallTracker::default(),
            health_checks_stale: 0,
        };
        controller.on_endpoint_page(0.0, &config.known_endpoints);
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
    pub fn on_health_check_result(&mut self, health_check: &HealthCheck, outcome: HealthCheckOutcome) {
        if self.hosts.is_current(health_check) {
            self.batch.events.health_checks.push(HealthCheckResult { host: health_check.host, outcome });
            self.batch.changed = true;
        } else {
            self.health_checks_stale += 1;
        }
    }

    /// A subscription is about to be requested; must come before the relay can know of it.
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
            EventOutcome::None => {}
            EventOutcome::Subscribed => self.call.on_subscribed(id),
            EventOutcome::SnapshotEnded => self.complete_snapshot(),
            EventOutcome::SliceReassigned { slice, assigned } => self.discard_commands(slice, assigned),
            EventOutcome::BarrierAcked(ack) => self.batch.events.barrier_acks.push(ack),
            EventOutcome::Live(event) => self.on_live_event(now, event),
        }
    }

    fn on_live_event(&mut self, now: Seconds, event: RelayEvent) {
        self.batch.changed |= event != RelayEvent::Heartbeat;
        match event {
            RelayEvent::ProxyJoined { proxy, first } => {
                self.add_stream_event(stream_established(proxy, first))
            }
            RelayEvent::ProxyLeft(proxy) => self.add_stream_event(ProxyStreamEvent::Disconnected(proxy)),
            RelayEvent::BarrierAcked(ack) => self.batch.events.barrier_acks.push(ack),
            RelayEvent::SliceAssigned { slice, assigned } => {
                self.discard_commands(slice, assigned);
                self.pending_assignments.on_assigned(now, slice, assigned);
            }
            RelayEvent::StoredEntry { slice, line: entry } => {
                let decisions = &self.decisions;
                let known_table = || {
                    let (_, entries) = decisions.assigned_tables().find(|(id, _)| *id == slice)?;
                    Some(entries.to_vec())
                };
                let batched = &mut self.batch.events.assignments;
                self.pending_assignments.on_stored_entry(
                    now,
                    slice,
                    entry,
                    self.single_owner,
                    batched,
                    known_table,
                );
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
        let call_changes_slice = self.commands.discard_queued_for(slice);
        if call_changes_slice && assigned {
            self.require_snapshot(ResubscribeReason::SliceReassigned);
        }
    }

    fn require_snapshot(&mut self, reason: ResubscribeReason) {
        self.call.require_snapshot(self.subscription.newest_requested(), reason);
    }

    /// The snapshot is complete: it replaces what was known of proxies and slices.
    fn complete_snapshot(&mut self) {
        self.settle_call();
        let Some(snapshot) = self.subscription.complete_snapshot(self.single_owner) else { return };
        self.batch.changed = true;
        // Assignments of before are part of the snapshot; that a proxy left before it is not.
        self.pending_assignments.clear();
        self.batch.events.assignments.clear();
        for event in stream_changes(&self.proxies, &snapshot.proxies) {
            self.add_stream_event(event);
        }
        self.apply_tables(&snapshot.tables);
    }

    /// The tables of the decisions, with what the store will hold in place of what it holds: a table differs if it does
    /// so once all commands are accepted.
    fn apply_tables(&mut self, stored: &BTreeMap<SliceId, Table>) {
        let known = self.decisions.assigned_tables().map(|(slice, table)| (slice, table.to_vec())).collect();
        let mut expected = BTreeMap::new();
        for (slice, table) in stored {
            expected.insert(*slice, self.commands.table_when_accepted(*slice, table));
        }
        self.batch.events.assignments.extend(assignment_changes(known, expected));
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
        let latest = self.call.newest_subscription_without_outcome()?;
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
        let call = self.snapshot_covering_call().map(Snapshot::outcome_deadline);
        let batch = if self.subscription.may_decide() { self.batch_deadline() } else { None };
        [snapshot, call, batch].into_iter().flatten().min_by(f64::total_cmp)
    }

    fn batch_deadline(&self) -> Option<Seconds> {
        let assignments = self.pending_assignments.idle_deadline();
        let timer = self.timers.next_due();
        let changes = self.batch.changed.then_some(self.batch.handled_at + self.min_batch_interval);
        [assignments, timer, changes].into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Does what is due: ends a snapshot that has paused for long, and handles a batch.
    pub fn poll(&mut self, now: Seconds) -> Effects {
        if self.subscription.is_idle(now) {
            self.complete_snapshot();
        }
        if self.snapshot_covering_call().is_some_and(|snapshot| snapshot.shows_outcomes(now)) {
            self.settle_call();
        }
        if self.pending_assignments.are_complete(now) {
            self.pending_assignments.move_into(&mut self.batch.events.assignments);
            self.batch.changed = true;
        }
        if self.subscription.may_decide() && self.is_batch_due(now) {
            self.handle_batch(now)
        } else {
            Effects::default()
        }
    }

    fn is_batch_due(&self, now: Seconds) -> bool {
        let are_changes_due = self.batch.changed && now - self.batch.handled_at >= self.min_batch_interval;
        are_changes_due || self.timers.is_due(now)
    }

    /// Runs the decisions on the pending events.
    fn handle_batch(&mut self, now: Seconds) -> Effects {
        let expired = self.timers.take_expired(now);
        let events = self.next_batch(now, expired.iter().map(|timer| timer.id));
        let mut sink = BatchSink::new(&mut self.commands);
        self.decisions.handle_batch(&events, &mut sink);
        let BatchSink { health_checks, timers, notices, .. } = sink;
        if !self.commands.is_empty() {
            self.oldest_pending_at.get_or_insert(now);
        }
        for (after, id) in timers {
            self.timers.set(now + after, id);
        }
        Effects {
            health_checks: health_checks
                .into_iter()
                .filter_map(|host| self.hosts.health_check(host))
                .collect(),
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

    /// The next call to the relay, if one may leave: none is in flight, and the outcome of the last one is known. Its
    /// end must come back by [`PlatformController::on_call_ended`].
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
        self.call.on_ended(self.subscription.newest_requested());
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
        self.subscription.may_decide()
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
    pub fn commands_coalesced(&self) -> u64 {
        self.commands.coalesced
    }

    /// Admission rates dropped as their class has no name.
    pub fn unnamed_classes(&self) -> u64 {
        self.commands.unnamed_classes
    }

    /// Load reports dropped for want of room.
    pub fn load_reports_dropped(&self) -> u64 {
        self.batch.load_reports_dropped
    }

    /// Health checks whose host was another by the time they ended.
    pub fn health_checks_stale(&self) -> u64 {
        self.health_checks_stale
    }
}

#[cfg(test)]
mod tests;
