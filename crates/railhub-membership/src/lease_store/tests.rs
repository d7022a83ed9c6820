use super::*;

fn request(process: u64, acquire: &[u16], renew: &[(u16, u64)]) -> LeaseRequest {
    let renew = renew.iter().map(|(slice, epoch)| (*slice, Epoch(*epoch))).collect();
    LeaseRequest { number: 1, process, duration: 3.0, acquire: acquire.to_vec(), renew, release: Vec::new() }
}

#[test]
fn outdated_store_accepts_renewal_and_grants_above_its_epoch() {
    let mut store = LeaseStore::new(3.0, StoreFaults::default());
    assert_eq!(store.handle_request(0.0, &request(1, &[4], &[])).response.granted, [(4, Epoch(1))]);
    let copy = store.clone();
    let latest_epoch = store.handle_request(5.0, &request(2, &[4], &[])).response.granted[0].1;
    assert_eq!(latest_epoch, Epoch(2));
    let mut restarted = copy.restart(5.5, 7);
    // In the grace period only the actual holder gets the slice, not the former holder in the copy nor another process.
    assert_eq!(restarted.handle_request(5.6, &request(3, &[4], &[])).response.refused, [4]);
    assert_eq!(restarted.handle_request(5.7, &request(2, &[], &[(4, 2)])).response.granted, [(4, Epoch(2))]);
    assert_eq!(restarted.handle_request(5.8, &request(1, &[], &[(4, 1)])).response.refused, [4]);
    assert_eq!(
        restarted.handle_request(9.0, &request(3, &[4], &[])).response.granted,
        [(4, Epoch(7 * EPOCHS_PER_START))]
    );
    assert!(restarted.may_write(4, Epoch(7 * EPOCHS_PER_START)) && !restarted.may_write(4, Epoch(2)));
}

/// Guards against a fault that randomly drawn faults found: after a store restart, a process that had been paused got a
/// slice back under its old epoch although another process had held it since.
#[test]
fn holder_in_an_older_copy_does_not_keep_its_epoch() {
    let mut store = LeaseStore::new(3.0, StoreFaults::default());
    store.handle_request(0.0, &request(1, &[4], &[]));
    let copy = store.clone();
    assert_eq!(store.handle_request(5.0, &request(2, &[4], &[])).response.granted, [(4, Epoch(2))]);
    let mut restarted = copy.restart(6.0, 9);
    assert_eq!(restarted.handle_request(6.1, &request(1, &[4], &[])).response.refused, [4]);
    // The holder of epoch 2 has died, so no renewal tells the store about that epoch.
    assert!(restarted.handle_request(9.5, &request(1, &[4], &[])).response.granted[0].1 > Epoch(2));
}

#[test]
fn epochs_rise_although_the_start_clock_was_set_back() {
    let mut store = LeaseStore::new(3.0, StoreFaults::default()).restart(0.0, 100);
    let first = store.handle_request(3.1, &request(1, &[1], &[])).response.granted[0].1;
    assert!(first.0 >= 100 * EPOCHS_PER_START);
    let mut restarted = LeaseStore::new(3.0, StoreFaults::default()).restart(4.0, 3);
    assert_eq!(
        restarted.handle_request(7.1, &request(1, &[], &[(1, first.0)])).response.refused,
        [1],
        "the renewal comes after the grace period"
    );
    let next = restarted.handle_request(7.2, &request(2, &[1], &[])).response.granted[0].1;
    assert!(next > first, "{next:?} after {first:?}");
}

#[test]
fn table_writes_require_the_granted_epoch() {
    let mut store = LeaseStore::new(3.0, StoreFaults::default());
    store.handle_request(0.0, &request(1, &[2], &[]));
    assert!(store.may_write(2, Epoch(1)) && !store.may_write(2, Epoch(0)));
    store.handle_request(9.0, &request(2, &[2], &[]));
    assert!(!store.may_write(2, Epoch(1)) && store.may_write(2, Epoch(2)));
}
