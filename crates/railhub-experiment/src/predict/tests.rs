use super::*;
use std::path::Path;

/// Predictions from some lucks hold others as often as they say.
#[test]
fn one_more_run_lies_within_as_often_as_said() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/short.ini");
    let day = Scenario::open(&path).expect("a good script");
    let mut held = 0;
    for seed in 1..=60 {
        let day = Scenario { seed, ..day.clone() };
        let within =
            predict(&day, &Policy::Controller, TimingModel::default(), RUNS).expect("it runs").service;
        let other = one(&day, &Policy::Controller, TimingModel::default(), 1000).expect("it runs").0;
        held += usize::from((within.low..=within.high).contains(&other));
    }
    assert!((48..=60).contains(&held), "{held} of 60");
}
