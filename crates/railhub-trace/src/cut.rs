//! Takes a part of recorded traffic.
use crate::{Row, Traffic};

/// What stays. Times are seconds of the recording.
#[derive(Clone, Debug, Default)]
pub struct Part {
    pub from: f64,
    pub until: Option<f64>,
    /// Empty: all.
    pub classes: Vec<u32>,
    pub zones: Vec<u32>,
}

/// The part, with times that begin at its start. Sums whose span reaches over an edge stay with the share of
/// their operations that lies inside.
pub fn cut(traffic: &Traffic, part: &Part) -> Traffic {
    let until = part.until.unwrap_or(traffic.facts.length).min(traffic.facts.length);
    let length = (until - part.from).max(0.0);
    let named = |names: &[u32], name: u32| names.is_empty() || names.contains(&name);
    let rows =
        traffic.rows.iter().filter(|row| named(&part.classes, row.class) && named(&part.zones, row.zone));
    let mut cut = Traffic { facts: traffic.facts.clone(), rows: Vec::new() };
    cut.rows.extend(rows.filter_map(|row| inside(row, part.from, until)));
    cut.facts.length = length;
    cut
}

fn inside(row: &Row, from: f64, until: f64) -> Option<Row> {
    if row.span == 0.0 {
        return (from..until).contains(&row.at).then_some(Row { at: row.at - from, ..*row });
    }
    let (begin, end) = ((row.at - row.span).max(from), row.at.min(until));
    let span = end - begin;
    let count = (f64::from(row.count) * span / row.span).round() as u32;
    (span > 0.0 && count > 0).then_some(Row { at: end - from, span, count, ..*row })
}

#[cfg(test)]
mod tests;
