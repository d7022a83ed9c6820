use super::*;
use proptest::prelude::*;

#[test]
fn a_grant_ends_before_the_stores_does_even_if_the_clock_runs_slow() {
    let mut leases = HeldLeases::new(3.0);
    leases.granted(10.2, 10.0, &[(4, Epoch(2))]);
    assert_eq!(leases.valid_epoch(12.6, 4), Some(Epoch(2)));
    assert_eq!(leases.valid_epoch(12.7, 4), None);
    // The store counted 3 s from after 10.0: on a clock 5 % faster than ours those are 2.857 of our seconds.
    assert_eq!(leases.take_expired(12.8), [4]);
    assert_eq!(leases.count(), 0);
}

#[test]
fn an_answer_that_comes_too_late_holds_nothing() {
    let mut leases = HeldLeases::new(3.0);
    leases.granted(13.0, 10.0, &[(4, Epoch(2))]);
    assert_eq!(leases.count(), 0);
}

#[test]
fn answers_out_of_order_do_not_bring_an_old_epoch_back() {
    let mut leases = HeldLeases::new(3.0);
    leases.granted(1.0, 0.9, &[(4, Epoch(5))]);
    leases.granted(1.1, 0.5, &[(4, Epoch(3))]);
    assert_eq!(leases.valid_epoch(1.2, 4), Some(Epoch(5)));
}

#[test]
fn the_store_grants_a_slice_to_one_at_a_time_and_counts_epochs() {
    let mut holding = LeaseRecord::default();
    assert_eq!(holding.ask(0.0, 1, 3.0), Some(Epoch(1)));
    assert_eq!(holding.ask(1.0, 2, 3.0), None);
    assert_eq!(holding.ask(2.0, 1, 3.0), Some(Epoch(1)));
    assert_eq!(holding.ask(5.5, 2, 3.0), Some(Epoch(2)));
    assert!(!holding.may_write(Epoch(1)) && holding.may_write(Epoch(2)));
    assert!(!holding.release(1, Epoch(1)) && holding.release(2, Epoch(2)));
    assert_eq!(holding.ask(5.6, 1, 3.0), Some(Epoch(3)));
}

#[test]
fn a_fence_lets_through_the_newest_alone() {
    let mut fence = Fence::default();
    assert!(fence.passes(1, Epoch(1)) && fence.passes(1, Epoch(2)) && fence.passes(1, Epoch(2)));
    assert!(!fence.passes(1, Epoch(1)));
    assert!(fence.passes(2, Epoch(1)));
}

proptest! {
    /// Two stewards with clocks up to 5 % apart ask at any moments; answers take any time. At no moment may
    /// both order the slice, and the one that may has the newer epoch.
    #[test]
    fn no_two_may_order_a_slice_at_once(
        steps in prop::collection::vec((0.0..1.0f64, 0..2usize, 0.0..2.0f64), 1..120),
        speeds in (0.95..1.05f64, 0.95..1.05f64),
    ) {
        let speeds = [speeds.0, speeds.1];
        let mut holding = LeaseRecord::default();
        let mut leases = [HeldLeases::new(3.0), HeldLeases::new(3.0)];
        let mut under_way: Vec<(f64, usize, f64, Epoch)> = Vec::new();
        let mut now = 0.0;
        for (pause, who, way) in steps {
            now += pause;
            let asked = now * speeds[who];
            if let Some(epoch) = holding.ask(now + way / 2.0, who as u64, 3.0) {
                under_way.push((now + way, who, asked, epoch));
            }
            // The question was heard later than any that comes next is asked: the store hears in order.
            now += way / 2.0;
            under_way.retain(|(at, who, asked, epoch)| {
                if *at <= now {
                    leases[*who].granted(now * speeds[*who], *asked, &[(1, *epoch)]);
                }
                *at > now
            });
            let may: Vec<_> = (0..2).filter_map(|n| leases[n].valid_epoch(now * speeds[n], 1)).collect();
            prop_assert!(may.len() <= 1, "both at {now}: {may:?}");
            prop_assert!(may.iter().all(|epoch| *epoch == holding.epoch));
        }
    }
}
