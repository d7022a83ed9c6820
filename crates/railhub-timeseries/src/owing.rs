//! Deltas that proxies have got and not yet given a word on.
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct Owing {
    /// Lines by proxy and version.
    lines: BTreeMap<(u32, u64), usize>,
}

impl Owing {
    pub fn got(&mut self, proxy: u32, version: u64, lines: usize) {
        self.lines.insert((proxy, version), lines);
    }

    /// A word settles a delta and all before it.
    pub fn word(&mut self, proxy: u32, version: u64) {
        self.settle(proxy, version);
    }

    /// Its stream has ended: no word will come.
    pub fn gone(&mut self, proxy: u32) {
        self.settle(proxy, u64::MAX);
    }

    fn settle(&mut self, proxy: u32, until: u64) {
        while let Some(first) = self.lines.range((proxy, 0)..=(proxy, until)).next().map(|(key, _)| *key) {
            self.lines.remove(&first);
        }
    }

    pub fn deltas(&self) -> usize {
        self.lines.len()
    }

    pub fn total_lines(&self) -> usize {
        self.lines.values().sum()
    }
}

#[cfg(test)]
mod tests;
