//! The deltas of one proxy: at most one that is pending, and a few in flight. While the proxy does not read, all that
//! comes is merged into the pending one, so its size is bounded by the number of resources. Free of I/O and of clocks.
//!
//! The way of one publication:
//! 1. [`DeltaQueue::push`] makes it the pending delta, merged with one that is pending already.
//! 2. [`DeltaQueue::next_action`] gives it to the writer once fewer than [`MAX_IN_FLIGHT`] are in flight and the
//!    [`MessageQuota`] allows it.
//! 3. An ACK removes it, and all sent before it. A NACK keeps its change back until something new is to be sent.
use crate::change::Change;
use crate::publication::Publication;
use railhub::{BarrierId, Seconds};
use std::collections::VecDeque;
use std::sync::Arc;

/// Deltas that may be written and not acknowledged. Past it they merge, so that a slow proxy gets few large ones.
pub const MAX_IN_FLIGHT: usize = 4;
/// Fraction of the quota that messages may use which only shift weights: removals and exclusions do not wait for them.
const ORDINARY_QUOTA_FRACTION: f64 = 0.5;
/// Seconds added to the quota's window: a message that leaves late by so much must not meet one that does not.
const QUOTA_WINDOW_SLACK: Seconds = 0.2;

/// How many messages a proxy may get within a window; 0: any number.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageQuota {
    /// Messages within the window.
    pub max_messages: u32,
    /// Seconds.
    pub window: Seconds,
}

impl MessageQuota {
    /// How many messages a change of such urgency may find in the window, itself included.
    fn limit(&self, is_urgent: bool) -> usize {
        if is_urgent {
            self.max_messages as usize
        } else {
            (f64::from(self.max_messages) * ORDINARY_QUOTA_FRACTION).ceil() as usize
        }
    }
}

/// What a stream writer is to do next.
#[derive(Debug)]
pub enum WriterAction {
    /// Write this delta now.
    Write(Arc<Publication>),
    /// The quota allows the next message then; until then what comes is merged.
    WaitUntil(Seconds),
    /// Wait for a push or a response.
    Wait,
}

/// A proxy's response to a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaResponse {
    /// Applied.
    Ack,
    /// Rejected: the proxy keeps what it holds.
    Nack,
}

/// What a response does to the deltas in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEffect {
    /// The nonce is not in flight: nothing changes.
    Stale,
    /// Deltas have left the channel.
    Settled {
        /// The latest barrier among them.
        barrier: Option<BarrierId>,
    },
}

struct InFlightDelta {
    publication: Arc<Publication>,
    sent_at: Seconds,
}

/// The deltas of one proxy.
#[derive(Default)]
pub struct DeltaQueue {
    quota: MessageQuota,
    /// When the latest messages were sent, as many as the quota counts.
    sent_at: VecDeque<Seconds>,
    pending: Option<Arc<Publication>>,
    in_flight: VecDeque<InFlightDelta>,
    /// What the proxy rejected: it goes along with the next change, not by itself.
    rejected: Option<Change>,
    /// Publications that were merged into a pending one.
    pub merged: u64,
    /// Deltas that the proxy rejected.
    pub nacks: u64,
}

impl DeltaQueue {
    /// An empty queue.
    pub fn new(quota: MessageQuota) -> DeltaQueue {
        DeltaQueue { quota, ..DeltaQueue::default() }
    }

    /// Adds a publication to what is pending.
    pub fn push(&mut self, publication: Arc<Publication>) {
        let publication = match self.rejected.take() {
            None => publication,
            Some(mut change) => {
                change.merge(&publication.change);
                Arc::new(publication.with_change(change))
            }
        };
        self.pending = Some(match self.pending.take() {
            None => publication,
            Some(pending) => {
                self.merged += 1;
                Arc::new(pending.merge(&publication))
            }
        });
    }

    /// What the writer is to do now. A delta to be written counts as in flight.
    pub fn next_action(&mut self, now: Seconds) -> WriterAction {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return WriterAction::Wait;
        }
        let quota = self.quota;
        // The same sum as in `quota_allows_at`: a writer that waits until then finds the message expired.
        while self.sent_at.front().is_some_and(|at| at + quota.window + QUOTA_WINDOW_SLACK <= now) {
            self.sent_at.pop_front();
        }
        let Some(publication) = self.pending.take() else { return WriterAction::Wait };
        if let Some(at) = self.quota_allows_at(&publication) {
            self.pending = Some(publication);
            return WriterAction::WaitUntil(at);
        }
        if quota.max_messages > 0 {
            self.sent_at.push_back(now);
        }
        self.in_flight.push_back(InFlightDelta { publication: publication.clone(), sent_at: now });
        WriterAction::Write(publication)
    }

    /// When the quota allows a publication that it does not allow now.
    fn quota_allows_at(&self, publication: &Publication) -> Option<Seconds> {
        let limit = self.quota.limit(publication.change.is_urgent());
        if self.quota.max_messages == 0 || self.sent_at.len() < limit {
            return None;
        }
        Some(self.sent_at[self.sent_at.len() - limit] + self.quota.window + QUOTA_WINDOW_SLACK)
    }

    /// Takes the proxy's response to the delta of a nonce.
    pub fn on_response(&mut self, nonce: u64, response: DeltaResponse) -> ResponseEffect {
        match response {
            DeltaResponse::Ack => self.on_ack(nonce),
            DeltaResponse::Nack => self.on_nack(nonce),
        }
    }

    /// The proxy has applied the delta of this nonce, and so all before it.
    pub fn on_ack(&mut self, nonce: u64) -> ResponseEffect {
        let Some(place) = self.place_in_flight(nonce) else { return ResponseEffect::Stale };
        let acknowledged = self.in_flight.drain(..=place);
        let barrier = acknowledged.filter_map(|sent| sent.publication.barrier).next_back();
        ResponseEffect::Settled { barrier }
    }

    /// The proxy has rejected the delta of this nonce. Its change is kept back until there is something new to send,
    /// less what later deltas in flight supersede.
    pub fn on_nack(&mut self, nonce: u64) -> ResponseEffect {
        let Some(place) = self.place_in_flight(nonce) else { return ResponseEffect::Stale };
        let sent = self.in_flight.remove(place).expect("found above");
        let mut rejected = self.rejected.take().unwrap_or_default();
        rejected.merge(&sent.publication.change);
        for later in self.in_flight.iter().skip(place) {
            rejected.remove_superseded(&later.publication.change);
        }
        self.nacks += 1;
        if let Some(pending) = self.pending.take() {
            self.rejected = Some(rejected);
            self.push(pending);
        } else if !rejected.is_empty() {
            self.rejected = Some(rejected);
        }
        ResponseEffect::Settled { barrier: sent.publication.barrier }
    }

    fn place_in_flight(&self, nonce: u64) -> Option<usize> {
        self.in_flight.iter().position(|sent| sent.publication.version == nonce)
    }

    /// Lines that are pending or in flight, `message_cost` for each message included.
    pub fn backlog_lines(&self, message_cost: f64) -> f64 {
        let in_flight = self.in_flight.iter().map(|sent| &sent.publication);
        let publications = in_flight.chain(&self.pending);
        publications.map(|publication| publication.change.cost() as f64 + message_cost).sum()
    }

    /// Whether a delta is pending, which may be sent after a response.
    pub fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Whether the proxy has responded to all it was sent and nothing is pending.
    pub fn is_idle(&self) -> bool {
        self.pending.is_none() && self.in_flight.is_empty()
    }

    /// When the oldest delta in flight was sent.
    pub fn unacknowledged_since(&self) -> Option<Seconds> {
        self.in_flight.front().map(|sent| sent.sent_at)
    }
}

#[cfg(test)]
mod tests;
