//! Many runs without a broken rule, and sabotage that must be found.
use railhub_chaos::explorer::lease::{explore, OmittedSafeguard};
use railhub_chaos::lease::judge::{
    judge, NO_COMMAND_AFTER_LEASE, NO_COMMAND_TWICE, NO_LOWER_EPOCH, ONE_CONTROLLER,
};
use railhub_chaos::lease::recovery::recovery_figures;
use railhub_chaos::lease::shrink::shrink;
use railhub_chaos::lease::simulation::run;
use railhub_chaos::{ChaosConfig, Fault, FaultKind, LeaseObservation, Sabotage};
use std::path::Path;

fn chaos() -> ChaosConfig {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../chaos/three.ini");
    ChaosConfig::open(&path).expect("a good file")
}

#[test]
fn no_rule_breaks_on_many_seeds() {
    let chaos = chaos();
    for seed in 0..150 {
        let breaches = judge(&run(&chaos, seed, &chaos.faults(seed), None));
        assert!(breaches.is_empty(), "seed {seed}: {breaches:?}");
    }
}

#[test]
fn the_same_seed_is_the_same_run() {
    let chaos = chaos();
    let play = || run(&chaos, 7, &chaos.faults(7), None);
    assert!(play() == play());
}

fn found(sabotage: Sabotage, rule: &str) {
    let chaos = chaos();
    let breaks = |seed: &u64| {
        let breaches = judge(&run(&chaos, *seed, &chaos.faults(*seed), Some(sabotage)));
        breaches.iter().any(|breach| breach.rule == rule)
    };
    let seed = (0..200).find(breaks).unwrap_or_else(|| panic!("{sabotage:?} is not found in 200 runs"));
    let faults = chaos.faults(seed);
    let (fewer, breaches) = shrink(&chaos, seed, &faults, Some(sabotage), rule);
    assert!(fewer.len() <= faults.len() && breaches.iter().any(|breach| breach.rule == rule));
    assert!(judge(&run(&chaos, seed, &fewer, Some(sabotage))) == breaches, "it replays");
}

#[test]
fn fencing_switched_off_is_found() {
    found(Sabotage::NoFence, NO_LOWER_EPOCH);
}

#[test]
fn an_epoch_that_is_used_again_is_found() {
    found(Sabotage::EpochReused, ONE_CONTROLLER);
}

#[test]
fn a_lease_that_is_overrun_is_found() {
    found(Sabotage::LeaseOverrun, NO_COMMAND_AFTER_LEASE);
}

#[test]
fn an_order_taken_twice_is_found() {
    found(Sabotage::NoMemory, NO_COMMAND_TWICE);
}

fn with(faults: Vec<Fault>) -> Vec<LeaseObservation> {
    let events = run(&chaos(), 1, &faults, None);
    let breaches = judge(&events);
    assert!(breaches.is_empty(), "{breaches:?}");
    events
}

fn last_holders(events: &[LeaseObservation], from: f64) -> std::collections::BTreeMap<u16, u64> {
    let ordered = events.iter().filter_map(|event| match event {
        LeaseObservation::Commanded { at, slice, process, .. } if *at > from => Some((*slice, *process)),
        _ => None,
    });
    ordered.collect()
}

#[test]
fn the_slices_of_a_dead_steward_are_decided_again_by_the_others() {
    let events = with(vec![Fault { at: 20.0, duration: 100.0, kind: FaultKind::Kill { controller: 1 } }]);
    let figures = recovery_figures(&events);
    assert!(figures.recovery_times.len() > 8, "{figures:?}");
    assert!(figures.recovery_times.iter().all(|took| *took < 6.0), "{figures:?}");
    assert_eq!(last_holders(&events, 55.0).len(), 48, "every slice has its steward");
}

#[test]
fn a_flapping_steward_does_not_carry_slices_to_and_fro() {
    let events = with(vec![Fault { at: 15.0, duration: 35.0, kind: FaultKind::Flap { controller: 2 } }]);
    assert!(recovery_figures(&events).handovers <= 60, "{}", recovery_figures(&events).handovers);
}

#[test]
fn a_drained_steward_hands_over_everything() {
    let events = with(vec![Fault { at: 15.0, duration: 0.0, kind: FaultKind::Drain { controller: 0 } }]);
    let drained = 1;
    assert!(last_holders(&events, 40.0).values().all(|process| *process != drained));
    assert_eq!(last_holders(&events, 40.0).len(), 48);
}

#[test]
fn without_the_store_nothing_new_is_ordered_and_all_goes_on_when_it_is_back() {
    let events = with(vec![Fault { at: 20.0, duration: 10.0, kind: FaultKind::StoreUnavailable }]);
    let ordered = |from: f64, until: f64| {
        events
            .iter()
            .filter(|e| matches!(e, LeaseObservation::Commanded { at, .. } if (from..until).contains(at)))
            .count()
    };
    assert_eq!(ordered(23.5, 30.0), 0);
    assert_eq!(last_holders(&events, 33.0).len(), 48);
}

#[test]
fn both_sides_of_a_split_keep_what_they_hold() {
    let events = with(vec![Fault { at: 15.0, duration: 20.0, kind: FaultKind::Partition { side: 1 } }]);
    assert_eq!(recovery_figures(&events).handovers, 0, "each renews its leases at the store");
}

/// Moments between two microseconds: a steward that was due just before it wakes waited for ever.
#[test]
fn pauses_that_end_at_any_moment_end() {
    for n in 0..200 {
        let at = 7.0 + f64::from(n) * 0.010_000_37;
        let faults = [Fault {
            at,
            duration: 1.000_000_3 + f64::from(n) * 1e-7,
            kind: FaultKind::Pause { controller: 1 },
        }];
        let chaos = ChaosConfig { length: 20.0, ..chaos() };
        let events = run(&chaos, 1, &faults, None);
        assert!(events
            .iter()
            .any(|event| matches!(event, LeaseObservation::Commanded { at, .. } if *at > 19.0)));
    }
}

#[test]
fn the_explorer_of_leases_finds_nothing_and_each_defence_that_is_left_out() {
    let explored = explore(OmittedSafeguard::Nothing, 150_000);
    assert!(explored.counterexample.is_none(), "{:#?}", explored.counterexample);
    for without in [
        OmittedSafeguard::Fence,
        OmittedSafeguard::NewEpochs,
        OmittedSafeguard::LeaseExpiry,
        OmittedSafeguard::GracePeriod,
    ] {
        let explored = explore(without, 1_500_000);
        assert!(explored.counterexample.is_some(), "{without:?}: none in {} states", explored.states);
    }
}
