use super::*;

/// A change decided under a lease must not be written after the lease has expired, or after the slice was acquired
/// again with another epoch.
#[test]
fn checks_leases_at_the_time_of_writing() {
    let clock = LeaseClock { speed: 1.0, jumps_after: 0.0, jumps_by: 0.0, started_at: 0.0 };
    let (table, now) = (LeaseTable::new(clock, false), clock.now());
    let epochs = |epoch| BTreeMap::from([(SliceId(4), epoch)]);
    assert_eq!(table.expired(&epochs(2)), BTreeSet::from([SliceId(4)]), "lease never granted");
    let mut leases = HeldLeases::new(60.0);
    leases.on_granted(now, now, &[(4, Epoch(2))]);
    table.update(&leases);
    assert!(table.expired(&epochs(2)).is_empty());
    assert_eq!(table.expired(&epochs(1)), BTreeSet::from([SliceId(4)]), "decided under an older epoch");
    // The table is not updated while the process is suspended: the lease expires by the clock alone.
    let later = LeaseTable::new(LeaseClock { jumps_by: 55.0, ..clock }, false);
    later.update(&leases);
    assert_eq!(later.expired(&epochs(2)), BTreeSet::from([SliceId(4)]));
}
