use super::*;
use railhub_proto::{HostExclusion, TableLine};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn host(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8000 + index))
}

fn line(host_index: u16, weight: f64) -> TableLine {
    TableLine { slice: 1, host: host(host_index).to_string(), weight }
}

#[test]
fn delta_with_invalid_line_changes_nothing() {
    let mut state = RoutingState::default();
    let valid = Delta { version: 1, lines: vec![line(1, 1.0)], ..Delta::default() };
    state.apply(&valid).expect("a valid delta");
    let invalid = Delta { version: 2, lines: vec![line(2, 1.0), line(1, f64::NAN)], ..Delta::default() };
    assert!(state.apply(&invalid).is_err());
    assert_eq!((state.version, state.tables()[&1].len()), (1, 1));
}

#[test]
fn picks_by_weight_and_never_an_excluded_host() {
    let mut state = RoutingState::default();
    let lines = vec![line(1, 3.0), line(2, 1.0), line(3, 9.0)];
    let exclusions = vec![HostExclusion { host: host(3).to_string(), excluded: true }];
    state.apply(&Delta { lines, exclusions, ..Delta::default() }).expect("a valid delta");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut pick =
        || state.pick(1, &[], BalancingPolicy::Weighted, &mut rng, |_| 0).expect("two hosts are usable");
    let picks_of_first_host = (0..4000).filter(|_| pick() == host(1)).count();
    assert!((2900..3100).contains(&picks_of_first_host), "{picks_of_first_host}");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert_eq!(state.pick(1, &[host(1), host(2)], BalancingPolicy::Weighted, &mut rng, |_| 0), None);
}
