//! Views in simulated time: many runs without a breach, and each safeguard that is left out is found.
use railhub_chaos::explorer::membership::explore;
use railhub_chaos::view::figures::view_figures;
use railhub_chaos::view::judge::{judge, GOSSIP_ENDS, NO_RESURRECTION, NO_SPLIT, SETTLES};
use railhub_chaos::view::simulation::run;
use railhub_chaos::view::{Node, RunOptions, ViewObservation};
use railhub_chaos::{ChaosConfig, Fault, FaultKind, LinkFaults};
use railhub_membership::safeguard::Safeguard;
use std::path::Path;

fn chaos() -> ChaosConfig {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../chaos/view.ini");
    ChaosConfig::open(&path).expect("a good file")
}

#[test]
fn no_rule_breaks_on_many_seeds() {
    let chaos = chaos();
    for seed in 0..150 {
        let faults = chaos.faults(seed);
        let events = run(&chaos, seed, &faults, RunOptions::default());
        let breaches = judge(&events);
        assert!(breaches.is_empty(), "seed {seed}: {breaches:#?}\n{faults:#?}");
    }
}

#[test]
fn the_same_seed_is_the_same_run() {
    let chaos = chaos();
    let play = || run(&chaos, 7, &chaos.faults(7), RunOptions::default());
    assert!(play() == play());
}

fn found(without: Safeguard, rules: &[&str]) {
    let chaos = chaos();
    let how = RunOptions { without: Some(without), ..RunOptions::default() };
    let breaks = |seed: &u64| {
        let breaches = judge(&run(&chaos, *seed, &chaos.faults(*seed), how));
        breaches.iter().any(|breach| rules.contains(&breach.rule))
    };
    assert!((0..200).any(|seed| breaks(&seed)), "{without:?} is not found in 200 runs");
}

#[test]
fn a_suspect_that_does_not_say_otherwise_is_found() {
    found(Safeguard::Refutation, &[NO_SPLIT, SETTLES]);
}

#[test]
fn the_dead_that_are_not_asked_again_are_found() {
    found(Safeguard::DeadProbing, &[NO_SPLIT]);
}

#[test]
fn older_processes_that_count_are_found() {
    found(Safeguard::ProcessOrder, &[NO_RESURRECTION, NO_SPLIT, SETTLES]);
}

#[test]
fn views_that_are_never_compared_are_found() {
    found(Safeguard::AntiEntropy, &[NO_SPLIT, SETTLES]);
}

#[test]
fn rumours_without_end_are_found() {
    found(Safeguard::GossipLimit, &[GOSSIP_ENDS]);
}

fn with(faults: &[Fault], how: RunOptions) -> Vec<ViewObservation> {
    let events = run(&chaos(), 1, faults, how);
    let breaches = judge(&events);
    assert!(breaches.is_empty(), "{breaches:#?}");
    events
}

/// Whether any process shows this steward as gone within some seconds.
fn held_gone(events: &[ViewObservation], steward: u16, from: f64, until: f64) -> bool {
    events.iter().any(|event| match event {
        ViewObservation::View { at, gone, .. } if (from..until).contains(at) => {
            gone.iter().any(|(id, _)| *id == steward)
        }
        _ => false,
    })
}

#[test]
fn two_that_cannot_reach_each_other_do_not_bury_each_other() {
    let events = with(
        &[Fault { at: 5.0, duration: 0.0, kind: FaultKind::SeparatePair { a: 0, b: 1 } }],
        RunOptions::default(),
    );
    assert!((0..5).all(|steward| !held_gone(&events, steward, 3.0, 100.0)));
}

#[test]
fn a_steward_that_was_paused_for_a_second_is_buried_by_nobody_and_buries_nobody() {
    let events = with(
        &[Fault { at: 5.0, duration: 1.0, kind: FaultKind::Pause { controller: 2 } }],
        RunOptions::default(),
    );
    assert!((0..5).all(|steward| !held_gone(&events, steward, 3.0, 100.0)));
}

#[test]
fn a_steward_that_is_gone_for_long_is_forgotten_and_its_next_process_is_believed() {
    let how = RunOptions { forget_after: 6.0, ..RunOptions::default() };
    let events = with(&[Fault { at: 5.0, duration: 20.0, kind: FaultKind::Kill { controller: 2 } }], how);
    assert!(held_gone(&events, 2, 9.0, 11.0) && !held_gone(&events, 2, 17.0, 24.0));
}

/// Found by simulated runs with short forgetting: each told the other so, at the speed of the net.
#[test]
fn two_that_have_forgotten_each_other_do_not_tell_each_other_so_without_end() {
    let how = RunOptions { forget_after: 4.0, ..RunOptions::default() };
    let faults = [Fault { at: 5.0, duration: 25.0, kind: FaultKind::Partition { side: 0b11 } }];
    let chaos = ChaosConfig { length: 120.0, ..chaos() };
    let events = run(&chaos, 3, &faults, how);
    assert!(view_figures(&events).datagrams < 60.0, "{:?}", view_figures(&events));
    let last = events.iter().rev().find_map(|event| match event {
        ViewObservation::View { alive, .. } => Some(alive.len()),
        _ => None,
    });
    assert_eq!(last, Some(5), "the addresses of the file bring them together again");
}

/// What a steward sends hardly grows with the fleet.
#[test]
fn cost_a_steward_is_flat() {
    let bytes = |stewards: u16| {
        let chaos = ChaosConfig { controllers: stewards, ..chaos() };
        view_figures(&run(&chaos, 1, &[], RunOptions::default())).bytes
    };
    let (five, fifteen) = (bytes(5), bytes(15));
    assert!(fifteen <= five * 1.2, "{five:.0} and {fifteen:.0} bytes a steward and second");
}

/// The judge itself: a view that is wrong for one look is a breach.
#[test]
fn the_judge_finds_one_wrong_look() {
    let mut events = with(&[], RunOptions::default());
    let place =
        events.iter().rposition(|event| matches!(event, ViewObservation::View { .. })).expect("a view");
    if let ViewObservation::View { alive, .. } = &mut events[place] {
        alive.pop();
    }
    assert_eq!(judge(&events).first().map(|breach| breach.rule), Some(NO_SPLIT));
    let down = ViewObservation::Ended { at: 1.0, node: Node(1), controller: 0 };
    events.insert(0, down);
    assert!(!judge(&events).is_empty(), "one that ended and is held to live");
}

#[test]
fn lossy_links_delay_the_truth_and_do_not_change_it() {
    let faults = LinkFaults { loss: 0.2, duplication: 0.2, reordering: 0.3, delay: 0.01, jitter: 0.02 };
    let bad = Fault { at: 4.0, duration: 20.0, kind: FaultKind::Links { faults } };
    with(
        &[bad, Fault { at: 8.0, duration: 6.0, kind: FaultKind::Kill { controller: 3 } }],
        RunOptions::default(),
    );
}

#[test]
fn every_order_of_words_losses_and_crashes_ends_in_the_truth() {
    let explored = explore(None, 60_000);
    assert!(explored.counterexample.is_none(), "{:#?}", explored.counterexample);
    assert!(explored.states > 10_000, "{} states", explored.states);
}

#[test]
fn the_explorer_finds_missing_refutation_and_ignored_processes() {
    for without in [Safeguard::Refutation, Safeguard::ProcessOrder] {
        let explored = explore(Some(without), 60_000);
        assert!(explored.counterexample.is_some(), "{without:?}: none in {} states", explored.states);
    }
}
