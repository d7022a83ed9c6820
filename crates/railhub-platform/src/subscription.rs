//! The subscription to the relay: which one counts, and whether its snapshot is complete.
//!
//! Owns the snapshot while it is received, and the commands that the relay accepts meanwhile. The relay begins each
//! subscription with what it holds (the snapshot); its first heartbeat, or a pause, ends that. Events after it are live.
//! Requests, events and ends name their subscription; only the newest confirmed one counts.
use crate::command::Command;
use crate::relay::{RelayEvent, SubscriptionId};
use crate::table::{set_weight, Table};
use railhub::{BarrierAck, ProxyId, Seconds, SliceId, WeightedHost};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds without an event after which the first snapshot counts as complete: what comes later is added.
const FIRST_SNAPSHOT_IDLE_TIMEOUT: Seconds = 0.1;
/// Seconds without an event after which a later snapshot counts as complete: what is missing then counts as lost.
const SNAPSHOT_IDLE_TIMEOUT: Seconds = 1.5;
/// Seconds without an event after which the tables that a snapshot has so far count as complete, to see in them the
/// outcome of a call.
const TABLES_IDLE_TIMEOUT: Seconds = 0.1;
/// Most accepted commands kept while a snapshot is due; past them a new subscription is needed.
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
/// | a receiving state | the relay confirms a newer subscription | the same, with an empty snapshot |
///
/// An incomplete snapshot is discarded: what the last complete one gave stays in force, however long the relay is away.
#[derive(Debug, Default)]
enum State {
    /// Nothing may be decided.
    #[default]
    AwaitingFirstSnapshot,
    /// Nothing may be decided.
    ReceivingFirstSnapshot(Snapshot),
    /// Decisions are made; events are live.
    Synchronized,
    /// Decisions are made on what was known before; events go into the snapshot.
    ReceivingSnapshot(Snapshot),
}

/// What the relay holds, as one subscription gives it.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// Proxies whose stream is up, each with whether it holds no table yet.
    pub(crate) proxies: BTreeMap<ProxyId, bool>,
    /// The table of each slice assigned to this controller.
    pub(crate) tables: BTreeMap<SliceId, Table>,
    last_event_at: Seconds,
    subscription: SubscriptionId,
}

/// A command that the relay accepted, with the newest subscription requested by then.
#[derive(Debug)]
struct AcceptedCommand {
    latest: SubscriptionId,
    command: Command,
}

/// More commands were accepted than are kept while a snapshot is due.
#[derive(Debug, PartialEq)]
pub(crate) struct TooManyAccepted;

/// What an event means for the rest of the controller.
#[derive(Debug, PartialEq)]
pub(crate) enum EventOutcome {
    /// Nothing: it is of an old subscription, or part of the snapshot.
    None,
    /// A newer subscription counts from here on.
    Subscribed,
    /// The heartbeat that ends the snapshot.
    SnapshotEnded,
    /// A slice that the snapshot had was assigned or taken again.
    SliceReassigned { slice: SliceId, assigned: bool },
    /// An acknowledgement, which is no part of the snapshot.
    BarrierAcked(BarrierAck),
    /// An event after the snapshot.
    Live(RelayEvent),
}

/// The subscription to the relay.
#[derive(Debug, Default)]
pub(crate) struct Subscription {
    state: State,
    /// The newest subscription that was confirmed: only its events count.
    current: SubscriptionId,
    /// The newest subscription that was requested.
    newest_requested: SubscriptionId,
    /// Requested subscriptions whose connection has not ended and whose snapshot is not complete.
    snapshots_pending: BTreeSet<SubscriptionId>,
    /// Commands accepted while a snapshot was due, which may have been taken before them.
    accepted_since_snapshot: Vec<AcceptedCommand>,
}

impl Subscription {
    /// Whether a first snapshot is complete, so that decisions may be made.
    pub(crate) fn may_decide(&self) -> bool {
        matches!(self.state, State::Synchronized | State::ReceivingSnapshot(_))
    }

    /// The newest subscription that was requested.
    pub(crate) fn newest_requested(&self) -> SubscriptionId {
        self.newest_requested
    }

    /// A subscription is about to be requested; must come before the relay can know of it.
    pub(crate) fn on_requested(&mut self, id: SubscriptionId) {
        self.newest_requested = self.newest_requested.max(id);
        self.snapshots_pending.insert(id);
    }

    /// A subscription's connection ended; its incomplete snapshot is discarded.
    pub(crate) fn on_ended(&mut self, id: SubscriptionId) {
        if self.snapshot().is_some_and(|snapshot| snapshot.subscription == id) {
            self.take_snapshot();
        }
        self.snapshots_pending.remove(&id);
        self.discard_accepted_unless_pending();
    }

    /// An event of a subscription.
    pub(crate) fn on_event(&mut self, now: Seconds, id: SubscriptionId, event: RelayEvent) -> EventOutcome {
        if event == RelayEvent::Subscribed {
            return self.on_confirmed(now, id);
        }
        if id != self.current {
            return EventOutcome::None;
        }
        let Some(snapshot) = self.snapshot_mut() else { return EventOutcome::Live(event) };
        if event == RelayEvent::Heartbeat {
            return EventOutcome::SnapshotEnded;
        }
        snapshot.last_event_at = now;
        let update = snapshot.add(event);
        if let EventOutcome::SliceReassigned { slice, .. } = update {
            self.accepted_since_snapshot.retain(|accepted| !accepted.command.changes_table(slice));
        }
        update
    }

    /// The relay confirmed a subscription; an older one than the current one is ignored.
    fn on_confirmed(&mut self, now: Seconds, id: SubscriptionId) -> EventOutcome {
        if id <= self.current {
            return EventOutcome::None;
        }
        self.current = id;
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
    /// Too many are kept for the snapshot that is due. All of them are discarded.
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

    /// The snapshot being received, if it is of a later subscription than this one.
    pub(crate) fn snapshot_later_than(&self, id: SubscriptionId) -> Option<&Snapshot> {
        self.snapshot().filter(|snapshot| snapshot.subscription > id)
    }

    /// Takes the snapshot out of a receiving state.
    fn take_snapshot(&mut self) -> Option<Snapshot> {
        let (next, snapshot) = match std::mem::take(&mut self.state) {
            State::ReceivingFirstSnapshot(snapshot) => (State::AwaitingFirstSnapshot, Some(snapshot)),
            State::ReceivingSnapshot(snapshot) => (State::Synchronized, Some(snapshot)),
            idle => (idle, None),
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

    /// When the snapshot counts as complete if no event comes before.
    pub(crate) fn idle_deadline(&self) -> Option<Seconds> {
        self.snapshot().map(|snapshot| snapshot.last_event_at + self.idle_timeout())
    }

    /// Whether no event of the snapshot has come for so long that it counts as complete.
    pub(crate) fn is_idle(&self, now: Seconds) -> bool {
        self.snapshot().is_some_and(|snapshot| now - snapshot.last_event_at >= self.idle_timeout())
    }

    /// The snapshot is complete: it is handed over, with the commands accepted since it was requested applied.
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
    /// Adds an event. A slice that is in the snapshot already changed hands while it was sent.
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

    /// When the tables so far show the outcome of a call about them, if no event comes before.
    pub(crate) fn outcome_deadline(&self) -> Seconds {
        self.last_event_at + TABLES_IDLE_TIMEOUT
    }

    /// Whether the tables so far show the outcome of a call about them.
    pub(crate) fn shows_outcomes(&self, now: Seconds) -> bool {
        now - self.last_event_at >= TABLES_IDLE_TIMEOUT
    }

    /// Sets a line of a slice that the snapshot has.
    fn set_weight(&mut self, slice: SliceId, entry: WeightedHost, single_owner: bool) {
        if let Some(table) = self.tables.get_mut(&slice) {
            set_weight(table, entry, single_owner);
        }
    }
}

#[cfg(test)]
mod tests;
