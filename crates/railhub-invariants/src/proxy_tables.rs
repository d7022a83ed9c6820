//! The routing tables of one proxy, rebuilt from the deltas that reached it.
use railhub_proto::Delta;
use std::collections::{BTreeMap, BTreeSet};

/// One proxy's tables, and since when slices have had no usable host in them.
#[derive(Default)]
pub struct ProxyTables {
    /// Weights above 0, by slice and host.
    weights: BTreeMap<u32, BTreeMap<String, f64>>,
    /// Hosts that are excluded.
    excluded: BTreeSet<String>,
    /// The table that the proxy uses for every slice, if it was assigned one.
    assigned_table: Option<u32>,
    /// Slices without a usable host, and since when, in seconds.
    pub unserved: BTreeMap<u32, f64>,
}

impl ProxyTables {
    /// Applies a delta, except for its `stale` slices.
    pub fn apply(&mut self, at: f64, delta: &Delta, stale: &BTreeSet<u32>, slices: u32) {
        self.apply_lines(delta, stale);
        self.apply_exclusions(delta);
        self.assigned_table = delta.assigned_table.or(self.assigned_table);
        let any_slice_may_change =
            self.assigned_table.is_some() || delta.reset || !delta.exclusions.is_empty();
        if slices == 0 || any_slice_may_change {
            return self.update_unserved(at, slices);
        }
        let changed_slices = delta.lines.iter().map(|line| line.slice).chain(delta.cleared.iter().copied());
        let changed_slices: BTreeSet<u32> = changed_slices.filter(|slice| *slice < slices).collect();
        for slice in changed_slices {
            self.update_unserved_slice(at, slice);
        }
    }

    fn apply_lines(&mut self, delta: &Delta, stale: &BTreeSet<u32>) {
        for slice in delta.cleared.iter().filter(|slice| !stale.contains(slice)) {
            self.weights.remove(slice);
        }
        for line in delta.lines.iter().filter(|line| !stale.contains(&line.slice)) {
            let table = self.weights.entry(line.slice).or_default();
            if line.weight > 0.0 {
                table.insert(line.host.clone(), line.weight);
            } else {
                table.remove(&line.host);
            }
        }
    }

    fn apply_exclusions(&mut self, delta: &Delta) {
        if delta.reset {
            self.excluded.clear();
        }
        for exclusion in &delta.exclusions {
            if exclusion.excluded {
                self.excluded.insert(exclusion.host.clone());
            } else {
                self.excluded.remove(&exclusion.host);
            }
        }
    }

    /// Updates for all slices since when they have had no usable host.
    pub fn update_unserved(&mut self, at: f64, slices: u32) {
        let used_tables: Vec<u32> = match self.assigned_table {
            Some(table) => vec![table],
            None => (0..slices).collect(),
        };
        self.unserved.retain(|slice, _| used_tables.contains(slice));
        for slice in used_tables {
            self.update_unserved_slice(at, slice);
        }
    }

    fn update_unserved_slice(&mut self, at: f64, slice: u32) {
        let table = self.weights.get(&slice);
        let has_usable_host =
            table.is_some_and(|table| table.keys().any(|host| !self.excluded.contains(host)));
        if has_usable_host {
            self.unserved.remove(&slice);
        } else {
            self.unserved.entry(slice).or_insert(at);
        }
    }
}
