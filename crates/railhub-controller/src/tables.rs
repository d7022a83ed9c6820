//! The published state: versions of the tables, admission rates and exclusions, and a log of the latest changes between
//! versions. Does no I/O and reads no clock.
use crate::change::{Change, ClassAdmission};
use railhub::{ClassId, HostId, SliceId, WeightedHost};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Changes kept for proxies that reconnect. A proxy that lacks older ones gets a snapshot.
const MAX_LOGGED_CHANGES: usize = 256;
/// Maximum lines in all changes that are kept.
const MAX_LOGGED_LINES: usize = 50_000;

/// The published state and the log of its latest changes.
#[derive(Default)]
pub struct Tables {
    /// The version after the latest change; 0 before the first.
    pub version: u64,
    tables: BTreeMap<SliceId, BTreeMap<HostId, f64>>,
    /// Lease epochs of the slices held, if controllers share the slices.
    epochs: BTreeMap<SliceId, u64>,
    admission_rates: BTreeMap<ClassId, ClassAdmission>,
    excluded: BTreeSet<HostId>,
    /// The latest changes, the oldest first; the last one led to the current version.
    log: VecDeque<Arc<Change>>,
    logged_lines: usize,
}

impl Tables {
    /// Sets a table to its entries in the store. Proxies that join get it; no version is created.
    pub fn load_table(&mut self, slice: SliceId, entries: &[WeightedHost]) {
        let table = entries.iter().map(|entry| (entry.host, entry.weight)).collect();
        self.tables.insert(slice, table);
    }

    /// Adds a slice under a lease, with its table in the store. Proxies use the previous holder's table until they
    /// apply the [`Tables::takeover_change`].
    pub fn acquire(&mut self, slice: SliceId, epoch: u64, entries: &[WeightedHost]) {
        self.load_table(slice, entries);
        self.epochs.insert(slice, epoch);
    }

    /// Removes a slice whose lease has ended: nothing more is published for it, and proxies keep its table.
    pub fn release(&mut self, slice: SliceId) {
        self.tables.remove(&slice);
        self.epochs.remove(&slice);
    }

    /// The epoch of a slice's lease, if controllers share the slices.
    pub fn epoch(&self, slice: SliceId) -> Option<u64> {
        self.epochs.get(&slice).copied()
    }

    /// The complete tables of some slices, which replace those of the previous holders.
    pub fn takeover_change(&self, slices: &BTreeSet<SliceId>) -> Change {
        let mut change = Change { cleared: slices.clone(), ..Change::default() };
        for slice in slices {
            for entry in self.table_entries(*slice) {
                change.lines.insert((*slice, entry.host), entry.weight);
            }
        }
        change
    }

    /// Removes slices that are not under lease from a change, and sets the epochs of the others.
    pub fn stamp_epochs(&self, change: &mut Change) {
        change.retain_slices(|slice| self.epochs.contains_key(&slice));
        let changed_slices = change.slices();
        let lease_epochs = self.epochs.iter().filter(|(slice, _)| changed_slices.contains(slice));
        change.epochs = lease_epochs.map(|(slice, epoch)| (*slice, *epoch)).collect();
    }

    /// Applies a change and returns the new version.
    pub fn apply(&mut self, change: Arc<Change>) -> u64 {
        for slice in &change.cleared {
            self.tables.entry(*slice).or_default().clear();
        }
        for ((slice, host), weight) in &change.lines {
            let table = self.tables.entry(*slice).or_default();
            if *weight > 0.0 {
                table.insert(*host, *weight);
            } else {
                table.remove(host);
            }
        }
        self.admission_rates.extend(&change.admission_rates);
        for (host, is_excluded) in &change.exclusions {
            if *is_excluded {
                self.excluded.insert(*host);
            } else {
                self.excluded.remove(host);
            }
        }
        self.version += 1;
        self.append_to_log(change);
        self.version
    }

    fn append_to_log(&mut self, change: Arc<Change>) {
        self.logged_lines += change.cost();
        self.log.push_back(change);
        while self.log.len() > MAX_LOGGED_CHANGES
            || self.logged_lines > MAX_LOGGED_LINES && self.log.len() > 1
        {
            self.logged_lines -= self.log.pop_front().map_or(0, |oldest| oldest.cost());
        }
    }

    /// The entries of a slice's table, by host.
    pub fn table_entries(&self, slice: SliceId) -> Vec<WeightedHost> {
        let table = self.tables.get(&slice);
        table.into_iter().flatten().map(|(host, weight)| (*host, *weight).into()).collect()
    }

    /// The complete state for a proxy that holds none, or an unknown one: every table is cleared first.
    pub fn snapshot(&self) -> Change {
        let mut lines = BTreeMap::new();
        for (slice, table) in &self.tables {
            lines.extend(table.iter().map(|(host, weight)| ((*slice, *host), *weight)));
        }
        Change {
            reset: true,
            cleared: self.tables.keys().copied().collect(),
            lines,
            admission_rates: self.admission_rates.clone(),
            exclusions: self.excluded.iter().map(|host| (*host, true)).collect(),
            assigned_table: None,
            epochs: self.epochs.clone(),
        }
    }

    /// One complete table, for a proxy to which it is assigned.
    pub fn table_assignment(&self, table: SliceId) -> Change {
        let entries = self.table_entries(table);
        let lines = entries.into_iter().map(|entry| ((table, entry.host), entry.weight));
        Change {
            cleared: BTreeSet::from([table]),
            lines: lines.collect(),
            assigned_table: Some(table),
            ..Change::default()
        }
    }

    /// The changes that a proxy at this version lacks; `None` if the log does not go back that far or the version is in
    /// the future.
    pub fn changes_since(&self, version: u64) -> Option<Change> {
        let missing = usize::try_from(self.version.checked_sub(version)?).ok()?;
        let first = self.log.len().checked_sub(missing)?;
        let mut merged = Change::default();
        for change in self.log.range(first..) {
            merged.merge(change);
        }
        Some(merged)
    }
}

#[cfg(test)]
mod tests;
