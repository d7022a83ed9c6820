//! The subscription to the relay: which one is current, and whether its snapshot is complete.
//!
//! Owns the snapshot while it is being received, and the commands that the relay accepts meanwhile. The relay starts
//! each subscription with a snapshot of its state, which ends with the first heartbeat or with a pause. Events after it
//! are live. Requests, events and ends carry the id of their subscription; only the newest confirmed one is current.
use crate::command::Command;
use crate::relay::{RelayEvent, SubscriptionId};
use crate::table::{set_weight, Table};
use railhub::{BarrierAck, ProxyId, Seconds, SliceId, WeightedHost};
use std::collections::{BTreeMap, BTreeSet};

/// Time without an event after which the first snapshot counts as complete. Later entries are added as live events.
const FIRST_SNAPSHOT_IDLE_TIMEOUT: Seconds = 0.1;
/// Time without an event after which a later snapshot counts as complete. Known proxies and slices that are missing
/// from it count as lost.
const SNAPSHOT_IDLE_TIMEOUT: Seconds = 1.5;
/// Time without an event after which the tables received so far count as complete, to determine the outcome of a call.
const TABLES_IDLE_TIMEOUT: Seconds = 0.1;
/// Time without an event after which the news of a subscription may be late: a heartbeat is due each second.
const NEWS_TIMEOUT: Seconds = 1.5;
/// Maximum number of accepted commands kept while a snapshot is pending. Beyond it a new subscription is needed.
const MAX_ACCEPTED_SINCE_SNAPSHOT: usize = 20_000;

/// The state of the subscription.
///
/// | from | event | to |
/// | --- | --- | --- |
/// | `AwaitingFirstSnapshot` | the relay confirms a subscription | `ReceivingFirstSnapshot` |
/// | `ReceivingFirstSnapshot` | heartbeat, or 0.1 s without an event | `Synchronized` |
/// | `ReceivingFirstSnapshot` | its connection ends | `AwaitingFirstSnapshot` |
/// | `Synchronized` | the relay confirms a newer subscription | `ReceivingSnapshot` |
/// | `ReceivingSnapshot` | heartbeat, or 1.5 s without an event | `Synchronized` |
/// | `ReceivingSnapshot` | its connection ends | `Synchronized` |
/// | a receiving state | the relay confirms a newer subscription | same state, empty snapshot |
///
/// An incomplete snapshot is discarded: the state of the last complete one stays in force, however long the relay is
/// unreachable.
#[derive(Debug, Default)]
enum State {
    /// No decisions are made.
    #[default]
    AwaitingFirstSnapshot,
    /// No decisions are made.
    ReceivingFirstSnapshot(Snapshot),
    /// Decisions are made; events are live.
    Synchronized,
    /// Decisions are based on the state known before; events are added to the snapshot.
    ReceivingSnapshot(Snapshot),
}

/// The relay's state as sent at the start of a subscription.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// The connected proxies, each with whether it holds no table yet.
    pub(crate) proxies: BTreeMap<ProxyId, bool>,
    /// The table of each slice assigned to this controller.
    pub(crate) tables: BTreeMap<SliceId, Table>,
    last_event_at: Seconds,
    subscription: SubscriptionId,
}

/// A command that the relay accepted, and the newest subscription requested at that time.
#[derive(Debug)]
struct AcceptedCommand {
    latest: SubscriptionId,
    command: Command,
}

/// More commands were accepted than are kept while a snapshot is pending.
#[derive(Debug, PartialEq)]
pub(crate) struct TooManyAccepted;

/// The effect of an event on the rest of the controller.
#[derive(Debug, PartialEq)]
pub(crate) enum EventOutcome {
    /// Nothing: it belongs to an old subscription, or was added to the snapshot.
    None,
    /// A newer subscription is current from now on.
    Subscribed,
    /// The heartbeat that ends the snapshot.
    SnapshotEnded,
    /// A slice of the snapshot was assigned again or revoked.
    SliceReassigned { slice: SliceId, assigned: bool },
    /// An acknowledgement, which is not part of the snapshot.
    BarrierAcked(BarrierAck),
    /// An event after the snapshot.
    Live(RelayEvent),
}

/// The subscription to the relay.
#[derive(Debug, Default)]
pub(crate) struct Subscription {
    state: State,
    /// The newest confirmed subscription. Events of others are ignored.
    current: SubscriptionId,
    /// Whether the connection of the current subscription has ended.
    has_current_ended: bool,
    /// When the current subscription last received an event.
    last_event_at: Seconds,
    /// The newest subscription that was requested.
    newest_requested: SubscriptionId,
    /// Requested subscriptions whose connection has not ended and whose snapshot is not complete.
    snapshots_pending: BTreeSet<SubscriptionId>,
    /// Commands accepted while a snapshot was pending: the relay may have taken the snapshot before it applied them.
    accepted_since_snapshot: Vec<AcceptedCommand>,
}

impl Subscription {
    /// Whether a first snapshot is complete and decisions may be made.
    pub(crate) fn may_decide(&self) -> bool {
        matches!(self.state, State::Synchronized | State::ReceivingSnapshot(_))
    }

    /// Whether every change of the relay's state is received as an event: the snapshot is complete, its connection is
    /// open, and no configuration with another relay has been read since.
    pub(crate) fn is_current(&self) -> bool {
        let is_superseded = self.newest_requested.config_version > self.current.config_version;
        matches!(self.state, State::Synchronized) && !self.has_current_ended && !is_superseded
    }

    /// Whether the current subscription has received no event for so long that its news may be late.
    pub(crate) fn is_silent(&self, now: Seconds) -> bool {
        now - self.last_event_at >= NEWS_TIMEOUT
    }

    /// The newest subscription that was requested.
    pub(crate) fn newest_requested(&self) -> SubscriptionId {
        self.newest_requested
    }

    /// A subscription is about to be requested. Must be called before the request is sent.
    pub(crate) fn on_requested(&mut self, id: SubscriptionId) {
        self.newest_requested = self.newest_requested.max(id);
        self.snapshots_pending.insert(id);
    }

    /// A subscription's connection ended; its incomplete snapshot is discarded.
    pub(crate) fn on_ended(&mut self, id: SubscriptionId) {
        if self.snapshot().is_some_and(|snapshot| snapshot.subscription == id) {
            self.take_snapshot();
        }
        self.has_current_ended |= id == self.current;
        self.snapshots_pending.remove(&id);
        self.discard_accepted_unless_pending();
    }

    /// Handles an event of a subscription.
    pub(crate) fn on_event(&mut self, now: Seconds, id: SubscriptionId, event: RelayEvent) -> EventOutcome {
        if event == RelayEvent::Subscribed {
            return self.on_confirmed(now, id);
        }
        if id != self.current {
            return EventOutcome::None;
        }
        self.last_event_at = now;
        let Some(snapshot) = self.snapshot_mut() else { return EventOutcome::Live(event) };
        if event == RelayEvent::Heartbeat {
            return EventOutcome::SnapshotEnded;
        }
        snapshot.last_event_at = now;
        let outcome = snapshot.add(event);
        if let EventOutcome::SliceReassigned { slice, .. } = outcome {
            self.accepted_since_snapshot.retain(|accepted| !accepted.command.changes_table(slice));
        }
        outcome
    }

    /// The relay confirmed a subscription. It is ignored if it is older than the current one.
    fn on_confirmed(&mut self, now: Seconds, id: SubscriptionId) -> EventOutcome {
        if id <= self.current {
            return EventOutcome::None;
        }
        self.current = id;
        self.has_current_ended = false;
        self.last_event_at = now;
        let snapshot = Snapshot { last_event_at: now, subscription: id, ..Snapshot::default() };
        self.state = if self.may_decide() {
            State::ReceivingSnapshot(snapshot)
        } else {
            State::ReceivingFirstSnapshot(snapshot)
        };
        EventOutcome::Subscribed
    }

    /// The relay accepted these commands.
    ///
    /// # Errors
    /// More than [`MAX_ACCEPTED_SINCE_SNAPSHOT`] are kept for the pending snapshot. All of them are discarded.
    pub(crate) fn on_accepted(&mut self, commands: Vec<Command>) -> Result<(), TooManyAccepted> {
        if !self.snapshots_pending.is_empty() {
            let latest = self.newest_requested;
            let accepted = commands.into_iter().map(|command| AcceptedCommand { latest, command });
            self.accepted_since_snapshot.extend(accepted);
        }
        if self.accepted_since_snapshot.len() > MAX_ACCEPTED_SINCE_SNAPSHOT {
            self.accepted_since_snapshot.clear();
            return Err(TooManyAccepted);
        }
        Ok(())
    }

    /// The snapshot being received.
    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        match &self.state {
            State::ReceivingFirstSnapshot(snapshot) | State::ReceivingSnapshot(snapshot) => Some(snapshot),
            State::AwaitingFirstSnapshot | State::Synchronized => None,
        }
    }

    fn snapshot_mut(&mut self) -> Option<&mut Snapshot> {
        match &mut self.state {
            State::ReceivingFirstSnapshot(snapshot) | State::ReceivingSnapshot(snapshot) => Some(snapshot),
            State::AwaitingFirstSnapshot | State::Synchronized => None,
        }
    }

    /// The snapshot being received, if its subscription is later than this one.
    pub(crate) fn snapshot_later_than(&self, id: SubscriptionId) -> Option<&Snapshot> {
        self.snapshot().filter(|snapshot| snapshot.subscription > id)
    }

    /// Leaves a receiving state and returns its snapshot.
    fn take_snapshot(&mut self) -> Option<Snapshot> {
        let (next, snapshot) = match std::mem::take(&mut self.state) {
            State::ReceivingFirstSnapshot(snapshot) => (State::AwaitingFirstSnapshot, Some(snapshot)),
            State::ReceivingSnapshot(snapshot) => (State::Synchronized, Some(snapshot)),
            other => (other, None),
        };
        self.state = next;
        snapshot
    }

    fn idle_timeout(&self) -> Seconds {
        if self.may_decide() {
            SNAPSHOT_IDLE_TIMEOUT
        } else {
            FIRST_SNAPSHOT_IDLE_TIMEOUT
        }
    }

    /// When the snapshot counts as complete if no event arrives before.
    pub(crate) fn idle_deadline(&self) -> Option<Seconds> {
        self.snapshot().map(|snapshot| snapshot.last_event_at + self.idle_timeout())
    }

    /// Whether the snapshot has received no event for its idle timeout, so that it counts as complete.
    pub(crate) fn is_idle(&self, now: Seconds) -> bool {
        self.snapshot().is_some_and(|snapshot| now - snapshot.last_event_at >= self.idle_timeout())
    }

    /// Completes the snapshot and returns it with the commands applied that were accepted since it was requested.
    pub(crate) fn complete_snapshot(&mut self, single_owner: bool) -> Option<Snapshot> {
        let mut snapshot = self.take_snapshot()?;
        self.state = State::Synchronized;
        for AcceptedCommand { latest, command } in &self.accepted_since_snapshot {
            if let Command::SetWeight { slice, entry } = command {
                if snapshot.subscription <= *latest {
                    snapshot.set_weight(*slice, *entry, single_owner);
                }
            }
        }
        self.snapshots_pending.retain(|id| *id > snapshot.subscription);
        self.discard_accepted_unless_pending();
        Some(snapshot)
    }

    fn discard_accepted_unless_pending(&mut self) {
        if self.snapshots_pending.is_empty() {
            self.accepted_since_snapshot.clear();
        }
    }
}

impl Snapshot {
    /// Adds an event. A slice that the snapshot already contains was reassigned while the snapshot was being sent.
    fn add(&mut self, event: RelayEvent) -> EventOutcome {
        match event {
            RelayEvent::ProxyJoined { proxy, first } => {
                self.proxies.insert(proxy, first);
            }
            RelayEvent::ProxyLeft(proxy) => {
                self.proxies.remove(&proxy);
            }
            RelayEvent::SliceAssigned { slice, assigned } => {
                let was_assigned = self.tables.remove(&slice).is_some();
                if assigned {
                    self.tables.insert(slice, Table::new());
                }
                if was_assigned {
                    return EventOutcome::SliceReassigned { slice, assigned };
                }
            }
            RelayEvent::StoredEntry { slice, line: entry } => {
                self.tables.entry(slice).or_default().push(entry);
            }
            RelayEvent::BarrierAcked(ack) => return EventOutcome::BarrierAcked(ack),
            RelayEvent::Subscribed | RelayEvent::Heartbeat => {}
        }
        EventOutcome::None
    }

    /// When the tables received so far show the outcome of a call that changes them, if no event arrives before.
    pub(crate) fn outcome_deadline(&self) -> Seconds {
        self.last_event_at + TABLES_IDLE_TIMEOUT
    }

    /// Whether the tables received so far show the outcome of a call that changes them.
    pub(crate) fn shows_outcomes(&self, now: Seconds) -> bool {
        now - self.last_event_at >= TABLES_IDLE_TIMEOUT
    }

    /// Sets an entry in the table of a slice, if the snapshot contains the slice.
    fn set_weight(&mut self, slice: SliceId, entry: WeightedHost, single_owner: bool) {
        if let Some(table) = self.tables.get_mut(&slice) {
            set_weight(table, entry, single_owner);
        }
    }
}

#[cfg(test)]
mod tests;
