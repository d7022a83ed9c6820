//! The model plays the days that the stand-ins play, the same to the byte, and keeps the rules.
use prost::Message;
use railhub_invariants::{check, limits};
use railhub_record::{Event, EventKind};
use railhub_scenario::report::service;
use railhub_scenario::Scenario;
use railhub_simulator::{run, Baseline, Policy, TimingModel};
use std::path::Path;

fn day(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name);
    Scenario::open(&path).expect("a good script")
}

fn play(day: &Scenario, policy: &Policy) -> Vec<Event> {
    run(day, policy, TimingModel::default()).expect("it runs")
}

fn served(events: &[Event]) -> f64 {
    service(events, limits(events).expect("limits come first")).overall
}

#[test]
fn the_same_day_is_the_same_to_the_byte() {
    let bytes =
        |events: Vec<Event>| events.iter().flat_map(|event| event.encode_to_vec()).collect::<Vec<u8>>();
    let day = day("short.ini");
    assert_eq!(bytes(play(&day, &Policy::Controller)), bytes(play(&day, &Policy::Controller)));
}

#[test]
fn both_kinds_of_publishing_keep_all_rules_on_many_seeds() {
    for name in ["short.ini", "short-weights.ini", "first-bad-day.ini"] {
        for seed in 1..=10 {
            let day = Scenario { seed, ..day(name) };
            let events = play(&day, &Policy::Controller);
            let broken: Vec<_> = check(&events).expect("a record").into_iter().filter(|v| !v.kept).collect();
            assert!(broken.is_empty(), "{name}, seed {seed}: {broken:?}");
        }
    }
}

#[test]
fn every_operation_that_was_drawn_has_an_end() {
    let day = day("first-bad-day.ini");
    for policy in [Policy::Controller, Policy::Fixed, Policy::Baseline(Baseline::Even)] {
        let events = play(&day, &policy);
        let ends =
            events.iter().filter(|event| matches!(event.kind, Some(EventKind::OperationEnd(_)))).count();
        let facts = railhub_scenario::draw::hosts(&day, day.hosts, "hosts");
        let drawn = railhub_scenario::draw::arrivals(&day, railhub_scenario::draw::capacity(&facts)).len();
        assert_eq!(ends, drawn, "{policy:?}");
    }
}

#[test]
fn the_steward_serves_a_bad_day_better_than_plain_policies() {
    let day = day("first-bad-day.ini");
    let steward = served(&play(&day, &Policy::Controller));
    for plain in [Policy::Fixed, Policy::Baseline(Baseline::Hash)] {
        let other = served(&play(&day, &plain));
        assert!(steward > other + 0.02, "{steward} against {other} of {plain:?}");
    }
}

/// One table for all slices is a line for each of them: the checker must not ask for tables that nobody reads.
#[test]
fn a_policy_of_one_table_is_judged_by_that_table() {
    let day = day("one-hot-key.ini");
    for policy in [Baseline::Even, Baseline::Latency] {
        let events = play(&day, &Policy::Baseline(policy));
        let lost = check(&events).expect("a record").swap_remove(0);
        assert!(lost.rule == 1 && lost.kept && lost.check_count > 0, "{policy:?}: {lost:?}");
    }
}

/// One hot key, and a fleet that grows from 46 to 150 hosts in mid-run: the hard cases of the issue.
#[test]
fn hard_days_keep_the_rules_and_serve_better_than_tables_that_stand() {
    for (name, hosts, better) in [("one-hot-key.ini", 12, 0.1), ("grows-to-150.ini", 150, 0.02)] {
        let day = day(name);
        let events = play(&day, &Policy::Controller);
        assert!(check(&events).expect("a record").iter().all(|verdict| verdict.kept), "{name}");
        let up = events.iter().filter(|event| matches!(event.kind, Some(EventKind::HostStarted(_)))).count();
        assert_eq!(up, hosts, "{name}");
        let gained = served(&events) - served(&play(&day, &Policy::Fixed));
        assert!(gained > better, "{name}: {gained}");
    }
}
