use super::*;
use crate::decision::placement::rebalancing::MIN_LAGGING_TICKS;
use crate::decision::slice::Slice;

fn rebalance_at(controller: &mut Controller, now: Seconds) {
    let mut loads = controller.loads(now);
    let mut moves = SliceMoves {
        now,
        config: &controller.config,
        hosts: &mut controller.hosts,
        slices: &mut controller.slices,
        loads: &mut loads,
        admission_rates: &controller.admission.rates,
        ejected: controller.ejected_outlier,
    };
    rebalance(&mut moves, &mut controller.move_quota);
}

fn owned_slices(controller: &Controller, n: u8) -> impl Iterator<Item = (&SliceId, &Slice)> {
    controller.slices.iter().filter(move |(_, slice)| slice.owner == Some(host(n)))
}

#[test]
fn rendezvous_hash_moves_only_slices_of_lost_host() {
    let first_choice = |slice, hosts: std::ops::RangeInclusive<u8>| {
        hosts.max_by(|a, b| {
            rendezvous::rank(slice, host(*a), 4.0).total_cmp(&rendezvous::rank(slice, host(*b), 4.0))
        })
    };
    for slice in (0..60).map(SliceId) {
        let before = first_choice(slice, 1..=8).expect("a host");
        if before != 8 {
            assert_eq!(first_choice(slice, 1..=7), Some(before));
        }
    }
    let owned = (0..800).filter(|k| first_choice(SliceId(*k), 1..=8) == Some(3)).count();
    assert!((60..140).contains(&owned), "{owned}");
}

#[test]
fn slices_fail_over_to_standbys_with_capacity() {
    let mut controller = controller(config());
    set_load(&mut controller, 101.0, 2.0, 0.1);
    let standbys: Vec<_> = owned_slices(&controller, 2).map(|(id, slice)| (*id, slice.standby)).collect();
    controller.handle_batch(
        &endpoint_update(101.0, vec![entry(2, Phase::Draining, None)]),
        &mut RecordedCommands::default(),
    );
    assert!(standbys
        .iter()
        .all(|(id, standby)| standby.is_some() && controller.slices[id].owner == *standby));
}

#[test]
fn no_table_is_empty_while_a_warm_host_is_listed() {
    let mut controller = controller(config());
    (1..=3).for_each(|n| controller.hosts.get_mut(&host(n)).expect("listed").is_down = true);
    controller.handle_batch(
        &endpoint_update(101.0, vec![entry(4, Phase::Draining, None)]),
        &mut RecordedCommands::default(),
    );
    assert!(controller.slices.values().all(|slice| !slice.published.is_empty()));
}

#[test]
fn hottest_slice_moves_from_lagging_to_fastest_host() {
    let mut controller = controller(config());
    set_load(&mut controller, 101.0, 5.0, 0.1);
    controller.slices.get_mut(&SliceId(0)).expect("assigned").demand[0].amount.value = 14.0;
    controller.slices.get_mut(&SliceId(4)).expect("assigned").demand[0].amount.value = 12.0;
    controller.hosts.get_mut(&host(3)).expect("listed").service_time.core_time.value = 5.0;
    controller.hosts.get_mut(&host(1)).expect("listed").lagging_ticks = MIN_LAGGING_TICKS;
    rebalance_at(&mut controller, 101.0);
    assert_eq!(controller.slices[&SliceId(0)].owner, Some(host(3)));
    assert_eq!(controller.slices[&SliceId(4)].owner, Some(host(1)));
}

#[test]
fn rebalancing_stops_when_quota_is_used_up() {
    let mut controller = controller(config());
    set_load(&mut controller, 101.0, 5.0, 0.1);
    controller.slices.get_mut(&SliceId(0)).expect("assigned").demand[0].amount.value = 28.0;
    controller.hosts.get_mut(&host(1)).expect("listed").lagging_ticks = MIN_LAGGING_TICKS;
    (controller.move_quota.available, controller.move_quota.refilled_at) = (0.5, 101.0);
    rebalance_at(&mut controller, 101.0);
    assert_eq!(owned_slice_count(&controller, 1), 3);
}
