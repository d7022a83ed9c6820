//! What a snapshot changes, and when one is needed: the part of the controller that keeps the known state of proxies and
//! tables in line with the relay's.
//!
//! 1. An interruption of the subscription, a call of unknown outcome or a table that may be outdated requires a snapshot.
//! 2. Commands that were decided on a table which is another one by now, or may be, are dropped.
//! 3. A complete snapshot replaces the known proxies and tables.
use super::PlatformController;
use crate::call::ResubscribeReason;
use crate::command::Command;
use crate::sink::Notice;
use crate::snapshot_changes::{assignment_changes, stream_changes, tables_changed_elsewhere};
use crate::subscription::Snapshot;
use crate::table::Table;
use railhub::SliceId;
use std::collections::BTreeMap;

impl PlatformController {
    /// Whether every change of the relay's state is received, and no pending command was lost.
    pub(super) fn is_observing(&self) -> bool {
        self.subscription.is_current() && !self.commands.overflowed
    }

    pub(super) fn note_interruption(&mut self) {
        if !self.is_observing() {
            self.observation.on_interrupted();
        }
    }

    /// Drops the pending commands for a slice, which were decided for another table. Only a snapshot shows whether those
    /// of a call that may be carried out are applied before or after the reassignment.
    pub(super) fn discard_commands(&mut self, slice: SliceId, assigned: bool) {
        let is_outdated = |command: &Command| command.changes_table(slice);
        self.commands_discarded += self.commands.discard_queued(is_outdated) as u64;
        if self.call.blocker().is_none() {
            self.commands_discarded += self.commands.discard_in_call(is_outdated) as u64;
        } else if self.commands.call_contains(is_outdated) && assigned {
            self.require_snapshot(ResubscribeReason::SliceReassigned);
        }
    }

    /// A slice was assigned or revoked. Its table may be from before a command that was accepted already.
    pub(super) fn on_slice_reassigned(&mut self, slice: SliceId, assigned: bool) {
        self.discard_commands(slice, assigned);
        if assigned && self.recent_changes.contains(self.latest_event_at, slice) {
            self.require_snapshot(ResubscribeReason::SliceReassigned);
        }
    }

    /// With a single owner, drops the commands that name an owner and that no call carries. They were decided when no
    /// write to a former owner was in progress, which may be otherwise once changes may have been missed.
    pub(super) fn discard_owner_commands(&mut self) {
        if !self.single_owner {
            return;
        }
        self.commands_discarded += self.commands.discard_queued(Command::names_host) as u64;
        if self.call.blocker().is_none() {
            self.commands_discarded += self.commands.discard_in_call(Command::names_host) as u64;
        }
    }

    pub(super) fn require_snapshot(&mut self, reason: ResubscribeReason) {
        self.call.require_snapshot(self.subscription.newest_requested(), reason);
        self.note_interruption();
    }

    /// The snapshot is complete: it replaces the known state of proxies and slices.
    pub(super) fn complete_snapshot(&mut self) {
        self.resolve_call_outcome();
        let Some(snapshot) = self.subscription.complete_snapshot(self.single_owner) else { return };
        self.batch.changed = true;
        // The snapshot includes the earlier assignments, but not that a proxy disconnected before it.
        self.pending_assignments.clear();
        self.batch.events.assignments.clear();
        for event in stream_changes(&self.proxies, &snapshot.proxies) {
            self.add_stream_event(event);
        }
        self.apply_tables(&snapshot.tables);
        if self.single_owner && self.commands.call_contains(|command| command.table().is_some()) {
            self.require_snapshot_after_call();
        }
    }

    /// The call in flight changes tables, and the snapshot does not show whether it was carried out while their slices
    /// were assigned to this controller.
    fn require_snapshot_after_call(&mut self) {
        if self.call.blocker().is_some() {
            self.require_snapshot(ResubscribeReason::AcceptedUnobserved);
        }
    }

    /// Assigns the stored tables to the decision logic where they differ from those that it knows. The comparison uses
    /// each stored table with all pending commands applied.
    pub(super) fn apply_tables(&mut self, stored: &BTreeMap<SliceId, Table>) {
        let known = self.decisions.assigned_tables().map(|(slice, table)| (slice, table.to_vec())).collect();
        let discarded_before = self.commands_discarded;
        self.discard_owner_commands();
        let changed = tables_changed_elsewhere(&known, &self.expected_tables(stored));
        for slice in &changed {
            self.discard_commands(*slice, true);
        }
        self.snapshot_notice = Some(Notice::SnapshotApplied {
            proxies: self.proxies.len(),
            slices: stored.len(),
            tables_changed: changed.len(),
            commands_discarded: self.commands_discarded - discarded_before,
        });
        let expected = self.expected_tables(stored);
        self.batch.events.assignments.extend(assignment_changes(known, expected, self.single_owner));
    }

    /// The stored tables with all pending commands applied.
    pub(super) fn expected_tables(&self, stored: &BTreeMap<SliceId, Table>) -> BTreeMap<SliceId, Table> {
        let expected =
            |(slice, table): (&SliceId, &Table)| (*slice, self.commands.table_when_accepted(*slice, table));
        stored.iter().map(expected).collect()
    }

    /// Determines an unknown outcome of a call from the snapshot being received, if that shows it.
    pub(super) fn resolve_call_outcome(&mut self) {
        let Some(snapshot) = self.snapshot_after_call() else { return };
        let tables = snapshot.tables.clone();
        self.commands.reconcile(&tables);
        self.call.on_outcome_known();
    }

    /// The snapshot being received, if it was requested after the end of a call whose outcome is unknown.
    pub(super) fn snapshot_after_call(&self) -> Option<&Snapshot> {
        let latest = self.call.newest_subscription_without_outcome()?;
        self.subscription.snapshot_later_than(latest)
    }

    /// The snapshot of [`Self::snapshot_after_call`], once it contains every table that the call changes. Otherwise a
    /// slice that has not been received yet would count as one that is no longer assigned to this controller.
    pub(super) fn snapshot_covering_call(&self) -> Option<&Snapshot> {
        self.snapshot_after_call().filter(|snapshot| self.commands.call_is_covered_by(&snapshot.tables))
    }
}
