use super::*;

/// What was decided under a lease must not be written when that is over, or when the slice came back under another.
#[test]
fn what_is_written_goes_by_the_lease_of_that_moment() {
    let clock = LeaseClock { speed: 1.0, jumps_after: 0.0, jumps_by: 0.0, started_at: 0.0 };
    let (table, now) = (LeaseTable::new(clock, false), clock.now());
    let epochs = |epoch| BTreeMap::from([(SliceId(4), epoch)]);
    assert_eq!(table.expired(&epochs(2)), BTreeSet::from([SliceId(4)]), "never held");
    let mut leases = HeldLeases::new(60.0);
    leases.on_granted(now, now, &[(4, Epoch(2))]);
    table.update(&leases);
    assert!(table.expired(&epochs(2)).is_empty());
    assert_eq!(table.expired(&epochs(1)), BTreeSet::from([SliceId(4)]), "decided under an older one");
    // Nobody notes anything while the process stands still: the clock alone ends it.
    let later = LeaseTable::new(LeaseClock { jumps_by: 55.0, ..clock }, false);
    later.update(&leases);
    assert_eq!(later.expired(&epochs(2)), BTreeSet::from([SliceId(4)]));
}
