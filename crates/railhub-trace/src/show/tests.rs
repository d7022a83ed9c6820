use super::*;
use crate::samples::{row, trace};
use crate::TraceRow;

#[test]
fn summary_has_counts_rates_and_hot_keys() {
    let mut rows: Vec<TraceRow> =
        (0..90).map(|n| row(f64::from(n) / 30.0, n % 2, u64::from(n % 9))).collect();
    let aggregate = TraceRow { at: 3.0, span: 2.0, count: 10, key: None, work: None, ..row(0.0, 0, 0) };
    rows.push(aggregate);
    let summary = summarize(&trace(rows));
    assert_eq!((summary.operations, summary.aggregated, summary.keys), (100, 10, 9));
    assert_eq!(summary.by_class, [("view".to_owned(), 55), ("pay".to_owned(), 45)]);
    assert_eq!((summary.length, summary.rate, summary.peak_rate), (4.0, 25.0, 35.0));
    assert_eq!(summary.hot_keys[0], (0, 0.1));
    assert!((summary.work_rate.expect("work is known") - 9.0 / 4.0).abs() < 1e-9);
}
