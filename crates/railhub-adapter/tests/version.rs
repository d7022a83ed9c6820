//! Runs the adapter as an external decision engine in the simulator, and compares it with the controller that runs in
//! the simulator's own process.
use railhub_invariants::{check, limits};
use railhub_record::Event;
use railhub_scenario::report::service;
use railhub_scenario::Scenario;
use railhub_simulator::{run, Policy, TimingModel};
use std::path::{Path, PathBuf};

fn simulate(name: &str, seed: u64, policy: &Policy) -> Vec<Event> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name);
    let scenario = Scenario { seed, ..Scenario::open(&path).expect("valid scenario") };
    run(&scenario, policy, TimingModel::default()).expect("the run completes")
}

fn adapter() -> Policy {
    Policy::Version(PathBuf::from(env!("CARGO_BIN_EXE_railhub-adapter")))
}

/// The wire protocol rounds times to whole microseconds, the controller in the same process does not. Nothing else may
/// differ.
#[test]
fn adapter_matches_in_process_controller() {
    let mut service_difference = 0.0f64;
    for seed in 1..=3 {
        for name in ["short.ini", "short-weights.ini"] {
            let service_of = |policy: &Policy| {
                let events = simulate(name, seed, policy);
                assert!(
                    check(&events).expect("valid recording").iter().all(|verdict| verdict.kept),
                    "{name} {seed}"
                );
                service(&events, limits(&events).expect("limits come first")).overall
            };
            service_difference += service_of(&adapter()) - service_of(&Policy::Controller);
        }
    }
    assert!(service_difference.abs() / 6.0 < 0.01, "{service_difference} over six runs");
}

#[test]
fn external_engine_restarts_with_its_controller() {
    let events = simulate("short.ini", 3, &adapter());
    let starts = events
        .iter()
        .filter(|event| matches!(&event.kind, Some(railhub_record::EventKind::ControllerLifecycle(life)) if life.running));
    assert_eq!(starts.count(), 2);
}

#[test]
fn failing_external_engine_is_named_in_error() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/short.ini");
    let scenario = Scenario::open(&path).expect("valid scenario");
    let error =
        run(&scenario, &Policy::Version("/bin/false".into()), TimingModel::default()).expect_err("an error");
    assert!(error.starts_with("the version /bin/false: "), "{error}");
}
