//! Owns the routing table as proxies have received it. Each version counts once, when the first proxy receives it.
use railhub_proto::{Delta, TableLine};
use std::collections::{BTreeMap, BTreeSet};

/// The newest table that any proxy has received.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Positive weights by slice and host.
    weights: BTreeMap<u32, BTreeMap<String, f64>>,
    newest: TableVersion,
}

/// Orders versions across restarts of the controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct TableVersion {
    incarnation: u64,
    version: u64,
}

/// What one version changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableChanges {
    /// Slices whose heaviest line moved to another host.
    pub moves: u32,
    /// Lines whose weight was set to 0.
    pub cleared_lines: u32,
}

impl Tables {
    /// Applies a delta; `None` if its version is known. A snapshot counts no changes: it repeats the present table.
    pub fn apply(&mut self, delta: &Delta) -> Option<TableChanges> {
        let version = TableVersion { incarnation: delta.incarnation, version: delta.version };
        if version <= self.newest {
            return None;
        }
        self.newest = version;
        let slices: BTreeSet<u32> = delta.lines.iter().map(|line| line.slice).collect();
        let earlier: Vec<Option<String>> = slices.iter().map(|slice| self.heaviest_host(*slice)).collect();
        let mut changes = TableChanges::default();
        for line in &delta.lines {
            changes.cleared_lines += u32::from(self.apply_line(line));
        }
        for (slice, earlier) in slices.iter().zip(earlier) {
            changes.moves += u32::from(has_moved(earlier, self.heaviest_host(*slice)));
        }
        Some(if delta.reset { TableChanges::default() } else { changes })
    }

    /// Applies a line; whether it cleared one that had a weight.
    fn apply_line(&mut self, line: &TableLine) -> bool {
        let weights = self.weights.entry(line.slice).or_default();
        if line.weight > 0.0 {
            weights.insert(line.host.clone(), line.weight);
            return false;
        }
        weights.remove(&line.host).is_some()
    }

    /// The newest version that a proxy has received.
    pub fn version(&self) -> u64 {
        self.newest.version
    }

    fn heaviest_host(&self, slice: u32) -> Option<String> {
        let weights = self.weights.get(&slice)?;
        let heaviest = weights.iter().max_by(|a, b| a.1.total_cmp(b.1).then(b.0.cmp(a.0)))?;
        Some(heaviest.0.clone())
    }

    /// Slices of each host, by the heaviest line of the slice.
    pub fn slices_by_host(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for host in self.weights.keys().filter_map(|slice| self.heaviest_host(*slice)) {
            *counts.entry(host).or_default() += 1;
        }
        counts
    }
}

/// Whether the heaviest line went from one host to another; a slice without a host before or after has not moved.
fn has_moved(earlier: Option<String>, present: Option<String>) -> bool {
    match (earlier, present) {
        (Some(earlier), Some(present)) => earlier != present,
        _ => false,
    }
}

#[cfg(test)]
mod tests;
