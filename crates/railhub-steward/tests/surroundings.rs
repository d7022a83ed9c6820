//! Lists that lie, stores that are away, stewards that die, and sites without slices.
mod common;

use common::{entry, eventually, fleet, names, tables, Heard, Peer};
use railhub_proto::{HostLoad, LoadReport, SliceLoad};
use railhub_standin::roster::{DRAINING, GONE, READY};
use std::time::Duration;

const SHORT: Duration = Duration::from_millis(1500);

#[test]
fn a_list_that_calls_all_hosts_gone_empties_no_table_while_they_answer() {
    let fleet = fleet(4, 20);
    let steward = fleet.start();
    let mut peer = Peer::dial(steward.address, 0);
    peer.obey_until(|held| held.tables().len() == 20);
    peer.obey_for(SHORT);
    let all = (0..4).map(|n| entry(&fleet.hosts, n, GONE)).collect();
    fleet.roster.lie(1, Some(all));
    peer.obey_for(Duration::from_secs(4));
    assert_eq!(tables(&peer.held).len(), 20);
    assert!((0..4).any(|n| names(&peer.held, fleet.address(n))));
    fleet.roster.lie(1, None);
    fleet.list(3, DRAINING);
    let gone = fleet.address(3);
    peer.obey_until(|held| !names(held, gone));
}

#[test]
fn a_steward_that_dies_between_order_and_acknowledgement_comes_back_with_its_tables() {
    let fleet = fleet(4, 40);
    let steward = fleet.start();
    let mut told = Peer::dial(steward.address, 0);
    let mut untold = Peer::dial(steward.address, 1);
    told.obey_until(|held| held.tables().len() == 40);
    untold.obey_until(|held| held.tables().len() == 40);
    fleet.list(1, DRAINING);
    let gone = fleet.address(1);
    told.obey_until(|held| !names(held, gone));
    eventually("the store has the new tables", || {
        fleet.store.tables().values().flatten().all(|line| line.0 != gone)
    });
    // The second one never says that it has taken the change in.
    drop(steward);
    let (told, untold) = (told.held.clone(), untold.held.clone());
    let steward = fleet.start();
    let mut told = Peer::dial_as(steward.address, 0, 1, told);
    let mut untold = Peer::dial_as(steward.address, 1, 2, untold);
    for peer in [&mut told, &mut untold] {
        let whole = peer.delta();
        assert!(whole.reset, "another process: versions do not go on");
        peer.accept(&whole);
        assert!(!names(&peer.held, gone) && peer.held.tables().len() == 40);
    }
    told.obey_for(SHORT);
    untold.obey_for(Duration::from_millis(100));
    assert_eq!(tables(&told.held), tables(&untold.held));
}

#[test]
fn nothing_is_given_to_proxies_before_the_store_has_answered() {
    let fleet = fleet(4, 40);
    fleet.store.set_away(true);
    let steward = fleet.start();
    let mut peer = Peer::dial(steward.address, 0);
    assert_eq!(peer.hear(SHORT), Heard::Nothing, "an empty table would lose every slice");
    fleet.store.set_away(false);
    peer.obey_until(|held| held.tables().len() == 40);
}

#[test]
fn a_store_that_is_away_for_a_while_gets_the_latest_tables_afterwards() {
    let fleet = fleet(4, 40);
    let steward = fleet.start();
    let mut peer = Peer::dial(steward.address, 0);
    peer.obey_until(|held| held.tables().len() == 40);
    fleet.store.set_away(true);
    fleet.list(0, DRAINING);
    let gone = fleet.address(0);
    peer.obey_until(|held| !names(held, gone));
    assert!(fleet.store.tables().values().flatten().any(|line| line.0 == gone));
    fleet.store.set_away(false);
    eventually("the store catches up", || fleet.store.tables().values().flatten().all(|line| line.0 != gone));
}

#[test]
fn a_host_that_dies_unseen_by_the_list_is_left_by_probes_and_let_in_when_it_answers() {
    let fleet = fleet(4, 20);
    let steward = fleet.start();
    let mut peer = Peer::dial(steward.address, 0);
    peer.obey_until(|held| held.tables().len() == 20);
    let dead = fleet.address(2);
    fleet.hosts[2].host.die();
    let standby_only = |held: &railhub_standin::held::Held| {
        held.tables().values().all(|table| table.iter().all(|line| line.0 != dead || line.1 < 0.5))
    };
    peer.obey_until(standby_only);
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
        peer.obey_for(Duration::from_secs(1));
        if names(&peer.held, dead) {
            return;
        }
    }
    panic!("the host that came back got nothing");
}

#[test]
fn without_slices_every_proxy_gets_one_table_of_weights_and_its_changes() {
    let fleet = fleet(4, 0);
    let steward = fleet.start();
    let mut peers: Vec<Peer> = (0..5).map(|n| Peer::dial(steward.address, n)).collect();
    let lines = |held: &railhub_standin::held::Held| held.tables().values().map(Vec::len).sum::<usize>();
    for peer in &mut peers {
        peer.obey_until(|held| held.on_table == Some(0) && lines(held) == 4);
    }
    fleet.list(1, DRAINING);
    let gone = fleet.address(1);
    peers.iter_mut().for_each(|peer| peer.obey_until(|held| !names(held, gone) && lines(held) == 3));
    // One that comes later, and one that comes again.
    let again = peers.remove(0).held;
    let mut late = Peer::dial(steward.address, 9);
    late.obey_until(|held| lines(held) == 3);
    let mut again = Peer::dial_as(steward.address, 0, 1, again);
    fleet.list(1, READY);
    again.obey_until(|held| lines(held) == 4);
    late.obey_until(|held| lines(held) == 4);
}
