use super::*;
use crate::samples::{row, traffic};

/// Every fifth operation is for one key; nine of ten come in the first of ten seconds.
fn bursty() -> Traffic {
    let at = |n: u32| {
        if !n.is_multiple_of(10) {
            f64::from(n) / 20_000.0
        } else {
            1.0 + f64::from(n) / 2222.0
        }
    };
    let key = |n: u32| if n.is_multiple_of(5) { 1 } else { 100 + u64::from(n) };
    let mut all = traffic((0..20_000).map(|n| row(at(n), 0, key(n))).collect());
    all.sort();
    all.facts.length = 10.0;
    all
}

fn share(all: &Traffic, of: impl Fn(&Row) -> bool) -> f64 {
    all.rows.iter().filter(|row| of(row)).count() as f64 / all.rows.len() as f64
}

#[test]
fn more_and_less_keep_bursts_and_hot_keys() {
    let all = bursty();
    for times in [0.3, 2.5] {
        let scaled = scale(&all, times, 1.0, CopiesOf::SameKeys, 4);
        let got = scaled.rows.len() as f64 / all.rows.len() as f64;
        assert!((got / times - 1.0).abs() < 0.03, "{got} for {times}");
        assert!((share(&scaled, |row| row.key == Some(1)) - 0.2).abs() < 0.02);
        assert!((share(&scaled, |row| row.at < 1.0) - 0.9).abs() < 0.02);
    }
}

#[test]
fn other_keys_are_more_users_each_as_hot() {
    let scaled = scale(&bursty(), 3.0, 1.0, CopiesOf::OtherKeys, 4);
    let hot = |key: u64| share(&scaled, |row| row.key == Some(key));
    assert!((hot(1) - 0.2 / 3.0).abs() < 0.01);
    let second = (1 ^ KEY_MIX) >> 1;
    assert!((hot(second) - 0.2 / 3.0).abs() < 0.01);
}

#[test]
fn stretched_traffic_is_slower_by_as_much() {
    let scaled = scale(&bursty(), 1.0, 2.0, CopiesOf::SameKeys, 4);
    assert_eq!((scaled.rows.len(), scaled.facts.length), (20_000, 20.0));
    assert!((share(&scaled, |row| row.at < 2.0) - 0.9).abs() < 0.02);
}
