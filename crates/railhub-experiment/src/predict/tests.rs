use super::*;
use std::path::Path;

/// Predictions enclose a run with another proxy seed as often as they claim.
#[test]
fn prediction_holds_one_more_run_as_often_as_claimed() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/short.ini");
    let scenario = Scenario::open(&path).expect("a valid scenario");
    let mut hits = 0;
    for seed in 1..=60 {
        let scenario = Scenario { seed, ..scenario.clone() };
        let interval = predict(&scenario, &Policy::Controller, TimingModel::default(), RUNS)
            .expect("the run completes")
            .service;
        let further_run = simulate(&scenario, &Policy::Controller, TimingModel::default(), 1000)
            .expect("the run completes")
            .0;
        hits += usize::from((interval.low..=interval.high).contains(&further_run));
    }
    assert!((48..=60).contains(&hits), "{hits} of 60");
}
