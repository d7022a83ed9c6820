use super::*;
use railhub_record::{EventKind, Limits};

/// With such limits a check of all slices over the whole run would not end.
#[test]
fn implausible_limits_are_an_error() {
    let is_valid = |from: f64, until: f64, slices: u32| {
        let limits = Limits { from, until, slices, ..Limits::default() };
        check(&[Event { at: 0.0, kind: Some(EventKind::Limits(limits)) }]).is_ok()
    };
    assert!(is_valid(2.0, 50.0, 100));
    for (from, until, slices) in
        [(2.0, 1e300, 1), (f64::NAN, 5.0, 1), (2.0, f64::INFINITY, 1), (9.0, 2.0, 1), (2.0, 5.0, u32::MAX)]
    {
        assert!(!is_valid(from, until, slices), "{from} {until} {slices}");
    }
}
