use super::*;
use crate::{run, Policy, TimingModel};
use railhub_scenario::Scenario;

#[test]
fn what_went_into_a_record_is_read_out_of_it() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/short.ini");
    let day = Scenario::open(&path).expect("a good script");
    let physics = TimingModel { message_latency: 0.000_4, completion_delay: 0.001_5 };
    let samples = samples(&run(&day, &Policy::Controller, physics).expect("it runs"));
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    assert!(samples.message_latency.len() > 1000 && samples.completion_delay.len() > 100);
    assert!((mean(&samples.message_latency) - physics.message_latency).abs() < 0.000_02);
    assert!((mean(&samples.completion_delay) - physics.completion_delay).abs() < 0.000_2);
}
