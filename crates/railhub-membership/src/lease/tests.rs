use super::*;
use crate::fence::Fence;
use crate::lease_record::LeaseRecord;
use proptest::prelude::*;

#[test]
fn holder_lease_expires_before_the_store_lease() {
    let mut leases = HeldLeases::new(3.0);
    leases.on_granted(10.2, 10.0, &[(4, Epoch(2))]);
    assert_eq!(leases.valid_epoch(12.6, 4), Some(Epoch(2)));
    assert_eq!(leases.valid_epoch(12.7, 4), None);
    // The store counts 3 s from some time after 10.0. If its clock is 5 % faster than the holder's, those are 2.857 s
    // on the holder's clock.
    assert_eq!(leases.take_expired(12.8), [4]);
    assert_eq!(leases.count(), 0);
}

#[test]
fn late_response_acquires_nothing() {
    let mut leases = HeldLeases::new(3.0);
    leases.on_granted(13.0, 10.0, &[(4, Epoch(2))]);
    assert_eq!(leases.count(), 0);
}

#[test]
fn reordered_response_does_not_restore_an_older_epoch() {
    let mut leases = HeldLeases::new(3.0);
    leases.on_granted(1.0, 0.9, &[(4, Epoch(5))]);
    leases.on_granted(1.1, 0.5, &[(4, Epoch(3))]);
    assert_eq!(leases.valid_epoch(1.2, 4), Some(Epoch(5)));
}

#[test]
fn record_grants_one_holder_at_a_time_under_rising_epochs() {
    let mut record = LeaseRecord::default();
    assert_eq!(record.grant(0.0, 1, 3.0), Some(Epoch(1)));
    assert_eq!(record.grant(1.0, 2, 3.0), None);
    assert_eq!(record.grant(2.0, 1, 3.0), Some(Epoch(1)));
    assert_eq!(record.grant(5.5, 2, 3.0), Some(Epoch(2)));
    assert!(!record.may_write(Epoch(1)) && record.may_write(Epoch(2)));
    assert!(!record.release(1, Epoch(1)) && record.release(2, Epoch(2)));
    assert_eq!(record.grant(5.6, 1, 3.0), Some(Epoch(3)));
}

#[test]
fn fence_admits_only_the_highest_epoch() {
    let mut fence = Fence::default();
    assert!(fence.admits(1, Epoch(1)) && fence.admits(1, Epoch(2)) && fence.admits(1, Epoch(2)));
    assert!(!fence.admits(1, Epoch(1)));
    assert!(fence.admits(2, Epoch(1)));
}

proptest! {
    /// Two processes whose clocks run up to 5 % fast or slow send requests at random times, and responses take random
    /// times. At no time may both processes write the slice, and one that may write it has the newest epoch.
    #[test]
    fn at_most_one_process_may_write_a_slice(
        steps in prop::collection::vec((0.0..1.0f64, 0..2usize, 0.0..2.0f64), 1..120),
        speeds in (0.95..1.05f64, 0.95..1.05f64),
    ) {
        let speeds = [speeds.0, speeds.1];
        let mut record = LeaseRecord::default();
        let mut leases = [HeldLeases::new(3.0), HeldLeases::new(3.0)];
        let mut in_flight: Vec<(f64, usize, f64, Epoch)> = Vec::new();
        let mut now = 0.0;
        for (wait, process, delay) in steps {
            now += wait;
            let requested_at = now * speeds[process];
            if let Some(epoch) = record.grant(now + delay / 2.0, process as u64, 3.0) {
                in_flight.push((now + delay, process, requested_at, epoch));
            }
            // Advances to the arrival of the request, so that the store receives requests in order.
            now += delay / 2.0;
            in_flight.retain(|(arrives_at, process, requested_at, epoch)| {
                if *arrives_at <= now {
                    leases[*process].on_granted(now * speeds[*process], *requested_at, &[(1, *epoch)]);
                }
                *arrives_at > now
            });
            let valid: Vec<_> = (0..2).filter_map(|n| leases[n].valid_epoch(now * speeds[n], 1)).collect();
            prop_assert!(valid.len() <= 1, "both processes may write at {now}: {valid:?}");
            prop_assert!(valid.iter().all(|epoch| *epoch == record.epoch));
        }
    }
}
