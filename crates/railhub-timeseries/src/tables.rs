//! What proxies were told of tables. Each version counts once: the first proxy to learn it tells it.
use railhub_proto::Delta;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Default)]
pub struct Tables {
    lines: BTreeMap<u32, BTreeMap<String, f64>>,
    /// Incarnation and version.
    newest: (u64, u64),
}

impl Tables {
    /// Slices whose heaviest line moved to another host, and lines that were put to 0; `None` if the version was
    /// known. A whole brings none of either: it says again what stands.
    pub fn take(&mut self, delta: &Delta) -> Option<(u32, u32)> {
        let version = (delta.incarnation, delta.version);
        if version <= self.newest {
            return None;
        }
        self.newest = version;
        let slices: BTreeSet<u32> = delta.lines.iter().map(|line| line.slice).collect();
        let heads: Vec<Option<String>> = slices.iter().map(|slice| self.heaviest(*slice)).collect();
        let mut withdrawals = 0;
        for line in &delta.lines {
            let table = self.lines.entry(line.slice).or_default();
            if line.weight > 0.0 {
                table.insert(line.host.clone(), line.weight);
            } else if table.remove(&line.host).is_some() {
                withdrawals += 1;
            }
        }
        let has_moved = |(slice, head): &(&u32, Option<String>)| {
            head.is_some() && self.heaviest(**slice).is_some_and(|now| Some(now) != *head)
        };
        let moves = slices.iter().zip(heads).filter(has_moved).count() as u32;
        Some(if delta.reset { (0, 0) } else { (moves, withdrawals) })
    }

    pub fn version(&self) -> u64 {
        self.newest.1
    }

    fn heaviest(&self, slice: u32) -> Option<String> {
        let table = self.lines.get(&slice)?;
        let heaviest = table.iter().max_by(|a, b| a.1.total_cmp(b.1).then(b.0.cmp(a.0)))?;
        Some(heaviest.0.clone())
    }

    /// How many slices each host has the heaviest line of.
    pub fn slices_by_host(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for head in self.lines.keys().filter_map(|slice| self.heaviest(*slice)) {
            *counts.entry(head).or_default() += 1;
        }
        counts
    }
}

#[cfg(test)]
mod tests;
