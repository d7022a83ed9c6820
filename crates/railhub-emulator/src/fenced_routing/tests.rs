use super::*;
use railhub_proto::{SliceEpoch, TableLine};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn host(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8000 + index))
}

fn line(host_index: u16, weight: f64) -> TableLine {
    TableLine { slice: 1, host: host(host_index).to_string(), weight }
}

#[test]
fn skips_only_slices_with_stale_epochs() {
    let delta_with_epoch = |epoch: u64, lines: Vec<TableLine>| {
        let slices: BTreeSet<u32> = lines.iter().map(|line| line.slice).collect();
        let epochs = slices.iter().map(|slice| SliceEpoch { slice: *slice, epoch }).collect();
        Delta { cleared: slices.into_iter().collect(), lines, epochs, ..Delta::default() }
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut routing = FencedRouting::with_tables(BTreeMap::from([(1, vec![(host(9), 1.0)])]), 2);
    assert_eq!(routing.pick(1, &[], BalancingPolicy::Weighted, &mut rng, |_| 0), Some(host(9)));
    assert_eq!(routing.apply(0, &delta_with_epoch(1, vec![line(1, 1.0)]), true), Ok(vec![]));
    assert_eq!(routing.apply(1, &delta_with_epoch(2, vec![line(2, 1.0)]), true), Ok(vec![]));
    // A late delta from the former owner: its part for slice 1 is stale, its part for slice 2 is applied.
    let mut late = delta_with_epoch(1, vec![line(3, 1.0)]);
    late.lines.push(TableLine { slice: 2, ..line(4, 1.0) });
    late.epochs.push(SliceEpoch { slice: 2, epoch: 7 });
    assert_eq!(routing.apply(0, &late, true), Ok(vec![1]));
    assert_eq!(routing.pick(1, &[], BalancingPolicy::Weighted, &mut rng, |_| 0), Some(host(2)));
    assert_eq!(routing.pick(2, &[], BalancingPolicy::Weighted, &mut rng, |_| 0), Some(host(4)));
}
