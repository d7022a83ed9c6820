//! Many runs without a broken rule, and sabotage that must be found.
use railhub_chaos::explore_leases::{explore, Without};
use railhub_chaos::judge::{figures, judge, NEVER_BACK, NOT_PAST, NOT_TWICE, ONE_STEWARD};
use railhub_chaos::shrink::shrink;
use railhub_chaos::{run, Chaos, Event, Fault, Sabotage, What};
use std::path::Path;

fn chaos() -> Chaos {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../chaos/three.ini");
    Chaos::open(&path).expect("a good file")
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
    found(Sabotage::NoFence, NEVER_BACK);
}

#[test]
fn an_epoch_that_is_used_again_is_found() {
    found(Sabotage::EpochReused, ONE_STEWARD);
}

#[test]
fn a_lease_that_is_overrun_is_found() {
    found(Sabotage::LeaseOverrun, NOT_PAST);
}

#[test]
fn an_order_taken_twice_is_found() {
    found(Sabotage::NoMemory, NOT_TWICE);
}

fn with(faults: Vec<Fault>) -> Vec<Event> {
    let events = run(&chaos(), 1, &faults, None);
    let breaches = judge(&events);
    assert!(breaches.is_empty(), "{breaches:?}");
    events
}

fn last_holders(events: &[Event], from: f64) -> std::collections::BTreeMap<u16, u64> {
    let ordered = events.iter().filter_map(|event| match event {
        Event::Ordered { at, slice, process, .. } if *at > from => Some((*slice, *process)),
        _ => None,
    });
    ordered.collect()
}

#[test]
fn the_slices_of_a_dead_steward_are_decided_again_by_the_others() {
    let events = with(vec![Fault { at: 20.0, long: 100.0, what: What::Kill { steward: 1 } }]);
    let figures = figures(&events);
    assert!(figures.taken_up.len() > 8, "{figures:?}");
    assert!(figures.taken_up.iter().all(|took| *took < 6.0), "{figures:?}");
    assert_eq!(last_holders(&events, 55.0).len(), 48, "every slice has its steward");
}

#[test]
fn a_flapping_steward_does_not_carry_slices_to_and_fro() {
    let events = with(vec![Fault { at: 15.0, long: 35.0, what: What::Flap { steward: 2 } }]);
    assert!(figures(&events).handed <= 60, "{}", figures(&events).handed);
}

#[test]
fn a_drained_steward_hands_over_everything() {
    let events = with(vec![Fault { at: 15.0, long: 0.0, what: What::Drain { steward: 0 } }]);
    let drained = 1;
    assert!(last_holders(&events, 40.0).values().all(|process| *process != drained));
    assert_eq!(last_holders(&events, 40.0).len(), 48);
}

#[test]
fn without_the_store_nothing_new_is_ordered_and_all_goes_on_when_it_is_back() {
    let events = with(vec![Fault { at: 20.0, long: 10.0, what: What::StoreAway }]);
    let ordered = |from: f64, until: f64| {
        events.iter().filter(|e| matches!(e, Event::Ordered { at, .. } if (from..until).contains(at))).count()
    };
    assert_eq!(ordered(23.5, 30.0), 0);
    assert_eq!(last_holders(&events, 33.0).len(), 48);
}

#[test]
fn both_sides_of_a_split_keep_what_they_hold() {
    let events = with(vec![Fault { at: 15.0, long: 20.0, what: What::Split { side: 1 } }]);
    assert_eq!(figures(&events).handed, 0, "each renews its leases at the store");
}

/// Moments between two microseconds: a steward that was due just before it wakes waited for ever.
#[test]
fn pauses_that_end_at_any_moment_end() {
    for n in 0..200 {
        let at = 7.0 + f64::from(n) * 0.010_000_37;
        let faults =
            [Fault { at, long: 1.000_000_3 + f64::from(n) * 1e-7, what: What::Pause { steward: 1 } }];
        let chaos = Chaos { length: 20.0, ..chaos() };
        let events = run(&chaos, 1, &faults, None);
        assert!(events.iter().any(|event| matches!(event, Event::Ordered { at, .. } if *at > 19.0)));
    }
}

#[test]
fn the_explorer_of_leases_finds_nothing_and_each_defence_that_is_left_out() {
    let explored = explore(Without::Nothing, 150_000);
    assert!(explored.counterexample.is_none(), "{:#?}", explored.counterexample);
    for without in [Without::Fence, Without::NewEpochs, Without::LeaseEnd, Without::Quiet] {
        let explored = explore(without, 1_500_000);
        assert!(explored.counterexample.is_some(), "{without:?}: none in {} states", explored.states);
    }
}
