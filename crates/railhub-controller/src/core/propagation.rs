//! Measures how long changes take to reach all proxies.
use super::figures::DurationHistogram;
use railhub::{ProxyId, Seconds};
use std::collections::BTreeSet;

/// Measures the time from the decision on a change to the last proxy's response. Overlapping changes count as one.
pub(super) struct PropagationTracker {
    /// Proxies that have not responded yet.
    awaited: BTreeSet<ProxyId>,
    /// Decision time of the oldest change that some proxy has not responded to.
    decided_at: Seconds,
    durations: DurationHistogram,
    latest: Seconds,
}

impl PropagationTracker {
    pub(super) fn new(now: Seconds) -> PropagationTracker {
        let (awaited, durations) = (BTreeSet::new(), DurationHistogram::new());
        PropagationTracker { awaited, decided_at: now, durations, latest: 0.0 }
    }

    /// Whether any proxy has not responded yet.
    pub(super) fn is_awaiting(&self) -> bool {
        !self.awaited.is_empty()
    }

    /// Starts the measurement of a change. While proxies are still awaited, the running measurement continues.
    pub(super) fn begin(&mut self, decided_at: Seconds) {
        if self.awaited.is_empty() {
            self.decided_at = decided_at;
        }
    }

    /// Adds a proxy that the change was sent to.
    pub(super) fn await_proxy(&mut self, proxy: ProxyId) {
        self.awaited.insert(proxy);
    }

    /// Removes a proxy that has responded to everything it was sent, or has disconnected. Once no proxy is left, the
    /// measured duration is recorded.
    pub(super) fn proxy_done(&mut self, now: Seconds, proxy: ProxyId) {
        if self.awaited.remove(&proxy) && self.awaited.is_empty() {
            self.latest = now - self.decided_at;
            self.durations.record(self.latest);
        }
    }

    pub(super) fn quantile(&self, quantile: f64) -> Seconds {
        self.durations.quantile(quantile)
    }

    /// Duration for the most recent change that reached all proxies; 0 before the first.
    pub(super) fn latest(&self) -> Seconds {
        self.latest
    }
}
