//! How long changes take to reach all proxies.
use super::figures::DurationHistogram;
use railhub::{ProxyId, Seconds};
use std::collections::BTreeSet;

/// Follows changes from their decision to the last proxy's response. Changes that overlap count as one.
pub(super) struct PropagationTracker {
    /// Proxies that owe a response.
    awaited: BTreeSet<ProxyId>,
    /// When the oldest change that is not everywhere was decided.
    decided_at: Seconds,
    durations: DurationHistogram,
    latest: Seconds,
}

impl PropagationTracker {
    pub(super) fn new(now: Seconds) -> PropagationTracker {
        let (awaited, durations) = (BTreeSet::new(), DurationHistogram::new());
        PropagationTracker { awaited, decided_at: now, durations, latest: 0.0 }
    }

    /// Whether some proxy owes a response.
    pub(super) fn is_awaiting(&self) -> bool {
        !self.awaited.is_empty()
    }

    /// A change was decided.
    pub(super) fn begin(&mut self, decided_at: Seconds) {
        if self.awaited.is_empty() {
            self.decided_at = decided_at;
        }
    }

    /// A proxy was sent a change that has begun.
    pub(super) fn await_proxy(&mut self, proxy: ProxyId) {
        self.awaited.insert(proxy);
    }

    /// A proxy has responded to all it was sent, or is gone.
    pub(super) fn proxy_done(&mut self, now: Seconds, proxy: ProxyId) {
        if self.awaited.remove(&proxy) && self.awaited.is_empty() {
            self.latest = now - self.decided_at;
            self.durations.record(self.latest);
        }
    }

    pub(super) fn quantile(&self, share: f64) -> Seconds {
        self.durations.quantile(share)
    }

    /// Of the latest change that reached all proxies.
    pub(super) fn latest(&self) -> Seconds {
        self.latest
    }
}
