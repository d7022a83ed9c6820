use super::*;
use railhub_proto::{HostExclusion, TableLine};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn host(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8000 + n))
}

fn line(at: u16, weight: f64) -> TableLine {
    TableLine { slice: 1, host: host(at).to_string(), weight }
}

#[test]
fn delta_with_invalid_line_changes_nothing() {
    let mut state = RoutingState::default();
    let good = Delta { version: 1, lines: vec![line(1, 1.0)], ..Delta::default() };
    state.apply(&good).expect("good");
    let bad = Delta { version: 2, lines: vec![line(2, 1.0), line(1, f64::NAN)], ..Delta::default() };
    assert!(state.apply(&bad).is_err());
    assert_eq!((state.version, state.tables()[&1].len()), (1, 1));
}

#[test]
fn picks_by_weight_and_never_an_excluded_host() {
    let mut state = RoutingState::default();
    let lines = vec![line(1, 3.0), line(2, 1.0), line(3, 9.0)];
    let exclusions = vec![HostExclusion { host: host(3).to_string(), excluded: true }];
    state.apply(&Delta { lines, exclusions, ..Delta::default() }).expect("good");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut pick = || state.pick(1, &[], BalancingPolicy::Weighted, &mut rng, |_| 0).expect("two are open");
    let first = (0..4000).filter(|_| pick() == host(1)).count();
    assert!((2900..3100).contains(&first), "{first}");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert_eq!(state.pick(1, &[host(1), host(2)], BalancingPolicy::Weighted, &mut rng, |_| 0), None);
}
