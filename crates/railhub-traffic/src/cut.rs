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
mod tests {
    use super::*;
    use crate::samples::{row, traffic};

    #[test]
    fn a_part_begins_at_zero_and_keeps_what_lies_in_it() {
        let all = traffic((0..100).map(|n| row(n as f64 / 10.0, n % 2, u64::from(n))).collect());
        let part = Part { from: 2.0, until: Some(4.0), classes: vec![1], zones: vec![] };
        let cut = cut(&all, &part);
        assert_eq!((cut.rows.len(), cut.facts.length), (10, 2.0));
        assert_eq!(cut.rows[0].key, Some(21));
        assert!((cut.rows[0].at - 0.1).abs() < 1e-9);
    }

    #[test]
    fn sums_over_an_edge_are_shared_out() {
        let sum = Row { at: 10.0, span: 4.0, count: 8, key: None, work: None, ..row(0.0, 0, 0) };
        let all = traffic(vec![sum]);
        let of = |from, until| cut(&all, &Part { from, until: Some(until), ..Part::default() }).rows;
        assert_eq!((of(0.0, 7.0)[0].count, of(0.0, 7.0)[0].at, of(0.0, 7.0)[0].span), (2, 7.0, 1.0));
        assert_eq!(of(9.0, 11.0)[0].count, 2);
        assert!(of(0.0, 6.0).is_empty());
    }
}
