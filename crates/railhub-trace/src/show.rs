//! Summary of a trace: counts, rates, and the hottest keys and slices.
use crate::{Trace, TraceRow};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of keys, and of slices, in a summary.
const MAX_HOTTEST_LISTED: usize = 5;
/// Lower bound of a length or span that counts are divided by.
const MIN_SECONDS: f64 = 1e-9;

/// Summary of a trace. The field names, or their `serde` names, are those of the JSON output.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Summary {
    /// Length in seconds.
    pub length: f64,
    /// Number of operations.
    pub operations: u64,
    /// Number of operations in aggregates, whose keys and work are unknown.
    #[serde(rename = "from_sums")]
    pub aggregated: u64,
    /// Class names with the number of operations of each.
    pub by_class: Vec<(String, u64)>,
    /// Zone names with the number of operations of each.
    pub by_zone: Vec<(String, u64)>,
    /// Number of distinct keys.
    pub keys: usize,
    /// The hottest keys with their fractions of all operations, in decreasing order.
    pub hot_keys: Vec<(u64, f64)>,
    /// The hottest slices with their fractions of all operations, in decreasing order.
    pub hot_slices: Vec<(u32, f64)>,
    /// Mean number of operations per second.
    pub rate: f64,
    /// Number of operations in the busiest second.
    #[serde(rename = "rate_most")]
    pub peak_rate: f64,
    /// Known work in core seconds per second; `None` if no work is known.
    pub work_rate: Option<f64>,
}

/// Summarizes a trace.
pub fn summarize(trace: &Trace) -> Summary {
    let mut counts = Counts::new(trace);
    for row in &trace.rows {
        counts.add(row);
    }
    let operations = trace.operations();
    let length = trace.header.length.max(MIN_SECONDS);
    Summary {
        length: trace.header.length,
        operations,
        aggregated: counts.aggregated,
        by_class: trace.header.classes.iter().cloned().zip(counts.classes).collect(),
        by_zone: trace.header.zones.iter().cloned().zip(counts.zones).collect(),
        keys: counts.keys.len(),
        hot_keys: hottest(counts.keys, operations),
        hot_slices: hottest(counts.slices, operations),
        rate: operations as f64 / length,
        peak_rate: counts.seconds.into_values().fold(0.0, f64::max),
        work_rate: counts.work.map(|work| work / length),
    }
}

/// Running counts of operations.
struct Counts {
    keys: BTreeMap<u64, u64>,
    slices: BTreeMap<u32, u64>,
    seconds: BTreeMap<u64, f64>,
    classes: Vec<u64>,
    zones: Vec<u64>,
    aggregated: u64,
    /// Sum of the known work in core seconds.
    work: Option<f64>,
}

impl Counts {
    fn new(trace: &Trace) -> Counts {
        Counts {
            keys: BTreeMap::new(),
            slices: BTreeMap::new(),
            seconds: BTreeMap::new(),
            classes: vec![0; trace.header.classes.len()],
            zones: vec![0; trace.header.zones.len()],
            aggregated: 0,
            work: None,
        }
    }

    fn add(&mut self, row: &TraceRow) {
        let count = u64::from(row.count);
        self.classes[row.class as usize] += count;
        self.zones[row.zone as usize] += count;
        *self.slices.entry(row.slice).or_insert(0) += count;
        if let Some(key) = row.key {
            *self.keys.entry(key).or_insert(0) += count;
        }
        if row.span > 0.0 {
            self.aggregated += count;
        }
        self.add_to_seconds(row);
        if let Some(work) = row.work {
            *self.work.get_or_insert(0.0) += work * f64::from(row.count);
        }
    }

    /// Distributes a row's operations evenly over the seconds of its span.
    fn add_to_seconds(&mut self, row: &TraceRow) {
        let begin = row.at - row.span;
        let span = row.span.max(MIN_SECONDS);
        let end = row.at.max(begin + span);
        for second in begin as u64..=row.at as u64 {
            let overlap = ((second + 1) as f64).min(end) - (second as f64).max(begin);
            let fraction = (overlap / span).clamp(0.0, 1.0);
            *self.seconds.entry(second).or_insert(0.0) += f64::from(row.count) * fraction;
        }
    }
}

/// The keys of the largest counts with their fractions of all operations; of equal counts, the smaller key first.
fn hottest<K: Copy>(counts: BTreeMap<K, u64>, operations: u64) -> Vec<(K, f64)> {
    let mut ranked: Vec<(K, u64)> = counts.into_iter().collect();
    ranked.sort_by_key(|(_, count)| Reverse(*count));
    ranked.truncate(MAX_HOTTEST_LISTED);
    let fraction = |count: u64| count as f64 / operations.max(1) as f64;
    ranked.into_iter().map(|(key, count)| (key, fraction(count))).collect()
}

#[cfg(test)]
mod tests;
