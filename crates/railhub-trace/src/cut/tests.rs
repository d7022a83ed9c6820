use super::*;
use crate::samples::{row, traffic};

#[test]
fn a_part_begins_at_zero_and_keeps_what_lies_in_it() {
    let all = traffic((0..100).map(|n| row(n as f64 / 10.0, n % 2, u64::from(n))).collect());
    let part = Selection { from: 2.0, until: Some(4.0), classes: vec![1], zones: vec![] };
    let cut = cut(&all, &part);
    assert_eq!((cut.rows.len(), cut.header.length), (10, 2.0));
    assert_eq!(cut.rows[0].key, Some(21));
    assert!((cut.rows[0].at - 0.1).abs() < 1e-9);
}

#[test]
fn sums_over_an_edge_are_shared_out() {
    let sum = TraceRow { at: 10.0, span: 4.0, count: 8, key: None, work: None, ..row(0.0, 0, 0) };
    let all = traffic(vec![sum]);
    let of = |from, until| cut(&all, &Selection { from, until: Some(until), ..Selection::default() }).rows;
    assert_eq!((of(0.0, 7.0)[0].count, of(0.0, 7.0)[0].at, of(0.0, 7.0)[0].span), (2, 7.0, 1.0));
    assert_eq!(of(9.0, 11.0)[0].count, 2);
    assert!(of(0.0, 6.0).is_empty());
}
