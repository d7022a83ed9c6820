//! Exclusions of draining hosts in the tables of slices whose leases have expired.
use super::*;
use railhub::{EndpointEntry, HostKindId};

/// Values of the exclusions to publish.
const EXCLUDE: bool = true;
const READMIT: bool = false;
/// Whether hosts that are gone from the endpoint list are excluded too.
const EXCLUDE_GONE: bool = false;

fn host(number: u16) -> HostId {
    HostId::new(&format!("127.0.0.1:{}", 9000 + number)).expect("valid host name")
}

fn list(phases: &[(u16, Phase)]) -> EndpointList {
    let entry = |(number, phase): &(u16, Phase)| EndpointEntry {
        host: host(*number),
        phase: *phase,
        started_at: None,
        weight: 1.0,
        kind: HostKindId::default(),
    };
    EndpointList { complete: false, entries: phases.iter().map(entry).collect() }
}

#[test]
fn excludes_a_draining_host_until_the_slice_is_leased_again() {
    let (mut expired, excluded_by_decisions) = (ExpiredSlices::default(), BTreeSet::new());
    expired.on_endpoint_list(&list(&[(1, Phase::Ready), (2, Phase::Ready)]));
    expired.add(SliceId(4), vec![host(1), host(2)]);
    assert!(expired.update_exclusions(EXCLUDE_GONE, &excluded_by_decisions).is_empty());
    expired.on_endpoint_list(&list(&[(1, Phase::Draining)]));
    assert_eq!(
        expired.update_exclusions(EXCLUDE_GONE, &excluded_by_decisions),
        BTreeMap::from([(host(1), EXCLUDE)])
    );
    assert!(
        expired.update_exclusions(EXCLUDE_GONE, &excluded_by_decisions).is_empty()
            && expired.excludes(&host(1))
    );
    expired.remove(SliceId(4));
    assert_eq!(
        expired.update_exclusions(EXCLUDE_GONE, &excluded_by_decisions),
        BTreeMap::from([(host(1), READMIT)])
    );
}

#[test]
fn keeps_the_last_host_of_a_slice() {
    let (mut expired, excluded_by_decisions) = (ExpiredSlices::default(), BTreeSet::new());
    expired.on_endpoint_list(&list(&[(1, Phase::Draining), (2, Phase::Ready), (3, Phase::Ready)]));
    expired.add(SliceId(1), vec![host(1), host(2)]);
    expired.add(SliceId(2), vec![host(1), host(3)]);
    assert_eq!(
        expired.update_exclusions(EXCLUDE_GONE, &excluded_by_decisions),
        BTreeMap::from([(host(1), EXCLUDE)])
    );
    expired.on_endpoint_list(&list(&[(2, Phase::Draining)]));
    assert!(
        expired.update_exclusions(EXCLUDE_GONE, &excluded_by_decisions).is_empty(),
        "excluding host 2 would leave slice 1 without hosts; host 1 stays excluded"
    );
    expired.remove(SliceId(1));
    assert!(
        expired.update_exclusions(EXCLUDE_GONE, &excluded_by_decisions).is_empty()
            && expired.excludes(&host(1))
    );
}
