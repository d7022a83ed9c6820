//! The simulator runs the scenarios of the emulator, gives the same recording each time, and keeps the invariants.
use prost::Message;
use railhub_invariants::{check, limits};
use railhub_record::{Event, EventKind};
use railhub_scenario::report::service;
use railhub_scenario::Scenario;
use railhub_simulator::{run, Baseline, Policy, TimingModel};
use std::path::Path;

fn scenario(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name);
    Scenario::open(&path).expect("a valid scenario")
}

fn simulate(scenario: &Scenario, policy: &Policy) -> Vec<Event> {
    run(scenario, policy, TimingModel::default()).expect("the run completes")
}

fn overall_service(events: &[Event]) -> f64 {
    service(events, limits(events).expect("limits come first")).overall
}

#[test]
fn recording_is_reproducible() {
    let bytes =
        |events: Vec<Event>| events.iter().flat_map(|event| event.encode_to_vec()).collect::<Vec<u8>>();
    let scenario = scenario("short.ini");
    assert_eq!(
        bytes(simulate(&scenario, &Policy::Controller)),
        bytes(simulate(&scenario, &Policy::Controller))
    );
}

#[test]
fn tables_and_weights_keep_all_invariants_on_many_seeds() {
    for name in ["short.ini", "short-weights.ini", "first-bad-day.ini"] {
        for seed in 1..=10 {
            let scenario = Scenario { seed, ..scenario(name) };
            let events = simulate(&scenario, &Policy::Controller);
            let broken: Vec<_> = check(&events)
                .expect("a valid recording")
                .into_iter()
                .filter(|verdict| !verdict.kept)
                .collect();
            assert!(broken.is_empty(), "{name}, seed {seed}: {broken:?}");
        }
    }
}

#[test]
fn every_drawn_operation_ends() {
    let scenario = scenario("first-bad-day.ini");
    for policy in [Policy::Controller, Policy::Fixed, Policy::Baseline(Baseline::Even)] {
        let events = simulate(&scenario, &policy);
        let ends =
            events.iter().filter(|event| matches!(event.kind, Some(EventKind::OperationEnd(_)))).count();
        let host_configs = railhub_scenario::draw::hosts(&scenario, scenario.hosts, "hosts");
        let drawn =
            railhub_scenario::draw::arrivals(&scenario, railhub_scenario::draw::capacity(&host_configs))
                .len();
        assert_eq!(ends, drawn, "{policy:?}");
    }
}

#[test]
fn controller_serves_better_than_baseline_policies() {
    let scenario = scenario("first-bad-day.ini");
    let controller = overall_service(&simulate(&scenario, &Policy::Controller));
    for policy in [Policy::Fixed, Policy::Baseline(Baseline::Hash)] {
        let other = overall_service(&simulate(&scenario, &policy));
        assert!(controller > other + 0.02, "{controller} against {other} of {policy:?}");
    }
}

/// A policy may publish one table for all slices. The checker must not require tables that no proxy reads.
#[test]
fn policy_with_one_table_is_checked_against_that_table() {
    let scenario = scenario("one-hot-key.ini");
    for policy in [Baseline::Even, Baseline::Latency] {
        let events = simulate(&scenario, &Policy::Baseline(policy));
        let verdict = check(&events).expect("a valid recording").swap_remove(0);
        assert!(verdict.rule == 1 && verdict.kept && verdict.check_count > 0, "{policy:?}: {verdict:?}");
    }
}

/// One hot key, and a fleet that grows from 46 to 150 hosts during the run.
#[test]
fn hot_key_and_growth_keep_the_invariants_and_serve_better() {
    for (name, hosts, min_gain) in [("one-hot-key.ini", 12, 0.1), ("grows-to-150.ini", 150, 0.02)] {
        let scenario = scenario(name);
        let events = simulate(&scenario, &Policy::Controller);
        assert!(check(&events).expect("a valid recording").iter().all(|verdict| verdict.kept), "{name}");
        let started_hosts =
            events.iter().filter(|event| matches!(event.kind, Some(EventKind::HostStarted(_)))).count();
        assert_eq!(started_hosts, hosts, "{name}");
        let gain = overall_service(&events) - overall_service(&simulate(&scenario, &Policy::Fixed));
        assert!(gain > min_gain, "{name}: {gain}");
    }
}
