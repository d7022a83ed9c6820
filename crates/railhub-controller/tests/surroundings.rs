//! Lists that lie, stores that are away, stewards that die, and sites without slices.
mod common;

use common::{entry, eventually, fleet, names, tables, Peer, Received};
use railhub_emulator::endpoint_list::{DRAINING, GONE, READY};
use railhub_proto::{HostLoad, LoadReport, SliceLoad};
use std::time::Duration;

const SHORT: Duration = Duration::from_millis(1500);

#[test]
fn a_list_that_calls_all_hosts_gone_empties_no_table_while_they_answer() {
    let fleet = fleet(4, 20);
    let controller = fleet.start();
    let mut peer = Peer::connect(controller.address, 0);
    peer.apply_until(|held| held.tables().len() == 20);
    peer.apply_for(SHORT);
    let all = (0..4).map(|n| entry(&fleet.hosts, n, GONE)).collect();
    fleet.roster.set_override(1, Some(all));
    peer.apply_for(Duration::from_secs(4));
    assert_eq!(tables(&peer.held).len(), 20);
    assert!((0..4).any(|n| names(&peer.held, fleet.address(n))));
    fleet.roster.set_override(1, None);
    fleet.list(3, DRAINING);
    let gone = fleet.address(3);
    peer.apply_until(|held| !names(held, gone));
}

#[test]
fn a_steward_that_dies_between_order_and_acknowledgement_comes_back_with_its_tables() {
    let fleet = fleet(4, 40);
    let controller = fleet.start();
    let mut updated = Peer::connect(controller.address, 0);
    let mut outdated = Peer::connect(controller.address, 1);
    updated.apply_until(|held| held.tables().len() == 40);
    outdated.apply_until(|held| held.tables().len() == 40);
    fleet.list(1, DRAINING);
    let gone = fleet.address(1);
    updated.apply_until(|held| !names(held, gone));
    eventually("the store has the new tables", || {
        fleet.store.tables().values().flatten().all(|line| line.0 != gone)
    });
    // The second one never says that it has taken the change in.
    drop(controller);
    let (updated, outdated) = (updated.held.clone(), outdated.held.clone());
    let controller = fleet.start();
    let mut updated = Peer::connect_as(controller.address, 0, 1, updated);
    let mut outdated = Peer::connect_as(controller.address, 1, 2, outdated);
    for peer in [&mut updated, &mut outdated] {
        let snapshot = peer.delta();
        assert!(snapshot.reset, "another process: versions do not go on");
        peer.acknowledge(&snapshot);
        assert!(!names(&peer.held, gone) && peer.held.tables().len() == 40);
    }
    updated.apply_for(SHORT);
    outdated.apply_for(Duration::from_millis(100));
    assert_eq!(tables(&updated.held), tables(&outdated.held));
}

#[test]
fn nothing_is_given_to_proxies_before_the_store_has_answered() {
    let fleet = fleet(4, 40);
    fleet.store.set_unavailable(true);
    let controller = fleet.start();
    let mut peer = Peer::connect(controller.address, 0);
    assert_eq!(peer.receive(SHORT), Received::Nothing, "an empty table would lose every slice");
    fleet.store.set_unavailable(false);
    peer.apply_until(|held| held.tables().len() == 40);
}

#[test]
fn a_store_that_is_away_for_a_while_gets_the_latest_tables_afterwards() {
    let fleet = fleet(4, 40);
    let controller = fleet.start();
    let mut peer = Peer::connect(controller.address, 0);
    peer.apply_until(|held| held.tables().len() == 40);
    fleet.store.set_unavailable(true);
    fleet.list(0, DRAINING);
    let gone = fleet.address(0);
    peer.apply_until(|held| !names(held, gone));
    assert!(fleet.store.tables().values().flatten().any(|line| line.0 == gone));
    fleet.store.set_unavailable(false);
    eventually("the store catches up", || fleet.store.tables().values().flatten().all(|line| line.0 != gone));
}

#[test]
fn a_host_that_dies_unseen_by_the_list_is_left_by_probes_and_let_in_when_it_answers() {
    let fleet = fleet(4, 20);
    let controller = fleet.start();
    let mut peer = Peer::connect(controller.address, 0);
    peer.apply_until(|held| held.tables().len() == 20);
    let dead = fleet.address(2);
    fleet.hosts[2].host.kill();
    let standby_only = |held: &railhub_emulator::routing::RoutingState| {
        held.tables().values().all(|table| table.iter().all(|line| line.0 != dead || line.1 < 0.5))
    };
    peer.apply_until(standby_only);
    fleet.hosts[2].host.start(true);
    let report = |peer: &mut Peer| {
        let demand = (0..20).map(|slice| SliceLoad { slice, class: 0, operations: 40 }).collect();
        let busy = |n: usize| HostLoad {
            host: fleet.address(n).to_string(),
            attempts: 250,
            failed: 0,
            success_time: 20.0,
            utilization: Some(0.9),
        };
        let hosts = [0, 1, 3].into_iter().map(busy).collect();
        peer.report(LoadReport { span: 1.0, hosts, slices: demand });
    };
    // Under load slices move to where there is room.
    for _ in 0..15 {
        report(&mut peer);
        peer.apply_for(Duration::from_secs(1));
        if names(&peer.held, dead) {
            return;
        }
    }
    panic!("the host that came back got nothing");
}

#[test]
fn without_slices_every_proxy_gets_one_table_of_weights_and_its_changes() {
    let fleet = fleet(4, 0);
    let controller = fleet.start();
    let mut peers: Vec<Peer> = (0..5).map(|n| Peer::connect(controller.address, n)).collect();
    let lines =
        |held: &railhub_emulator::routing::RoutingState| held.tables().values().map(Vec::len).sum::<usize>();
    for peer in &mut peers {
        peer.apply_until(|held| held.assigned_table == Some(0) && lines(held) == 4);
    }
    fleet.list(1, DRAINING);
    let gone = fleet.address(1);
    peers.iter_mut().for_each(|peer| peer.apply_until(|held| !names(held, gone) && lines(held) == 3));
    // One that comes later, and one that comes again.
    let again = peers.remove(0).held;
    let mut late = Peer::connect(controller.address, 9);
    late.apply_until(|held| lines(held) == 3);
    let mut again = Peer::connect_as(controller.address, 0, 1, again);
    fleet.list(1, READY);
    again.apply_until(|held| lines(held) == 4);
    late.apply_until(|held| lines(held) == 4);
}
