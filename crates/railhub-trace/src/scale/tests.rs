use super::*;
use crate::samples::{row, trace};

/// A trace of 10 s: every fifth operation is for key 1, and nine of ten operations arrive in the first second.
fn bursty_trace() -> Trace {
    let at = |n: u32| {
        if !n.is_multiple_of(10) {
            f64::from(n) / 20_000.0
        } else {
            1.0 + f64::from(n) / 2222.0
        }
    };
    let key = |n: u32| if n.is_multiple_of(5) { 1 } else { 100 + u64::from(n) };
    let mut bursty = trace((0..20_000).map(|n| row(at(n), 0, key(n))).collect());
    bursty.sort();
    bursty.header.length = 10.0;
    bursty
}

fn fraction(trace: &Trace, selects: impl Fn(&TraceRow) -> bool) -> f64 {
    trace.rows.iter().filter(|row| selects(row)).count() as f64 / trace.rows.len() as f64
}

#[test]
fn scaling_preserves_bursts_and_hot_keys() {
    let original = bursty_trace();
    for times in [0.3, 2.5] {
        let scaled = scale(&original, times, 1.0, CopyKeys::SameKeys, 4);
        let ratio = scaled.rows.len() as f64 / original.rows.len() as f64;
        assert!((ratio / times - 1.0).abs() < 0.03, "{ratio} for {times}");
        assert!((fraction(&scaled, |row| row.key == Some(1)) - 0.2).abs() < 0.02);
        assert!((fraction(&scaled, |row| row.at < 1.0) - 0.9).abs() < 0.02);
    }
}

#[test]
fn copies_with_other_keys_are_as_hot_as_the_original() {
    let scaled = scale(&bursty_trace(), 3.0, 1.0, CopyKeys::OtherKeys, 4);
    let key_fraction = |key: u64| fraction(&scaled, |row| row.key == Some(key));
    assert!((key_fraction(1) - 0.2 / 3.0).abs() < 0.01);
    let copied_key = (1 ^ KEY_MIX_MULTIPLIER) >> 1;
    assert!((key_fraction(copied_key) - 0.2 / 3.0).abs() < 0.01);
}

#[test]
fn stretching_lengthens_the_trace_and_keeps_its_shape() {
    let scaled = scale(&bursty_trace(), 1.0, 2.0, CopyKeys::SameKeys, 4);
    assert_eq!((scaled.rows.len(), scaled.header.length), (20_000, 20.0));
    assert!((fraction(&scaled, |row| row.at < 2.0) - 0.9).abs() < 0.02);
}
