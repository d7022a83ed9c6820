use super::*;
use railhub::{EndpointEntry, KindId};

fn host(n: u16) -> HostId {
    HostId::new(&format!("127.0.0.1:{}", 9000 + n)).expect("a name")
}

fn list(phases: &[(u16, Phase)]) -> EndpointList {
    let entry = |(n, phase): &(u16, Phase)| EndpointEntry {
        host: host(*n),
        phase: *phase,
        started_at: None,
        weight: 1.0,
        kind: KindId::default(),
    };
    EndpointList { complete: false, entries: phases.iter().map(entry).collect() }
}

#[test]
fn a_host_that_drains_is_left_once_and_let_in_when_the_slice_is_settled() {
    let (mut lapsed, by_decisions) = (LapsedSlices::default(), BTreeSet::new());
    lapsed.on_endpoint_list(&list(&[(1, Phase::Ready), (2, Phase::Ready)]));
    lapsed.add(SliceId(4), vec![host(1), host(2)]);
    assert!(lapsed.update_exclusions(false, &by_decisions).is_empty());
    lapsed.on_endpoint_list(&list(&[(1, Phase::Draining)]));
    assert_eq!(lapsed.update_exclusions(false, &by_decisions), BTreeMap::from([(host(1), true)]));
    assert!(lapsed.update_exclusions(false, &by_decisions).is_empty() && lapsed.excludes(&host(1)));
    lapsed.remove(SliceId(4));
    assert_eq!(lapsed.update_exclusions(false, &by_decisions), BTreeMap::from([(host(1), false)]));
}

#[test]
fn of_two_that_drain_the_first_is_left_and_the_last_of_a_slice_is_not() {
    let (mut lapsed, by_decisions) = (LapsedSlices::default(), BTreeSet::new());
    lapsed.on_endpoint_list(&list(&[(1, Phase::Draining), (2, Phase::Ready), (3, Phase::Ready)]));
    lapsed.add(SliceId(1), vec![host(1), host(2)]);
    lapsed.add(SliceId(2), vec![host(1), host(3)]);
    assert_eq!(lapsed.update_exclusions(false, &by_decisions), BTreeMap::from([(host(1), true)]));
    lapsed.on_endpoint_list(&list(&[(2, Phase::Draining)]));
    assert!(
        lapsed.update_exclusions(false, &by_decisions).is_empty(),
        "slice 1 would have none, and the first stays out"
    );
    lapsed.remove(SliceId(1));
    assert!(lapsed.update_exclusions(false, &by_decisions).is_empty() && lapsed.excludes(&host(1)));
}
