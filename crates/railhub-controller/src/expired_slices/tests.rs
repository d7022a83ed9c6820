use super::*;
use railhub::{EndpointEntry, HostKindId};

fn host(n: u16) -> HostId {
    HostId::new(&format!("127.0.0.1:{}", 9000 + n)).expect("a name")
}

fn list(phases: &[(u16, Phase)]) -> EndpointList {
    let entry = |(n, phase): &(u16, Phase)| EndpointEntry {
        host: host(*n),
        phase: *phase,
        started_at: None,
        weight: 1.0,
        kind: HostKindId::default(),
    };
    EndpointList { complete: false, entries: phases.iter().map(entry).collect() }
}

#[test]
fn a_host_that_drains_is_left_once_and_let_in_when_the_slice_is_settled() {
    let (mut expired, by_decisions) = (ExpiredSlices::default(), BTreeSet::new());
    expired.on_endpoint_list(&list(&[(1, Phase::Ready), (2, Phase::Ready)]));
    expired.add(SliceId(4), vec![host(1), host(2)]);
    assert!(expired.update_exclusions(false, &by_decisions).is_empty());
    expired.on_endpoint_list(&list(&[(1, Phase::Draining)]));
    assert_eq!(expired.update_exclusions(false, &by_decisions), BTreeMap::from([(host(1), true)]));
    assert!(expired.update_exclusions(false, &by_decisions).is_empty() && expired.excludes(&host(1)));
    expired.remove(SliceId(4));
    assert_eq!(expired.update_exclusions(false, &by_decisions), BTreeMap::from([(host(1), false)]));
}

#[test]
fn of_two_that_drain_the_first_is_left_and_the_last_of_a_slice_is_not() {
    let (mut expired, by_decisions) = (ExpiredSlices::default(), BTreeSet::new());
    expired.on_endpoint_list(&list(&[(1, Phase::Draining), (2, Phase::Ready), (3, Phase::Ready)]));
    expired.add(SliceId(1), vec![host(1), host(2)]);
    expired.add(SliceId(2), vec![host(1), host(3)]);
    assert_eq!(expired.update_exclusions(false, &by_decisions), BTreeMap::from([(host(1), true)]));
    expired.on_endpoint_list(&list(&[(2, Phase::Draining)]));
    assert!(
        expired.update_exclusions(false, &by_decisions).is_empty(),
        "slice 1 would have none, and the first stays out"
    );
    expired.remove(SliceId(1));
    assert!(expired.update_exclusions(false, &by_decisions).is_empty() && expired.excludes(&host(1)));
}
