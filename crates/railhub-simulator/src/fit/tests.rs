use super::*;
use crate::{run, Physics, Policy};
use railhub_scenario::Scenario;

#[test]
fn what_went_into_a_record_is_read_out_of_it() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/short.ini");
    let day = Scenario::open(&path).expect("a good script");
    let physics = Physics { way: 0.000_4, work_late: 0.001_5 };
    let samples = samples(&run(&day, &Policy::Steward, physics).expect("it runs"));
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    assert!(samples.way.len() > 1000 && samples.work_late.len() > 100);
    assert!((mean(&samples.way) - physics.way).abs() < 0.000_02);
    assert!((mean(&samples.work_late) - physics.work_late).abs() < 0.000_2);
}
