//! Simulated view runs: random and listed faults break no rule, and each disabled safeguard is detected.
use railhub_chaos::explorer::membership::explore;
use railhub_chaos::view::figures::view_figures;
use railhub_chaos::view::judge::{judge, GOSSIP_ENDS, NO_RESURRECTION, NO_SPLIT, SETTLES};
use railhub_chaos::view::simulation::run;
use railhub_chaos::view::{Node, RunOptions, ViewObservation};
use railhub_chaos::{ChaosConfig, Fault, FaultKind, LinkFaults};
use railhub_membership::safeguard::Safeguard;
use std::path::Path;

fn config() -> ChaosConfig {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../chaos/view.ini");
    ChaosConfig::open(&path).expect("the chaos file is valid")
}

#[test]
fn random_faults_break_no_rule() {
    let config = config();
    for seed in 0..150 {
        let faults = config.faults(seed);
        let observations = run(&config, seed, &faults, RunOptions::default());
        let breaches = judge(&observations);
        assert!(breaches.is_empty(), "seed {seed}: {breaches:#?}\n{faults:#?}");
    }
}

#[test]
fn same_seed_gives_same_run() {
    let config = config();
    let simulate = || run(&config, 7, &config.faults(7), RunOptions::default());
    assert!(simulate() == simulate());
}

fn assert_detected(disabled: Safeguard, rules: &[&str]) {
    let config = config();
    let options = RunOptions { without: Some(disabled), ..RunOptions::default() };
    let breaks_a_rule = |seed: &u64| {
        let breaches = judge(&run(&config, *seed, &config.faults(*seed), options));
        breaches.iter().any(|breach| rules.contains(&breach.rule))
    };
    assert!((0..200).any(|seed| breaks_a_rule(&seed)), "{disabled:?} is not detected in 200 runs");
}

#[test]
fn detects_missing_refutation() {
    assert_detected(Safeguard::Refutation, &[NO_SPLIT, SETTLES]);
}

#[test]
fn detects_missing_probes_of_dead_members() {
    assert_detected(Safeguard::DeadProbing, &[NO_SPLIT]);
}

#[test]
fn detects_ignored_process_order() {
    assert_detected(Safeguard::ProcessOrder, &[NO_RESURRECTION, NO_SPLIT, SETTLES]);
}

#[test]
fn detects_missing_anti_entropy() {
    assert_detected(Safeguard::AntiEntropy, &[NO_SPLIT, SETTLES]);
}

#[test]
fn detects_unlimited_gossip() {
    assert_detected(Safeguard::GossipLimit, &[GOSSIP_ENDS]);
}

fn run_without_breaches(faults: &[Fault], options: RunOptions) -> Vec<ViewObservation> {
    let observations = run(&config(), 1, faults, options);
    let breaches = judge(&observations);
    assert!(breaches.is_empty(), "{breaches:#?}");
    observations
}

/// Whether any view between two times shows a controller as gone.
fn is_shown_gone(observations: &[ViewObservation], controller: u16, from: f64, until: f64) -> bool {
    observations.iter().any(|observation| match observation {
        ViewObservation::View { at, gone, .. } if (from..until).contains(at) => {
            gone.iter().any(|(id, _)| *id == controller)
        }
        _ => false,
    })
}

#[test]
fn separated_pair_is_not_declared_dead() {
    let observations = run_without_breaches(
        &[Fault { at: 5.0, duration: 0.0, kind: FaultKind::SeparatePair { a: 0, b: 1 } }],
        RunOptions::default(),
    );
    assert!((0..5).all(|controller| !is_shown_gone(&observations, controller, 3.0, 100.0)));
}

#[test]
fn short_pause_causes_no_declared_death() {
    let observations = run_without_breaches(
        &[Fault { at: 5.0, duration: 1.0, kind: FaultKind::Pause { controller: 2 } }],
        RunOptions::default(),
    );
    assert!((0..5).all(|controller| !is_shown_gone(&observations, controller, 3.0, 100.0)));
}

#[test]
fn dead_member_is_forgotten_and_may_restart() {
    let options = RunOptions { forget_after: 6.0, ..RunOptions::default() };
    let observations = run_without_breaches(
        &[Fault { at: 5.0, duration: 20.0, kind: FaultKind::Kill { controller: 2 } }],
        options,
    );
    assert!(is_shown_gone(&observations, 2, 9.0, 11.0) && !is_shown_gone(&observations, 2, 17.0, 24.0));
}

/// Two members that had each forgotten the other sent each other messages about it without end, as fast as the network
/// allowed. Simulated runs with a short forgetting time showed this.
#[test]
fn forgotten_members_do_not_cause_endless_gossip() {
    let options = RunOptions { forget_after: 4.0, ..RunOptions::default() };
    let faults = [Fault { at: 5.0, duration: 25.0, kind: FaultKind::Partition { side: 0b11 } }];
    let config = ChaosConfig { length: 120.0, ..config() };
    let observations = run(&config, 3, &faults, options);
    assert!(view_figures(&observations).datagrams < 60.0, "{:?}", view_figures(&observations));
    let last_alive_count = observations.iter().rev().find_map(|observation| match observation {
        ViewObservation::View { alive, .. } => Some(alive.len()),
        _ => None,
    });
    assert_eq!(last_alive_count, Some(5), "all members join again through the configured addresses");
}

/// The bytes that a member sends hardly grow with the size of the cluster.
#[test]
fn traffic_per_member_is_independent_of_cluster_size() {
    let bytes = |controllers: u16| {
        let config = ChaosConfig { controllers, ..config() };
        view_figures(&run(&config, 1, &[], RunOptions::default())).bytes
    };
    let (with_five, with_fifteen) = (bytes(5), bytes(15));
    assert!(
        with_fifteen <= with_five * 1.2,
        "{with_five:.0} and {with_fifteen:.0} bytes per controller and second"
    );
}

/// A single wrong view must be a breach.
#[test]
fn judge_detects_one_wrong_view() {
    let mut observations = run_without_breaches(&[], RunOptions::default());
    let position = observations
        .iter()
        .rposition(|observation| matches!(observation, ViewObservation::View { .. }))
        .expect("the run has a view");
    if let ViewObservation::View { alive, .. } = &mut observations[position] {
        alive.pop();
    }
    assert_eq!(judge(&observations).first().map(|breach| breach.rule), Some(NO_SPLIT));
    let ended = ViewObservation::Ended { at: 1.0, node: Node(1), controller: 0 };
    observations.insert(0, ended);
    assert!(
        !judge(&observations).is_empty(),
        "a process that has ended but is shown as alive must be a breach"
    );
}

#[test]
fn views_settle_despite_lossy_links() {
    let faults = LinkFaults { loss: 0.2, duplication: 0.2, reordering: 0.3, delay: 0.01, jitter: 0.02 };
    let lossy = Fault { at: 4.0, duration: 20.0, kind: FaultKind::Links { faults } };
    run_without_breaches(
        &[lossy, Fault { at: 8.0, duration: 6.0, kind: FaultKind::Kill { controller: 3 } }],
        RunOptions::default(),
    );
}

#[test]
fn explorer_finds_no_violation() {
    let explored = explore(None, 60_000);
    assert!(explored.counterexample.is_none(), "{:#?}", explored.counterexample);
    assert!(explored.states > 10_000, "{} states", explored.states);
}

#[test]
fn explorer_detects_disabled_safeguards() {
    for disabled in [Safeguard::Refutation, Safeguard::ProcessOrder] {
        let explored = explore(Some(disabled), 60_000);
        assert!(explored.counterexample.is_some(), "{disabled:?}: none in {} states", explored.states);
    }
}
