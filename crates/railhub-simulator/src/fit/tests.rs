use super::*;
use crate::{run, Policy, TimingModel};
use railhub_scenario::Scenario;

#[test]
fn finds_the_delays_of_a_simulated_recording() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/short.ini");
    let scenario = Scenario::open(&path).expect("a good script");
    let timing_model = TimingModel { message_latency: 0.000_4, completion_delay: 0.001_5 };
    let samples = samples(&run(&scenario, &Policy::Controller, timing_model).expect("it runs"));
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    assert!(samples.message_latency.len() > 1000 && samples.completion_delay.len() > 100);
    assert!((mean(&samples.message_latency) - timing_model.message_latency).abs() < 0.000_02);
    assert!((mean(&samples.completion_delay) - timing_model.completion_delay).abs() < 0.000_2);
}
