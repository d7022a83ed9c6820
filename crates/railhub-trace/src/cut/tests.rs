use super::*;
use crate::samples::{row, trace};

#[test]
fn keeps_selected_rows_with_times_from_the_interval_start() {
    let whole = trace((0..100).map(|n| row(n as f64 / 10.0, n % 2, u64::from(n))).collect());
    let selection = Selection { from: 2.0, until: Some(4.0), classes: vec![1], zones: vec![] };
    let cut = cut(&whole, &selection);
    assert_eq!((cut.rows.len(), cut.header.length), (10, 2.0));
    assert_eq!(cut.rows[0].key, Some(21));
    assert!((cut.rows[0].at - 0.1).abs() < 1e-9);
}

#[test]
fn aggregate_across_a_bound_keeps_a_proportional_count() {
    let aggregate = TraceRow { at: 10.0, span: 4.0, count: 8, key: None, work: None, ..row(0.0, 0, 0) };
    let whole = trace(vec![aggregate]);
    let rows_between =
        |from, until| cut(&whole, &Selection { from, until: Some(until), ..Selection::default() }).rows;
    assert_eq!(
        (rows_between(0.0, 7.0)[0].count, rows_between(0.0, 7.0)[0].at, rows_between(0.0, 7.0)[0].span),
        (2, 7.0, 1.0)
    );
    assert_eq!(rows_between(9.0, 11.0)[0].count, 2);
    assert!(rows_between(0.0, 6.0).is_empty());
}
