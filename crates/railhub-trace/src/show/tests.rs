use super::*;
use crate::samples::{row, traffic};
use crate::Row;

#[test]
fn counts_rates_and_hot_keys_are_told() {
    let mut rows: Vec<Row> = (0..90).map(|n| row(f64::from(n) / 30.0, n % 2, u64::from(n % 9))).collect();
    let sums = Row { at: 3.0, span: 2.0, count: 10, key: None, work: None, ..row(0.0, 0, 0) };
    rows.push(sums);
    let sight = sight(&traffic(rows));
    assert_eq!((sight.operations, sight.from_sums, sight.keys), (100, 10, 9));
    assert_eq!(sight.by_class, [("view".to_owned(), 55), ("pay".to_owned(), 45)]);
    assert_eq!((sight.length, sight.rate, sight.rate_most), (4.0, 25.0, 35.0));
    assert_eq!(sight.hot_keys[0], (0, 0.1));
    assert!((sight.work_rate.expect("known") - 9.0 / 4.0).abs() < 1e-9);
}
