//! The deltas of one proxy: at most one pending, and a few in flight. While the proxy does not read, publications are
//! merged into the pending delta, so that its size is bounded by the number of resources. Does no I/O and reads no
//! clock.
//!
//! How a publication is sent:
//! 1. [`DeltaQueue::push`] makes it the pending delta, or merges it into the delta that is already pending.
//! 2. [`DeltaQueue::next_action`] returns it to the writer once fewer than [`MAX_DELTAS_IN_FLIGHT`] deltas are in
//!    flight and the [`MessageQuota`] allows it.
//! 3. An ACK removes it, and all deltas sent before it. A NACK keeps its change back until there is a new one to send.
//!    The decision engine learns of the exclusions in it and publishes them again, which is a new change.
use crate::change::Change;
use crate::publication::Publication;
use railhub::{BarrierId, HostId, Seconds, UndeliveredExclusion};
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum deltas sent and not acknowledged. Later ones are merged, so that a slow proxy gets few large deltas.
pub const MAX_DELTAS_IN_FLIGHT: usize = 4;
/// Fraction of the quota for messages that only change weights: removals and exclusions must not wait for them.
const ORDINARY_QUOTA_FRACTION: f64 = 0.5;
/// Seconds added to the quota's window: a message sent up to this much late must not share a window with a later
/// message that is sent on time.
const QUOTA_WINDOW_SLACK: Seconds = 0.2;

/// How many messages may be sent to a proxy within a window.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageQuota {
    /// Messages within the window; 0 for no limit.
    pub max_messages: u32,
    /// Length of the window in seconds.
    pub window: Seconds,
}

impl MessageQuota {
    /// How many messages there may be in the window, including one of this urgency that is to be sent.
    fn limit(&self, is_urgent: bool) -> usize {
        if is_urgent {
            self.max_messages as usize
        } else {
            (f64::from(self.max_messages) * ORDINARY_QUOTA_FRACTION).ceil() as usize
        }
    }
}

/// The next action of a stream writer.
#[derive(Debug)]
pub enum WriterAction {
    /// Write this delta.
    Write(Arc<Publication>),
    /// Wait until this time, when the quota allows the next message. Publications until then are merged.
    WaitUntil(Seconds),
    /// Wait for a push or a response.
    Wait,
}

/// A proxy's response to a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaResponse {
    /// The proxy has applied the delta.
    Ack,
    /// The proxy has rejected the delta and keeps its previous state.
    Nack,
}

/// The effect of a response on the deltas in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEffect {
    /// No delta with the nonce is in flight: the response is ignored.
    Stale,
    /// One or more deltas are no longer in flight.
    Settled {
        /// The latest barrier of these deltas.
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
    /// When the messages within the quota's window were sent.
    sent_at: VecDeque<Seconds>,
    pending: Option<Arc<Publication>>,
    in_flight: VecDeque<InFlightDelta>,
    /// The change that the proxy rejected. It is sent together with the next change, never alone.
    rejected: Option<Change>,
    /// Publications that were merged into the pending delta.
    pub merged: u64,
    /// Deltas that the proxy rejected.
    pub nacks: u64,
}

impl DeltaQueue {
    /// Creates an empty queue.
    pub fn new(quota: MessageQuota) -> DeltaQueue {
        DeltaQueue { quota, ..DeltaQueue::default() }
    }

    /// Adds a publication to the pending delta.
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

    /// Returns the writer's next action. A delta that is returned to be written counts as in flight.
    pub fn next_action(&mut self, now: Seconds) -> WriterAction {
        if self.in_flight.len() >= MAX_DELTAS_IN_FLIGHT {
            return WriterAction::Wait;
        }
        let quota = self.quota;
        // The same sum as in `quota_allows_at`, so that a writer that waited until that time finds the message expired.
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

    /// When the quota will allow a publication; `None` if it allows it now.
    fn quota_allows_at(&self, publication: &Publication) -> Option<Seconds> {
        let limit = self.quota.limit(publication.change.is_urgent());
        if self.quota.max_messages == 0 || self.sent_at.len() < limit {
            return None;
        }
        Some(self.sent_at[self.sent_at.len() - limit] + self.quota.window + QUOTA_WINDOW_SLACK)
    }

    /// Processes the proxy's response to the delta with this nonce.
    pub fn on_response(&mut self, nonce: u64, response: DeltaResponse) -> ResponseEffect {
        match response {
            DeltaResponse::Ack => self.on_ack(nonce),
            DeltaResponse::Nack => self.on_nack(nonce),
        }
    }

    /// The proxy has applied the delta with this nonce, and with it all earlier ones.
    pub fn on_ack(&mut self, nonce: u64) -> ResponseEffect {
        let Some(position) = self.position_in_flight(nonce) else { return ResponseEffect::Stale };
        let acknowledged = self.in_flight.drain(..=position);
        let barrier = acknowledged.filter_map(|sent| sent.publication.barrier).next_back();
        ResponseEffect::Settled { barrier }
    }

    /// The proxy has rejected the delta with this nonce. Its change is kept back until there is a new change to send,
    /// without the values that later deltas in flight supersede.
    pub fn on_nack(&mut self, nonce: u64) -> ResponseEffect {
        let Some(position) = self.position_in_flight(nonce) else { return ResponseEffect::Stale };
        let sent = self.in_flight.remove(position).expect("found above");
        let mut rejected = self.rejected.take().unwrap_or_default();
        rejected.merge(&sent.publication.change);
        for later in self.in_flight.iter().skip(position) {
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

    /// The exclusions and readmissions that the proxy rejected and that are kept back.
    pub fn rejected_exclusions(&self) -> Vec<UndeliveredExclusion> {
        let exclusions = self.rejected.iter().flat_map(|change| &change.exclusions);
        let undelivered = |(host, is_excluded): (&HostId, &bool)| UndeliveredExclusion {
            host: *host,
            is_excluded: *is_excluded,
        };
        exclusions.map(undelivered).collect()
    }

    fn position_in_flight(&self, nonce: u64) -> Option<usize> {
        self.in_flight.iter().position(|sent| sent.publication.version == nonce)
    }

    /// Lines that are pending or in flight, plus `message_cost` for each message.
    pub fn backlog_lines(&self, message_cost: f64) -> f64 {
        let in_flight = self.in_flight.iter().map(|sent| &sent.publication);
        let publications = in_flight.chain(&self.pending);
        publications.map(|publication| publication.change.cost() as f64 + message_cost).sum()
    }

    /// Whether a delta is pending; a response may allow it to be sent.
    pub fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Whether no delta is pending or in flight.
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
