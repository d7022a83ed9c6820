//! The backlog of the update channel: updates that were sent and that at least one proxy has not acknowledged yet.
//!
//! Messages leave the channel one after another in the order in which they were sent, so no part of an update leaves
//! before the whole previous update has left. Acknowledgements alone do not show that: a proxy that connected after the
//! older update was sent may acknowledge the newer one while both updates are still waiting for other proxies.
use crate::interface::{BarrierId, ProxyId, Seconds, SliceId};
use std::collections::BTreeSet;

/// One update, sent to all proxies that were connected at that time.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// The barrier that the update carries.
    pub barrier: BarrierId,
    /// When it was sent.
    pub sent_at: Seconds,
    /// Lines that it counts for at each proxy, including the overhead of the message.
    pub lines: f64,
    /// Proxies to which it was sent and whose streams have not closed since.
    pub recipients: BTreeSet<ProxyId>,
    /// Recipients that have not acknowledged it.
    pub awaited: BTreeSet<ProxyId>,
    /// When a proxy last acknowledged it, or when it was sent if none has.
    pub progress_at: Seconds,
    /// Slices whose tables are known to be empty once all recipients have acknowledged the update.
    pub cleared_slices: Vec<SliceId>,
    /// It excludes or readmits hosts.
    pub has_exclusions: bool,
}

impl Update {
    /// An update sent now to `recipients`.
    pub fn new(now: Seconds, barrier: BarrierId, lines: f64, recipients: BTreeSet<ProxyId>) -> Update {
        let awaited = recipients.clone();
        Update {
            barrier,
            sent_at: now,
            lines,
            recipients,
            awaited,
            progress_at: now,
            cleared_slices: Vec::new(),
            has_exclusions: false,
        }
    }
}

/// Unacknowledged updates in the order in which they were sent. Bounded, because updates expire at a certain age.
#[derive(Debug, Default)]
pub struct UpdateBacklog {
    updates: Vec<Update>,
}

impl UpdateBacklog {
    /// Adds an update that is sent now.
    pub fn send(&mut self, update: Update) {
        self.updates.push(update);
    }

    /// Records that a proxy has applied the update with this barrier and all updates before it. An unknown barrier is
    /// ignored.
    pub fn acknowledge(&mut self, now: Seconds, proxy: ProxyId, barrier: BarrierId) {
        let acknowledged = self
            .updates
            .iter()
            .position(|update| update.barrier == barrier)
            .map_or(0, |position| position + 1);
        for update in &mut self.updates[..acknowledged] {
            if update.awaited.remove(&proxy) {
                update.progress_at = now;
            }
        }
    }

    /// Adds a proxy that connected before the channel accepted the updates sent at `since` or later: the proxy may
    /// receive them too.
    pub fn add_recipient(&mut self, since: Seconds, proxy: ProxyId) {
        for update in self.updates.iter_mut().filter(|update| update.sent_at >= since) {
            update.recipients.insert(proxy);
            update.awaited.insert(proxy);
        }
    }

    /// Adds a proxy to the recipients of the updates that clear tables; if `only_unacknowledged`, of those that no proxy
    /// has acknowledged. Returns whether there are any.
    pub fn await_cleared_tables(&mut self, proxy: ProxyId, only_unacknowledged: bool) -> bool {
        let mut is_any_awaited = false;
        for update in &mut self.updates {
            let is_unacknowledged = update.awaited.len() == update.recipients.len();
            if !update.cleared_slices.is_empty() && (is_unacknowledged || !only_unacknowledged) {
                update.recipients.insert(proxy);
                update.awaited.insert(proxy);
                is_any_awaited = true;
            }
        }
        is_any_awaited
    }

    /// Removes a proxy whose stream closed: updates in transit to it are lost and no longer wait.
    pub fn remove_proxy(&mut self, proxy: ProxyId) {
        for update in &mut self.updates {
            update.recipients.remove(&proxy);
            update.awaited.remove(&proxy);
        }
    }

    /// Removes a slice that was assigned or revoked: the updates in the backlog no longer show the state of its table.
    pub fn forget_slice(&mut self, slice: SliceId) {
        for update in &mut self.updates {
            update.cleared_slices.retain(|id| *id != slice);
        }
    }

    /// Slices whose tables will be known to be empty once the updates are acknowledged.
    pub fn cleared_slices(&self) -> BTreeSet<SliceId> {
        self.updates.iter().flat_map(|update| update.cleared_slices.iter().copied()).collect()
    }

    /// Removes and returns the updates that all recipients have acknowledged.
    pub fn take_acknowledged(&mut self) -> Vec<Update> {
        self.updates.extract_if(.., |update| update.awaited.is_empty()).collect()
    }

    /// Removes and returns the updates that were sent `age` seconds ago or earlier. They no longer wait in the channel;
    /// whether the awaited proxies have received them is not known.
    pub fn take_expired(&mut self, now: Seconds, age: Seconds) -> Vec<Update> {
        self.updates.extract_if(.., |update| now - update.sent_at >= age).collect()
    }

    /// Lines that may still wait in the channel, summed over the proxies.
    ///
    /// An update counts for the recipients that have not acknowledged it; behind an update that is not acknowledged by
    /// all, it counts for all its recipients. An update at any position for which nothing has happened for
    /// `stalled_after` seconds (it was neither sent nor acknowledged by a proxy) does not block the updates behind it:
    /// the remaining proxies are slow, or their acknowledgements were lost.
    pub fn waiting_lines(&self, now: Seconds, stalled_after: Seconds) -> f64 {
        let mut is_blocked = false;
        let mut lines = 0.0;
        for update in &self.updates {
            let proxies = if is_blocked { &update.recipients } else { &update.awaited };
            lines += update.lines * proxies.len() as f64;
            is_blocked |= now - update.progress_at < stalled_after;
        }
        lines
    }

    /// When the oldest update was sent that waits for an acknowledgement.
    pub fn oldest_sent_at(&self) -> Option<Seconds> {
        self.updates.first().map(|update| update.sent_at)
    }

    /// Whether no update waits for an acknowledgement.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// The unacknowledged updates, oldest first.
    #[cfg(test)]
    pub fn updates(&self) -> &[Update] {
        &self.updates
    }
}

#[cfg(test)]
mod tests;
