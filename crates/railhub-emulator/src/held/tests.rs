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
fn a_delta_with_one_bad_line_changes_nothing() {
    let mut held = Held::default();
    let good = Delta { version: 1, lines: vec![line(1, 1.0)], ..Delta::default() };
    held.take_in(&good).expect("good");
    let bad = Delta { version: 2, lines: vec![line(2, 1.0), line(1, f64::NAN)], ..Delta::default() };
    assert!(held.take_in(&bad).is_err());
    assert_eq!((held.version, held.tables()[&1].len()), (1, 1));
}

#[test]
fn what_comes_under_an_older_epoch_is_left_out_alone() {
    use railhub_proto::SliceEpoch;
    let under = |epoch: u64, lines: Vec<TableLine>| {
        let slices: BTreeSet<u32> = lines.iter().map(|line| line.slice).collect();
        let epochs = slices.iter().map(|slice| SliceEpoch { slice: *slice, epoch }).collect();
        Delta { cleared: slices.into_iter().collect(), lines, epochs, ..Delta::default() }
    };
    let mut chance = ChaCha8Rng::seed_from_u64(1);
    let mut held = HeldOfAll::standing(BTreeMap::from([(1, vec![(host(9), 1.0)])]), 2);
    assert_eq!(held.pick(1, &[], Pick::Weighted, &mut chance, |_| 0), Some(host(9)));
    assert_eq!(held.take_in(0, &under(1, vec![line(1, 1.0)]), true), Ok(vec![]));
    assert_eq!(held.take_in(1, &under(2, vec![line(2, 1.0)]), true), Ok(vec![]));
    // The former steward wakes: its word on slice 1 is left out, that on another is taken.
    let mut late = under(1, vec![line(3, 1.0)]);
    late.lines.push(TableLine { slice: 2, ..line(4, 1.0) });
    late.epochs.push(SliceEpoch { slice: 2, epoch: 7 });
    assert_eq!(held.take_in(0, &late, true), Ok(vec![1]));
    assert_eq!(held.pick(1, &[], Pick::Weighted, &mut chance, |_| 0), Some(host(2)));
    assert_eq!(held.pick(2, &[], Pick::Weighted, &mut chance, |_| 0), Some(host(4)));
}

#[test]
fn picks_go_by_weight_and_never_to_a_host_that_is_shut_out() {
    let mut held = Held::default();
    let lines = vec![line(1, 3.0), line(2, 1.0), line(3, 9.0)];
    let shut = vec![HostExclusion { host: host(3).to_string(), excluded: true }];
    held.take_in(&Delta { lines, exclusions: shut, ..Delta::default() }).expect("good");
    let mut chance = ChaCha8Rng::seed_from_u64(1);
    let mut pick = || held.pick(1, &[], Pick::Weighted, &mut chance, |_| 0).expect("two are open");
    let first = (0..4000).filter(|_| pick() == host(1)).count();
    assert!((2900..3100).contains(&first), "{first}");
    let mut chance = ChaCha8Rng::seed_from_u64(1);
    assert_eq!(held.pick(1, &[host(1), host(2)], Pick::Weighted, &mut chance, |_| 0), None);
}
