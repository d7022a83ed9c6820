//! The backlog of the update channel: updates that were sent and that some proxy has not acknowledged yet.
//!
//! Messages leave the channel one after another in the order in which they were sent, so an update waits as a whole
//! until the one before it has left. Acknowledgements alone do not show that: a proxy that connected after the older
//! update was sent may acknowledge the newer one while both still count as waiting for others.
use crate::interface::{BarrierId, ProxyId, Seconds, SliceId};
use std::collections::BTreeSet;

/// One update, sent to all proxies that were connected at that time.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// The barrier that the update bears.
    pub barrier: BarrierId,
    /// When it was sent.
    pub sent_at: Seconds,
    /// Lines that it costs for each proxy, the overhead of the message included.
    pub lines: f64,
    /// Proxies it was sent to whose streams have not broken since.
    pub recipients: BTreeSet<ProxyId>,
    /// Those of them that have not acknowledged it.
    pub awaited: BTreeSet<ProxyId>,
    /// When a proxy acknowledged it last, or when it was sent.
    pub progress_at: Seconds,
    /// Slices whose tables are known to be empty once all have acknowledged it.
    pub cleared_slices: Vec<SliceId>,
}

impl Update {
    /// An update that leaves now for `recipients`.
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
        }
    }
}

/// Updates in the order in which they were sent. Bounded by the age at which they expire.
#[derive(Debug, Default)]
pub struct UpdateBacklog {
    updates: Vec<Update>,
}

impl UpdateBacklog {
    /// Adds the update that leaves now.
    pub fn send(&mut self, update: Update) {
        self.updates.push(update);
    }

    /// A proxy has applied the update with this barrier and all before it. An unknown barrier is ignored.
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

    /// A proxy connected while updates sent at `since` or later were not accepted: it may be sent them too.
    pub fn add_recipient(&mut self, since: Seconds, proxy: ProxyId) {
        for update in self.updates.iter_mut().filter(|update| update.sent_at >= since) {
            update.recipients.insert(proxy);
            update.awaited.insert(proxy);
        }
    }

    /// A proxy's stream closed: what was on its way to it is lost and waits no more.
    pub fn remove_proxy(&mut self, proxy: ProxyId) {
        for update in &mut self.updates {
            update.recipients.remove(&proxy);
            update.awaited.remove(&proxy);
        }
    }

    /// A slice was assigned or revoked: these updates no longer show what its table is.
    pub fn forget_slice(&mut self, slice: SliceId) {
        for update in &mut self.updates {
            update.cleared_slices.retain(|id| *id != slice);
        }
    }

    /// Slices whose tables will be known to be empty.
    pub fn cleared_slices(&self) -> BTreeSet<SliceId> {
        self.updates.iter().flat_map(|update| update.cleared_slices.iter().copied()).collect()
    }

    /// Takes out the updates that no proxy still has to acknowledge.
    pub fn take_acknowledged(&mut self) -> Vec<Update> {
        self.updates.extract_if(.., |update| update.awaited.is_empty()).collect()
    }

    /// Drops updates that were sent `age` seconds ago or earlier: their acknowledgements were lost.
    pub fn expire(&mut self, now: Seconds, age: Seconds) {
        self.updates.retain(|update| now - update.sent_at < age);
    }

    /// Lines that may still wait in the channel.
    ///
    /// Behind an update that some have not acknowledged, the next ones count for all their recipients. Where no proxy
    /// has acknowledged one for `stalled_after` seconds since it was sent or last acknowledged, wherever it stands, it
    /// does not hold the next ones up: those that are missing are slow or their acknowledgements lost.
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

    /// No update waits for an acknowledgement.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// The updates that wait, oldest first.
    #[cfg(test)]
    pub fn updates(&self) -> &[Update] {
        &self.updates
    }
}

#[cfg(test)]
mod tests;
