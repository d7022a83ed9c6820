//! The routing table as proxies have received it. Each version counts once, when the first proxy receives it.
use railhub_proto::{Delta, TableLine};
use std::collections::{BTreeMap, BTreeSet};

/// The newest routing table that any proxy has received.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Positive weights, by slice and host.
    weights: BTreeMap<u32, BTreeMap<String, f64>>,
    newest: TableVersion,
}

/// Version of a table; the order holds across restarts of the controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct TableVersion {
    incarnation: u64,
    version: u64,
}

/// Number of changes that one version made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableChanges {
    /// Slices whose heaviest line moved to another host.
    pub moves: u32,
    /// Lines whose weight was set to 0.
    pub cleared_lines: u32,
}

impl Tables {
    /// Applies a delta and returns its changes; `None` if its version was applied before. A snapshot has no changes,
    /// because it repeats the current table.
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

    /// Applies a line; returns whether it cleared a line that had a weight.
    fn apply_line(&mut self, line: &TableLine) -> bool {
        let weights = self.weights.entry(line.slice).or_default();
        if line.weight > 0.0 {
            weights.insert(line.host.clone(), line.weight);
            return false;
        }
        weights.remove(&line.host).is_some()
    }

    /// The newest version that any proxy has received.
    pub fn version(&self) -> u64 {
        self.newest.version
    }

    fn heaviest_host(&self, slice: u32) -> Option<String> {
        let weights = self.weights.get(&slice)?;
        let heaviest = weights.iter().max_by(|a, b| a.1.total_cmp(b.1).then(b.0.cmp(a.0)))?;
        Some(heaviest.0.clone())
    }

    /// Number of slices of each host; a slice belongs to the host of its heaviest line.
    pub fn slices_by_host(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for host in self.weights.keys().filter_map(|slice| self.heaviest_host(*slice)) {
            *counts.entry(host).or_default() += 1;
        }
        counts
    }
}

/// Whether the heaviest line of a slice moved from one host to another; a slice that had or has no host has not moved.
fn has_moved(earlier: Option<String>, current: Option<String>) -> bool {
    match (earlier, current) {
        (Some(earlier), Some(current)) => earlier != current,
        _ => false,
    }
}

#[cfg(test)]
mod tests;
