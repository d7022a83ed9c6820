use super::*;

fn request(process: u64, take: &[u16], renew: &[(u16, u64)]) -> LeaseRequest {
    let renew = renew.iter().map(|(slice, epoch)| (*slice, Epoch(*epoch))).collect();
    LeaseRequest { number: 1, process, duration: 3.0, acquire: take.to_vec(), renew, release: Vec::new() }
}

#[test]
fn outdated_store_accepts_renewal_and_grants_above_its_epoch() {
    let mut lease_store = LeaseStore::new(3.0, StoreFaults::default());
    assert_eq!(lease_store.handle_request(0.0, &request(1, &[4], &[])).response.granted, [(4, Epoch(1))]);
    let copy = lease_store.clone();
    let later = lease_store.handle_request(5.0, &request(2, &[4], &[])).response.granted[0].1;
    assert_eq!(later, Epoch(2));
    let mut again = copy.restart(5.5, 7);
    // The former holder, which the copy still names, and strangers get nothing before the holder has spoken.
    assert_eq!(again.handle_request(5.6, &request(3, &[4], &[])).response.refused, [4]);
    assert_eq!(again.handle_request(5.7, &request(2, &[], &[(4, 2)])).response.granted, [(4, Epoch(2))]);
    assert_eq!(again.handle_request(5.8, &request(1, &[], &[(4, 1)])).response.refused, [4]);
    assert_eq!(
        again.handle_request(9.0, &request(3, &[4], &[])).response.granted,
        [(4, Epoch(7 * EPOCHS_PER_START))]
    );
    assert!(again.may_write(4, Epoch(7 * EPOCHS_PER_START)) && !again.may_write(4, Epoch(2)));
}

/// Found by drawn faults: a process that had stood still was given back, under its old epoch, what another had held.
#[test]
fn holder_in_an_older_copy_does_not_keep_its_epoch() {
    let mut lease_store = LeaseStore::new(3.0, StoreFaults::default());
    lease_store.handle_request(0.0, &request(1, &[4], &[]));
    let copy = lease_store.clone();
    assert_eq!(lease_store.handle_request(5.0, &request(2, &[4], &[])).response.granted, [(4, Epoch(2))]);
    let mut again = copy.restart(6.0, 9);
    assert_eq!(again.handle_request(6.1, &request(1, &[4], &[])).response.refused, [4]);
    // The other has died meanwhile: nobody tells the store of epoch 2.
    assert!(again.handle_request(9.5, &request(1, &[4], &[])).response.granted[0].1 > Epoch(2));
}

#[test]
fn epochs_rise_although_the_start_clock_was_set_back() {
    let mut lease_store = LeaseStore::new(3.0, StoreFaults::default()).restart(0.0, 100);
    let first = lease_store.handle_request(3.1, &request(1, &[1], &[])).response.granted[0].1;
    assert!(first.0 >= 100 * EPOCHS_PER_START);
    let mut again = LeaseStore::new(3.0, StoreFaults::default()).restart(4.0, 3);
    assert_eq!(
        again.handle_request(7.1, &request(1, &[], &[(1, first.0)])).response.refused,
        [1],
        "too late: it was quiet before"
    );
    let next = again.handle_request(7.2, &request(2, &[1], &[])).response.granted[0].1;
    assert!(next > first, "{next:?} after {first:?}");
}

#[test]
fn table_writes_require_the_granted_epoch() {
    let mut lease_store = LeaseStore::new(3.0, StoreFaults::default());
    lease_store.handle_request(0.0, &request(1, &[2], &[]));
    assert!(lease_store.may_write(2, Epoch(1)) && !lease_store.may_write(2, Epoch(0)));
    lease_store.handle_request(9.0, &request(2, &[2], &[]));
    assert!(!lease_store.may_write(2, Epoch(1)) && lease_store.may_write(2, Epoch(2)));
}
