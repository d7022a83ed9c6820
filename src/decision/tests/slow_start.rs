use super::*;
use crate::decision::slow_start::{least_capacity_fraction, COLD_MAX_UTILIZATION_FRACTION};
use crate::decision::slow_start::{COLD_OFFLOAD_UTILIZATION_FRACTION, MAX_UTILIZATION};

#[test]
fn cold_host_gives_up_slices_above_offload_limit() {
    let mut controller = controller(config());
    set_load(&mut controller, 101.0, 4.0, 0.1);
    controller.handle_batch(
        &endpoint_update(101.0, vec![entry(1, Phase::Ready, Some(100.9))]),
        &mut RecordedCommands::default(),
    );
    let load = controller.loads(101.0)[&host(1)];
    assert!(
        load.is_cold && load.utilization(0.0) <= COLD_OFFLOAD_UTILIZATION_FRACTION * 2.5,
        "{}",
        load.utilization(0.0)
    );
    assert!(owned_slice_count(&controller, 1) < 3);
}

#[test]
fn cold_host_is_filled_by_least_capacity() {
    let mut controller = controller(ControllerConfig { overload_multiple: 4.0, ..config() });
    controller.handle_batch(
        &endpoint_update(101.0, vec![entry(1, Phase::Ready, Some(100.9))]),
        &mut RecordedCommands::default(),
    );
    for now in [101.0, 104.0, 108.0] {
        let load = controller.loads(now)[&host(1)];
        let least_capacity =
            4.0 * least_capacity_fraction(now, controller.hosts[&host(1)].warming_since, &controller.config);
        assert!(load.capacity > least_capacity && load.limits.max_utilization <= MAX_UTILIZATION, "{now}");
        assert!(
            load.limits.max_utilization * load.capacity
                <= COLD_MAX_UTILIZATION_FRACTION * 4.0 * least_capacity + 1e-9,
            "{now}"
        );
    }
}

#[test]
fn cold_hosts_do_not_take_over_all_lost_slices() {
    // After the loss of two zones in succession, the remaining cold hosts would fail under the whole load.
    let mut controller = controller(ControllerConfig { delisted_may_serve: false, ..config() });
    set_load(&mut controller, 101.0, 10.0, 0.1);
    let lost = (2..=4).map(|n| entry(n, Phase::Gone, None)).chain([entry(1, Phase::Ready, Some(100.9))]);
    controller.handle_batch(&endpoint_update(101.0, lost.collect()), &mut RecordedCommands::default());
    assert!(controller.slices.values().any(|slice| slice.owner.is_none()));
    assert!(controller.loads(101.0)[&host(1)].utilization(0.0) <= COLD_OFFLOAD_UTILIZATION_FRACTION * 2.5);
}
