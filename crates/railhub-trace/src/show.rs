//! Sums recorded traffic up.
use crate::Traffic;
use serde::Serialize;
use std::collections::BTreeMap;

/// Keys and slices that are named, the hottest first.
const NAMED: usize = 5;

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Sight {
    /// Seconds.
    pub length: f64,
    pub operations: u64,
    /// Operations that came as sums: neither key nor work is known of them.
    pub from_sums: u64,
    pub by_class: Vec<(String, u64)>,
    pub by_zone: Vec<(String, u64)>,
    pub keys: usize,
    /// The hottest keys and slices with their shares of all operations.
    pub hot_keys: Vec<(u64, f64)>,
    pub hot_slices: Vec<(u32, f64)>,
    /// Operations a second: mean, and the most of any second.
    pub rate: f64,
    pub rate_most: f64,
    /// Core seconds a second, where work is known.
    pub work_rate: Option<f64>,
}

pub fn sight(traffic: &Traffic) -> Sight {
    let (mut keys, mut slices, mut seconds) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    let (mut classes, mut zones) = (vec![0; traffic.facts.classes.len()], vec![0; traffic.facts.zones.len()]);
    let (mut from_sums, mut work) = (0, None::<f64>);
    for row in &traffic.rows {
        let count = u64::from(row.count);
        classes[row.class as usize] += count;
        zones[row.zone as usize] += count;
        *slices.entry(row.slice).or_insert(0) += count;
        if let Some(key) = row.key {
            *keys.entry(key).or_insert(0) += count;
        }
        if row.span > 0.0 {
            from_sums += count;
        }
        let (begin, span) = (row.at - row.span, row.span.max(1e-9));
        for second in begin as u64..=row.at as u64 {
            let inside = ((second + 1) as f64).min(row.at.max(begin + span)) - (second as f64).max(begin);
            *seconds.entry(second).or_insert(0.0) += f64::from(row.count) * (inside / span).clamp(0.0, 1.0);
        }
        if let Some(one) = row.work {
            *work.get_or_insert(0.0) += one * f64::from(row.count);
        }
    }
    let operations = traffic.operations();
    let length = traffic.facts.length.max(1e-9);
    Sight {
        length: traffic.facts.length,
        operations,
        from_sums,
        by_class: traffic.facts.classes.iter().cloned().zip(classes).collect(),
        by_zone: traffic.facts.zones.iter().cloned().zip(zones).collect(),
        keys: keys.len(),
        hot_keys: hottest(keys, operations),
        hot_slices: hottest(slices, operations),
        rate: operations as f64 / length,
        rate_most: seconds.into_values().fold(0.0, f64::max),
        work_rate: work.map(|work| work / length),
    }
}

fn hottest<K: Copy>(counts: BTreeMap<K, u64>, all: u64) -> Vec<(K, f64)> {
    let mut order: Vec<(K, u64)> = counts.into_iter().collect();
    order.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    order.truncate(NAMED);
    order.into_iter().map(|(key, count)| (key, count as f64 / all.max(1) as f64)).collect()
}

#[cfg(test)]
mod tests;
