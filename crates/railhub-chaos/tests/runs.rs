//! Simulated lease runs: random and listed faults break no rule, and each disabled safeguard is detected.
use railhub_chaos::explorer::lease::{explore, OmittedSafeguard};
use railhub_chaos::lease::judge::{
    judge, NO_COMMAND_AFTER_LEASE, NO_COMMAND_TWICE, NO_LOWER_EPOCH, ONE_CONTROLLER,
};
use railhub_chaos::lease::recovery::recovery_figures;
use railhub_chaos::lease::shrink::shrink;
use railhub_chaos::lease::simulation::run;
use railhub_chaos::{ChaosConfig, Fault, FaultKind, LeaseObservation, Sabotage};
use std::path::Path;

fn config() -> ChaosConfig {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../chaos/three.ini");
    ChaosConfig::open(&path).expect("the chaos file is valid")
}

#[test]
fn random_faults_break_no_rule() {
    let config = config();
    for seed in 0..150 {
        let breaches = judge(&run(&config, seed, &config.faults(seed), None));
        assert!(breaches.is_empty(), "seed {seed}: {breaches:?}");
    }
}

#[test]
fn same_seed_gives_same_run() {
    let config = config();
    let simulate = || run(&config, 7, &config.faults(7), None);
    assert!(simulate() == simulate());
}

fn assert_detected(sabotage: Sabotage, rule: &str) {
    let config = config();
    let breaks_rule = |seed: &u64| {
        let breaches = judge(&run(&config, *seed, &config.faults(*seed), Some(sabotage)));
        breaches.iter().any(|breach| breach.rule == rule)
    };
    let seed =
        (0..200).find(breaks_rule).unwrap_or_else(|| panic!("{sabotage:?} is not detected in 200 runs"));
    let faults = config.faults(seed);
    let (minimal, breaches) = shrink(&config, seed, &faults, Some(sabotage), rule);
    assert!(minimal.len() <= faults.len() && breaches.iter().any(|breach| breach.rule == rule));
    assert!(
        judge(&run(&config, seed, &minimal, Some(sabotage))) == breaches,
        "the minimal faults must give the same breaches again"
    );
}

#[test]
fn detects_disabled_fencing() {
    assert_detected(Sabotage::NoFence, NO_LOWER_EPOCH);
}

#[test]
fn detects_reused_epoch() {
    assert_detected(Sabotage::EpochReused, ONE_CONTROLLER);
}

#[test]
fn detects_commands_after_lease_expiry() {
    assert_detected(Sabotage::LeaseOverrun, NO_COMMAND_AFTER_LEASE);
}

#[test]
fn detects_command_obeyed_twice() {
    assert_detected(Sabotage::NoMemory, NO_COMMAND_TWICE);
}

fn run_without_breaches(faults: Vec<Fault>) -> Vec<LeaseObservation> {
    let observations = run(&config(), 1, &faults, None);
    let breaches = judge(&observations);
    assert!(breaches.is_empty(), "{breaches:?}");
    observations
}

fn last_holders(observations: &[LeaseObservation], from: f64) -> std::collections::BTreeMap<u16, u64> {
    let commands = observations.iter().filter_map(|observation| match observation {
        LeaseObservation::Commanded { at, slice, process, .. } if *at > from => Some((*slice, *process)),
        _ => None,
    });
    commands.collect()
}

#[test]
fn slices_of_dead_controller_are_taken_over() {
    let observations = run_without_breaches(vec![Fault {
        at: 20.0,
        duration: 100.0,
        kind: FaultKind::Kill { controller: 1 },
    }]);
    let figures = recovery_figures(&observations);
    assert!(figures.recovery_times.len() > 8, "{figures:?}");
    assert!(figures.recovery_times.iter().all(|recovery_time| *recovery_time < 6.0), "{figures:?}");
    assert_eq!(last_holders(&observations, 55.0).len(), 48, "every slice must have a controller");
}

#[test]
fn flapping_controller_causes_few_handovers() {
    let observations = run_without_breaches(vec![Fault {
        at: 15.0,
        duration: 35.0,
        kind: FaultKind::Flap { controller: 2 },
    }]);
    assert!(recovery_figures(&observations).handovers <= 60, "{}", recovery_figures(&observations).handovers);
}

#[test]
fn drained_controller_hands_over_all_slices() {
    let observations = run_without_breaches(vec![Fault {
        at: 15.0,
        duration: 0.0,
        kind: FaultKind::Drain { controller: 0 },
    }]);
    let drained_process = 1;
    assert!(last_holders(&observations, 40.0).values().all(|process| *process != drained_process));
    assert_eq!(last_holders(&observations, 40.0).len(), 48);
}

#[test]
fn commands_stop_without_store_and_resume_after() {
    let observations =
        run_without_breaches(vec![Fault { at: 20.0, duration: 10.0, kind: FaultKind::StoreUnavailable }]);
    let commands = |from: f64, until: f64| {
        observations
            .iter()
            .filter(|observation| {
                matches!(observation, LeaseObservation::Commanded { at, .. } if (from..until).contains(at))
            })
            .count()
    };
    assert_eq!(commands(23.5, 30.0), 0);
    assert_eq!(last_holders(&observations, 33.0).len(), 48);
}

#[test]
fn both_sides_of_partition_keep_leases() {
    let observations = run_without_breaches(vec![Fault {
        at: 15.0,
        duration: 20.0,
        kind: FaultKind::Partition { side: 1 },
    }]);
    assert_eq!(
        recovery_figures(&observations).handovers,
        0,
        "both sides reach the store and renew their leases"
    );
}

/// When a pause ended between two microseconds, events that were due just before its end were deferred without end, so
/// that the controller never resumed.
#[test]
fn pause_may_end_between_microseconds() {
    for number in 0..200 {
        let at = 7.0 + f64::from(number) * 0.010_000_37;
        let faults = [Fault {
            at,
            duration: 1.000_000_3 + f64::from(number) * 1e-7,
            kind: FaultKind::Pause { controller: 1 },
        }];
        let config = ChaosConfig { length: 20.0, ..config() };
        let observations = run(&config, 1, &faults, None);
        assert!(observations
            .iter()
            .any(|observation| matches!(observation, LeaseObservation::Commanded { at, .. } if *at > 19.0)));
    }
}

#[test]
fn lease_explorer_finds_violations_only_without_safeguards() {
    let explored = explore(OmittedSafeguard::Nothing, 150_000);
    assert!(explored.counterexample.is_none(), "{:#?}", explored.counterexample);
    for omitted in [
        OmittedSafeguard::Fence,
        OmittedSafeguard::NewEpochs,
        OmittedSafeguard::LeaseExpiry,
        OmittedSafeguard::GracePeriod,
    ] {
        let explored = explore(omitted, 1_500_000);
        assert!(explored.counterexample.is_some(), "{omitted:?}: none in {} states", explored.states);
    }
}
