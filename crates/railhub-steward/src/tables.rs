//! What proxies are to hold: lines, levels and shut-outs in versions, and the latest changes between them.
//! Free of I/O and of clocks.
use railhub::{ClassId, HostId, RetryPolicy, Seconds, SliceId};
use railhub_proto::{AdmissionRate, Delta, HostExclusion, RetryCondition, SliceEpoch, TableLine};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Changes kept for proxies that come back, and lines in all of them: past either a proxy gets the whole.
const KEPT_CHANGES: usize = 256;
const KEPT_LINES: usize = 50_000;

/// The latest word on each thing that it names. Clears come before lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    pub reset: bool,
    pub cleared: BTreeSet<SliceId>,
    pub lines: BTreeMap<(SliceId, HostId), f64>,
    pub levels: BTreeMap<ClassId, (f64, RetryPolicy)>,
    pub shut: BTreeMap<HostId, bool>,
    pub handed: Option<SliceId>,
    /// Where stewards share the slices: the epoch that each slice named is ordered under.
    pub epochs: BTreeMap<SliceId, u64>,
}

impl Change {
    pub fn is_empty(&self) -> bool {
        !self.reset && self.handed.is_none() && self.cost() == 0
    }

    /// Lines it costs, without those of the message itself.
    pub fn cost(&self) -> usize {
        self.cleared.len() + self.lines.len() + self.levels.len() + self.shut.len()
    }

    /// Something in it must not wait: a host is to be left, or a proxy is to get its first tables.
    pub fn is_urgent(&self) -> bool {
        self.reset
            || self.handed.is_some()
            || self.lines.values().any(|weight| *weight <= 0.0)
            || self.shut.values().any(|out| *out)
    }

    /// This change and then a later one, as one.
    pub fn fold(&mut self, later: &Change) {
        if later.reset {
            self.reset = true;
            self.levels.clear();
            self.shut.clear();
        }
        self.lines.retain(|(slice, _), _| !later.cleared.contains(slice));
        self.cleared.extend(&later.cleared);
        self.lines.extend(&later.lines);
        self.levels.extend(&later.levels);
        self.shut.extend(&later.shut);
        self.handed = later.handed.or(self.handed);
        self.epochs.extend(&later.epochs);
    }

    /// Leaves out all that is said of slices that are not to be ordered.
    pub fn keep_slices(&mut self, keep: impl Fn(SliceId) -> bool) {
        self.lines.retain(|(slice, _), _| keep(*slice));
        self.cleared.retain(|slice| keep(*slice));
        self.epochs.retain(|slice, _| keep(*slice));
    }

    /// Slices that it says something of.
    pub fn slices(&self) -> BTreeSet<SliceId> {
        self.lines.keys().map(|key| key.0).chain(self.cleared.iter().copied()).collect()
    }

    /// Leaves out what a later change, which the proxy takes in by itself, has the word on.
    pub fn without(&mut self, later: &Change) {
        self.lines.retain(|key, _| !later.lines.contains_key(key) && !later.cleared.contains(&key.0));
        self.cleared.retain(|slice| !later.cleared.contains(slice));
        self.levels.retain(|class, _| !later.reset && !later.levels.contains_key(class));
        self.shut.retain(|host, _| !later.reset && !later.shut.contains_key(host));
        self.reset &= !later.reset;
        self.epochs.retain(|slice, _| !later.epochs.contains_key(slice));
    }

    /// The same for a proxy that is on no table yet.
    pub fn without_lines(&self) -> Change {
        let (cleared, lines, epochs) = Default::default();
        Change { cleared, lines, epochs, ..self.clone() }
    }

    pub fn to_delta(&self, incarnation: u64, version: u64, ordered_at: Seconds) -> Delta {
        Delta {
            nonce: version,
            incarnation,
            version,
            ordered_at,
            reset: self.reset,
            cleared: self.cleared.iter().map(|slice| slice.0.into()).collect(),
            lines: (self.lines.iter())
                .map(|((slice, host), weight)| TableLine {
                    slice: slice.0.into(),
                    host: host.to_string(),
                    weight: *weight,
                })
                .collect(),
            admission_rates: (self.levels.iter())
                .map(|(class, (share, again))| AdmissionRate {
                    class: class.0.into(),
                    rate: *share,
                    retry: way_again(*again).into(),
                })
                .collect(),
            exclusions: (self.shut.iter())
                .map(|(host, out)| HostExclusion { host: host.to_string(), excluded: *out })
                .collect(),
            assigned_table: self.handed.map(|table| table.0.into()),
            epochs: (self.epochs.iter())
                .map(|(slice, epoch)| SliceEpoch { slice: slice.0.into(), epoch: *epoch })
                .collect(),
        }
    }
}

fn way_again(second_try: RetryPolicy) -> RetryCondition {
    match second_try {
        RetryPolicy::Never => RetryCondition::Never,
        RetryPolicy::IfNotExecuted => RetryCondition::IfNotExecuted,
        RetryPolicy::AfterFailure => RetryCondition::AfterFailure,
    }
}

#[derive(Default)]
pub struct Tables {
    pub version: u64,
    lines: BTreeMap<SliceId, BTreeMap<HostId, f64>>,
    /// Slices in charge, where stewards share them.
    epochs: BTreeMap<SliceId, u64>,
    levels: BTreeMap<ClassId, (f64, RetryPolicy)>,
    shut: BTreeMap<HostId, bool>,
    /// The latest changes, the oldest first; the last one made the present version.
    log: VecDeque<Arc<Change>>,
    logged: usize,
}

impl Tables {
    /// A table as the store has it; proxies that join get it, no version is made.
    pub fn take_stored(&mut self, slice: SliceId, lines: &[(HostId, f64)]) {
        self.lines.insert(slice, lines.iter().copied().collect());
    }

    /// A slice comes into charge under an epoch, with its table as the store has it. Proxies go by another
    /// steward's word on it until they are told: see [`Tables::opening`].
    pub fn take_charge(&mut self, slice: SliceId, epoch: u64, lines: &[(HostId, f64)]) {
        self.take_stored(slice, lines);
        self.epochs.insert(slice, epoch);
    }

    /// It is another's from now on: proxies keep what they hold of it, and nothing more is said.
    pub fn give_up(&mut self, slice: SliceId) {
        self.lines.remove(&slice);
        self.epochs.remove(&slice);
    }

    /// The epoch under which a slice is in charge, where stewards share them.
    pub fn epoch(&self, slice: SliceId) -> Option<u64> {
        self.epochs.get(&slice).copied()
    }

    /// All of some slices, for proxies that have it from another steward.
    pub fn opening(&self, slices: &BTreeSet<SliceId>) -> Change {
        let mut change = Change { cleared: slices.clone(), ..Change::default() };
        for slice in slices {
            let lines = self.lines_of(*slice);
            change.lines.extend(lines.into_iter().map(|(host, weight)| ((*slice, host), weight)));
        }
        change
    }

    /// Leaves out slices that are not in charge, and says under which epoch the others are ordered.
    pub fn stamp(&self, change: &mut Change) {
        change.keep_slices(|slice| self.epochs.contains_key(&slice));
        let named = change.slices();
        change.epochs =
            self.epochs.iter().filter(|(slice, _)| named.contains(slice)).map(|(s, e)| (*s, *e)).collect();
    }

    /// Makes the next version.
    pub fn apply(&mut self, change: Arc<Change>) -> u64 {
        for slice in &change.cleared {
            self.lines.entry(*slice).or_default().clear();
        }
        for ((slice, host), weight) in &change.lines {
            let table = self.lines.entry(*slice).or_default();
            if *weight > 0.0 {
                table.insert(*host, *weight);
            } else {
                table.remove(host);
            }
        }
        self.levels.extend(&change.levels);
        self.shut.extend(&change.shut);
        self.version += 1;
        self.logged += change.cost();
        self.log.push_back(change);
        while self.log.len() > KEPT_CHANGES || self.logged > KEPT_LINES && self.log.len() > 1 {
            self.logged -= self.log.pop_front().map_or(0, |oldest| oldest.cost());
        }
        self.version
    }

    pub fn lines_of(&self, slice: SliceId) -> Vec<(HostId, f64)> {
        let table = self.lines.get(&slice);
        table.into_iter().flatten().map(|(host, weight)| (*host, *weight)).collect()
    }

    /// All that a proxy which holds nothing is to hold: every table it may have is named.
    pub fn whole(&self) -> Change {
        let lines = self
            .lines
            .iter()
            .flat_map(|(slice, table)| table.iter().map(move |(host, weight)| ((*slice, *host), *weight)));
        Change {
            reset: true,
            cleared: self.lines.keys().copied().collect(),
            lines: lines.collect(),
            levels: self.levels.clone(),
            shut: self.shut.iter().filter(|(_, out)| **out).map(|(host, out)| (*host, *out)).collect(),
            handed: None,
            epochs: self.epochs.clone(),
        }
    }

    /// One table, for a proxy that is put on it.
    pub fn handing(&self, table: SliceId) -> Change {
        let lines = self.lines_of(table).into_iter().map(|(host, weight)| ((table, host), weight));
        Change {
            cleared: BTreeSet::from([table]),
            lines: lines.collect(),
            handed: Some(table),
            ..Change::default()
        }
    }

    /// What a proxy at such a version lacks; `None` if that is not known any more.
    pub fn since(&self, version: u64) -> Option<Change> {
        let lacking = usize::try_from(self.version.checked_sub(version)?).ok()?;
        let from = self.log.len().checked_sub(lacking)?;
        let mut all = Change::default();
        self.log.range(from..).for_each(|change| all.fold(change));
        Some(all)
    }
}

#[cfg(test)]
mod tests;
