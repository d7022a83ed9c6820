//! The controller with a wrong endpoint list, an unavailable store or a failed host, after a restart, and without
//! slices.
mod common;

use common::{entry, open_fleet, routes_to, sorted_tables, wait_until, Received, TestProxy};
use railhub_emulator::endpoint_list::{DRAINING, GONE, READY};
use railhub_proto::{HostLoad, LoadReport, SliceLoad};
use std::time::Duration;

/// Time within which pending deltas arrive.
const OBSERVATION_TIME: Duration = Duration::from_millis(1500);

#[test]
fn keeps_tables_when_list_reports_all_hosts_gone() {
    let fleet = open_fleet(4, 20);
    let controller = fleet.start();
    let mut proxy = TestProxy::connect(controller.address, 0);
    proxy.apply_until(|routing| routing.tables().len() == 20);
    proxy.apply_for(OBSERVATION_TIME);
    // All hosts still pass their health checks.
    let all_gone = (0..4).map(|n| entry(&fleet.hosts, n, GONE)).collect();
    fleet.endpoint_list.set_override(1, Some(all_gone));
    proxy.apply_for(Duration::from_secs(4));
    assert_eq!(sorted_tables(&proxy.routing).len(), 20);
    assert!((0..4).any(|n| routes_to(&proxy.routing, fleet.address(n))));
    fleet.endpoint_list.set_override(1, None);
    fleet.set_phase(3, DRAINING);
    let draining = fleet.address(3);
    proxy.apply_until(|routing| !routes_to(routing, draining));
}

#[test]
fn restart_before_acknowledgement_restores_tables() {
    let fleet = open_fleet(4, 40);
    let controller = fleet.start();
    let mut updated = TestProxy::connect(controller.address, 0);
    let mut outdated = TestProxy::connect(controller.address, 1);
    updated.apply_until(|routing| routing.tables().len() == 40);
    outdated.apply_until(|routing| routing.tables().len() == 40);
    fleet.set_phase(1, DRAINING);
    let draining = fleet.address(1);
    updated.apply_until(|routing| !routes_to(routing, draining));
    wait_until("the store has the new tables", || {
        fleet.store.tables().values().flatten().all(|line| line.0 != draining)
    });
    // `outdated` has not acknowledged the change when the controller stops.
    drop(controller);
    let (updated, outdated) = (updated.routing.clone(), outdated.routing.clone());
    let controller = fleet.start();
    let mut updated = TestProxy::connect_as(controller.address, 0, 1, updated);
    let mut outdated = TestProxy::connect_as(controller.address, 1, 2, outdated);
    for proxy in [&mut updated, &mut outdated] {
        let snapshot = proxy.next_delta();
        assert!(snapshot.reset, "versions of the earlier controller process are not continued");
        proxy.acknowledge(&snapshot);
        assert!(!routes_to(&proxy.routing, draining) && proxy.routing.tables().len() == 40);
    }
    updated.apply_for(OBSERVATION_TIME);
    outdated.apply_for(Duration::from_millis(100));
    assert_eq!(sorted_tables(&updated.routing), sorted_tables(&outdated.routing));
}

#[test]
fn publishes_nothing_before_store_responds() {
    let fleet = open_fleet(4, 40);
    fleet.store.set_unavailable(true);
    let controller = fleet.start();
    let mut proxy = TestProxy::connect(controller.address, 0);
    assert_eq!(
        proxy.receive(OBSERVATION_TIME),
        Received::Nothing,
        "an empty table would remove the hosts of every slice"
    );
    fleet.store.set_unavailable(false);
    proxy.apply_until(|routing| routing.tables().len() == 40);
}

#[test]
fn writes_latest_tables_after_store_outage() {
    let fleet = open_fleet(4, 40);
    let controller = fleet.start();
    let mut proxy = TestProxy::connect(controller.address, 0);
    proxy.apply_until(|routing| routing.tables().len() == 40);
    fleet.store.set_unavailable(true);
    fleet.set_phase(0, DRAINING);
    let draining = fleet.address(0);
    proxy.apply_until(|routing| !routes_to(routing, draining));
    assert!(fleet.store.tables().values().flatten().any(|line| line.0 == draining));
    fleet.store.set_unavailable(false);
    wait_until("the store has the latest tables", || {
        fleet.store.tables().values().flatten().all(|line| line.0 != draining)
    });
}

#[test]
fn health_checks_remove_and_readmit_failed_host() {
    let fleet = open_fleet(4, 20);
    let controller = fleet.start();
    let mut proxy = TestProxy::connect(controller.address, 0);
    proxy.apply_until(|routing| routing.tables().len() == 20);
    let failed_host = fleet.address(2);
    // The endpoint list keeps reporting the host as ready.
    fleet.hosts[2].host.kill();
    let standby_only = |routing: &railhub_emulator::routing::RoutingState| {
        routing.tables().values().all(|table| table.iter().all(|line| line.0 != failed_host || line.1 < 0.5))
    };
    proxy.apply_until(standby_only);
    fleet.hosts[2].host.start(true);
    let report = |proxy: &mut TestProxy| {
        let demand = (0..20).map(|slice| SliceLoad { slice, class: 0, operations: 40 }).collect();
        let busy = |n: usize| HostLoad {
            host: fleet.address(n).to_string(),
            attempts: 250,
            failed: 0,
            success_time: 20.0,
            utilization: Some(0.9),
        };
        let hosts = [0, 1, 3].into_iter().map(busy).collect();
        proxy.report(LoadReport { span: 1.0, hosts, slices: demand });
    };
    // Under load, slices are moved to hosts with spare capacity.
    for _ in 0..15 {
        report(&mut proxy);
        proxy.apply_for(Duration::from_secs(1));
        if routes_to(&proxy.routing, failed_host) {
            return;
        }
    }
    panic!("no slice was assigned to the recovered host within 15 s");
}

#[test]
fn without_slices_each_proxy_gets_one_table_and_its_changes() {
    let fleet = open_fleet(4, 0);
    let controller = fleet.start();
    let mut proxies: Vec<TestProxy> = (0..5).map(|n| TestProxy::connect(controller.address, n)).collect();
    let lines = |routing: &railhub_emulator::routing::RoutingState| {
        routing.tables().values().map(Vec::len).sum::<usize>()
    };
    for proxy in &mut proxies {
        proxy.apply_until(|routing| routing.assigned_table == Some(0) && lines(routing) == 4);
    }
    fleet.set_phase(1, DRAINING);
    let draining = fleet.address(1);
    proxies
        .iter_mut()
        .for_each(|proxy| proxy.apply_until(|routing| !routes_to(routing, draining) && lines(routing) == 3));
    // One proxy connects for the first time, another one reconnects.
    let reconnected = proxies.remove(0).routing;
    let mut late = TestProxy::connect(controller.address, 9);
    late.apply_until(|routing| lines(routing) == 3);
    let mut reconnected = TestProxy::connect_as(controller.address, 0, 1, reconnected);
    fleet.set_phase(1, READY);
    reconnected.apply_until(|routing| lines(routing) == 4);
    late.apply_until(|routing| lines(routing) == 4);
}
