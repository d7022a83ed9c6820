//! Tracking of the deltas that proxies have received and not yet acknowledged.
use std::collections::BTreeMap;

/// The unacknowledged deltas of all proxies.
#[derive(Clone, Debug, Default)]
pub struct UnacknowledgedDeltas {
    /// Number of lines of each unacknowledged delta, by proxy and version.
    line_counts: BTreeMap<(u32, u64), usize>,
}

impl UnacknowledgedDeltas {
    /// Adds a delta with `lines` lines that `proxy` has received.
    pub fn on_received(&mut self, proxy: u32, version: u64, lines: usize) {
        self.line_counts.insert((proxy, version), lines);
    }

    /// Removes the acknowledged delta and all earlier ones of the proxy.
    pub fn on_acknowledged(&mut self, proxy: u32, version: u64) {
        self.remove_through(proxy, version);
    }

    /// Removes all deltas of a proxy whose stream has closed, because they will never be acknowledged.
    pub fn on_stream_closed(&mut self, proxy: u32) {
        self.remove_through(proxy, u64::MAX);
    }

    fn remove_through(&mut self, proxy: u32, last_version: u64) {
        while let Some(oldest) = self.oldest_through(proxy, last_version) {
            self.line_counts.remove(&oldest);
        }
    }

    fn oldest_through(&self, proxy: u32, last_version: u64) -> Option<(u32, u64)> {
        let mut versions = self.line_counts.range((proxy, 0)..=(proxy, last_version));
        versions.next().map(|(key, _)| *key)
    }

    /// Number of unacknowledged deltas of all proxies.
    pub fn delta_count(&self) -> usize {
        self.line_counts.len()
    }

    /// Number of lines in the unacknowledged deltas of all proxies.
    pub fn line_count(&self) -> usize {
        self.line_counts.values().sum()
    }
}

#[cfg(test)]
mod tests;
