//! Collects events of the peers into batches, runs the decision logic on them, and provides its commands as calls.
//!
//! Owns the decision logic and connects it with the modules around it: [`crate::subscription`] (which subscription is
//! current, and its snapshot), [`crate::call`] (whether a call may be sent), [`crate::pending_commands`] (the contents
//! of the call), [`crate::host_directory`], [`crate::slice_assignments`] and [`crate::batch`].
//!
//! How an event is processed:
//! 1. A handler, `on_EVENT`, adds it to the pending batch, or to the snapshot while one is being received.
//! 2. [`PlatformController::next_deadline`] returns when the next batch is due. No decisions are made before the first
//!    snapshot is complete.
//! 3. [`PlatformController::poll`] passes the batch to the decision logic and queues the resulting commands.
//! 4. [`PlatformController::next_call`] returns the call that carries them, one at a time.
//! 5. [`PlatformController::on_call_ended`] handles the response. Without a response, the snapshot of a later
//!    subscription shows the outcome ([`PlatformController::take_resubscribe_reason`]).
mod counters;
mod resynchronization;

use crate::batch::{PendingBatch, Timers};
use crate::call::{CallTracker, ResubscribeReason};
use crate::command::Command;
use crate::config::NodeConfig;
use crate::effects::{DroppedCommands, Effects};
use crate::endpoints::EndpointPage;
use crate::host_directory::{merge_list, HealthCheck, HostDirectory};
use crate::observation::ObservationTracker;
use crate::pending_commands::{AcceptedCommands, PendingCommands};
use crate::recent_table_changes::RecentTableChanges;
use crate::relay::{Call, CallResponse, RelayEvent, SubscriptionId};
use crate::sink::{BatchSink, Notice};
use crate::slice_assignments::PendingAssignments;
use crate::snapshot_changes::stream_established;
use crate::subscription::{EventOutcome, Snapshot, Subscription};
use railhub::{
    Controller, EventBatch, HealthCheckOutcome, HealthCheckResult, HostLoadReport, ProxyId, ProxyStreamEvent,
    Seconds, SliceLoadReport,
};
use std::collections::BTreeSet;

/// A controller on the platform, without I/O or clocks.
pub struct PlatformController {
    decisions: Controller,
    class_names: Vec<String>,
    /// Minimum time between two batches if no timer expires, in seconds. The decision logic's own tick is a timer.
    min_batch_interval: Seconds,
    single_owner: bool,
    batch: PendingBatch,
    timers: Timers,
    subscription: Subscription,
    observation: ObservationTracker,
    pending_assignments: PendingAssignments,
    hosts: HostDirectory,
    proxies: BTreeSet<ProxyId>,
    commands: PendingCommands,
    /// With a single owner, the tables that accepted commands have changed recently.
    recent_changes: RecentTableChanges,
    /// The latest time that the driver has passed.
    latest_event_at: Seconds,
    /// Time of the batch since which commands have been pending without interruption. The oldest command that is
    /// pending now may be newer.
    oldest_pending_at: Option<Seconds>,
    call: CallTracker,
    health_checks_stale: u64,
    commands_discarded: u64,
    /// The latest snapshot, for the log of the next batch.
    snapshot_notice: Option<Notice>,
}

impl PlatformController {
    /// Creates a controller that knows the hosts of its configuration and nothing about the relay's state.
    pub fn new(config: &NodeConfig) -> PlatformController {
        let mut controller = PlatformController {
            decisions: Controller::new(config.controller.clone()),
            class_names: config.names.classes.clone(),
            min_batch_interval: config.min_batch_interval,
            single_owner: config.controller.single_owner,
            batch: PendingBatch { changed: true, ..PendingBatch::default() },
            timers: Timers::default(),
            subscription: Subscription::default(),
            observation: ObservationTracker::default(),
            pending_assignments: PendingAssignments::default(),
            hosts: HostDirectory::default(),
            proxies: BTreeSet::new(),
            commands: PendingCommands::new(&config.controller),
            recent_changes: RecentTableChanges::default(),
            latest_event_at: 0.0,
            oldest_pending_at: None,
            call: CallTracker::default(),
            health_checks_stale: 0,
            commands_discarded: 0,
            snapshot_notice: None,
        };
        controller.on_endpoint_page(0.0, &config.known_endpoints);
        controller
    }

    /// Handles a page of the endpoint list. Returns whether the page is new.
    pub fn on_endpoint_page(&mut self, now: Seconds, page: &EndpointPage) -> bool {
        let is_new = self.hosts.apply_page(now, page);
        if is_new {
            merge_list(&mut self.batch.events.endpoint_lists, page.list());
            self.batch.changed = true;
        }
        is_new
    }

    /// Handles a load report of one host, from the proxies of one zone.
    pub fn on_host_load(&mut self, report: HostLoadReport) {
        self.batch.add_host_load(report);
    }

    /// Handles a load report of one slice and class.
    pub fn on_slice_load(&mut self, report: SliceLoadReport) {
        self.batch.add_slice_load(report);
    }

    /// Handles the result of a health check. It is ignored if the host is gone, moved or restarted in the meantime.
    pub fn on_health_check_result(&mut self, health_check: &HealthCheck, outcome: HealthCheckOutcome) {
        if self.hosts.is_current(health_check) {
            self.batch.events.health_checks.push(HealthCheckResult { host: health_check.host, outcome });
            self.batch.changed = true;
        } else {
            self.health_checks_stale += 1;
        }
    }

    /// A subscription is about to be requested. Must be called before the request is sent.
    pub fn on_subscription_requested(&mut self, id: SubscriptionId) {
        self.subscription.on_requested(id);
        self.note_interruption();
    }

    /// The connection of a subscription ended.
    pub fn on_subscription_ended(&mut self, id: SubscriptionId) {
        self.subscription.on_ended(id);
        self.note_interruption();
    }

    /// Handles an event of a subscription. Events of subscriptions older than the newest confirmed one are ignored.
    pub fn on_relay_event(&mut self, now: Seconds, id: SubscriptionId, event: RelayEvent) {
        self.latest_event_at = now;
        match self.subscription.on_event(now, id, event) {
            EventOutcome::None => {}
            EventOutcome::Subscribed => {
                self.call.on_subscribed(id);
                self.note_interruption();
            }
            EventOutcome::SnapshotEnded => self.complete_snapshot(),
            EventOutcome::SliceReassigned { slice, assigned } => self.on_slice_reassigned(slice, assigned),
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
                self.on_slice_reassigned(slice, assigned);
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

    /// When [`PlatformController::poll`] is due next if no event arrives before.
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

    /// Performs due work: completes a snapshot whose events have paused for its idle timeout, and handles a batch.
    pub fn poll(&mut self, now: Seconds) -> Effects {
        self.latest_event_at = now;
        if self.subscription.is_idle(now) {
            self.complete_snapshot();
        }
        if self.snapshot_covering_call().is_some_and(|snapshot| snapshot.shows_outcomes(now)) {
            self.resolve_call_outcome();
        }
        if self.pending_assignments.are_complete(now) {
            self.apply_pending_assignments();
        }
        if self.subscription.may_decide() && self.is_batch_due(now) {
            self.handle_batch(now)
        } else {
            Effects::default()
        }
    }

    /// Moves the assignments into the next batch. Commands for their slices that were queued or accepted since the
    /// assignments were received were decided for the previous tables.
    fn apply_pending_assignments(&mut self) {
        for (slice, assigned) in self.pending_assignments.slices() {
            self.on_slice_reassigned(slice, assigned);
        }
        self.pending_assignments.move_into(&mut self.batch.events.assignments);
        self.batch.changed = true;
    }

    fn is_batch_due(&self, now: Seconds) -> bool {
        let changes_due = self.batch.changed && now - self.batch.handled_at >= self.min_batch_interval;
        changes_due || self.timers.is_due(now)
    }

    /// Runs the decision logic on the pending events.
    fn handle_batch(&mut self, now: Seconds) -> Effects {
        let expired = self.timers.take_expired(now);
        let events = self.next_batch(now, expired.iter().map(|timer| timer.id));
        let mut sink = BatchSink::new(&mut self.commands);
        self.decisions.handle_batch(&events, &mut sink);
        let BatchSink { health_checks, timers, mut notices, .. } = sink;
        notices.extend(self.snapshot_notice.take());
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
        let is_late = self.subscription.is_silent(now) || !self.pending_assignments.is_empty();
        events.observation = self.observation.next_batch(self.is_observing(), is_late);
        events.oldest_pending_at = self.oldest_pending_at;
        events
    }

    /// The next call to the relay, if one may be sent: none is in flight, and the outcome of the last one is known. The
    /// driver must report its end with [`PlatformController::on_call_ended`].
    pub fn next_call(&mut self) -> Option<Call> {
        if self.call.blocker().is_some() {
            return None;
        }
        if !self.is_observing() {
            self.discard_owner_commands();
        }
        let call = self.commands.next_call(&self.class_names)?;
        self.call.on_sent();
        Some(call)
    }

    /// The call in flight ended; without a response its outcome is unknown. Returns the dropped commands, for the log.
    pub fn on_call_ended(&mut self, response: Option<CallResponse>) -> Option<DroppedCommands> {
        self.call.on_ended(self.subscription.newest_requested());
        match response {
            None => {
                self.require_snapshot(ResubscribeReason::OutcomeUnknown);
                None
            }
            Some(CallResponse::Rejected) => None,
            Some(CallResponse::Malformed) => {
                let dropped = self.commands.drop_call();
                self.on_dropped(&dropped);
                Some(DroppedCommands::MalformedCall { commands: dropped.len() })
            }
            Some(CallResponse::Accepted(count)) => {
                let AcceptedCommands { accepted, refused } = self.commands.on_accepted(count);
                if self.single_owner {
                    self.recent_changes.on_accepted(self.latest_event_at, &accepted);
                }
                let changes_tables = accepted.iter().any(|command| command.table().is_some());
                if self.single_owner && !self.is_observing() && changes_tables {
                    self.require_snapshot(ResubscribeReason::AcceptedUnobserved);
                }
                if self.subscription.on_accepted(accepted).is_err() {
                    self.require_snapshot(ResubscribeReason::SnapshotTooSlow);
                }
                self.on_dropped(refused.as_slice());
                refused.map(DroppedCommands::Refused)
            }
        }
    }

    /// Reports the exclusions and readmissions among dropped commands to the decision logic. What the store has instead
    /// of the dropped entries of tables is shown by a snapshot. With a single owner it must be known at once: a table
    /// that counts as cleared, but is not, would soon be given another owner.
    fn on_dropped(&mut self, dropped: &[Command]) {
        if self.single_owner && dropped.iter().any(|command| command.table().is_some()) {
            self.require_snapshot(ResubscribeReason::TableCommandDropped);
        }
        let undelivered = dropped.iter().filter_map(Command::undelivered_exclusion);
        self.batch.events.undelivered_exclusions.extend(undelivered);
        self.batch.changed |= !self.batch.events.undelivered_exclusions.is_empty();
    }

    /// Returns why a new subscription must be requested, if it must, and clears the reason.
    pub fn take_resubscribe_reason(&mut self) -> Option<ResubscribeReason> {
        let overflowed = std::mem::take(&mut self.commands.overflowed);
        let dropped = overflowed.then_some(ResubscribeReason::CommandsDropped);
        self.call.take_resubscribe_reason().or(dropped)
    }
}

#[cfg(test)]
mod tests;
