//! Streams that break, cross, send invalid messages or stop reading.
mod common;

use common::{eventually, fleet, names, tables, Peer, Received, LONG};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use railhub_emulator::endpoint_list::{DRAINING, READY};
use railhub_emulator::routing::RoutingState;
use railhub_proto::{from_proxy, Ack, HostLoad, LoadReport};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SHORT: Duration = Duration::from_millis(1500);

#[test]
fn a_proxy_that_joins_in_the_middle_of_a_delta_ends_with_the_tables_of_the_others() {
    let fleet = fleet(4, 40);
    let controller = fleet.start();
    let mut first = Peer::connect(controller.address, 0);
    first.apply_until(|held| held.tables().len() == 40);
    fleet.list(0, DRAINING);
    let gone = fleet.address(0);
    // The delta has left for the first and is not acknowledged while the others join.
    let delta = loop {
        let delta = first.delta();
        if delta.exclusions.iter().any(|exclusion| exclusion.excluded)
            || delta.lines.iter().any(|line| line.weight == 0.0)
        {
            break delta;
        }
        first.acknowledge(&delta);
    };
    let mut late: Vec<Peer> = (1..6).map(|n| Peer::connect(controller.address, n)).collect();
    first.acknowledge(&delta);
    first.apply_until(|held| !names(held, gone));
    late.iter_mut().for_each(|peer| peer.apply_until(|held| !names(held, gone)));
    first.apply_for(SHORT);
    late.iter_mut().for_each(|peer| peer.apply_for(Duration::from_millis(100)));
    late.iter().for_each(|peer| assert_eq!(tables(&peer.held), tables(&first.held)));
}

#[test]
fn a_stream_that_breaks_before_its_acknowledgement_is_resumed_without_a_whole_table() {
    let fleet = fleet(4, 40);
    let controller = fleet.start();
    let mut peer = Peer::connect(controller.address, 0);
    peer.apply_until(|held| held.tables().len() == 40);
    peer.apply_for(SHORT);
    fleet.list(1, DRAINING);
    let lost = peer.delta();
    assert!(lost.version > peer.held.version);
    peer.stream.shutdown(Shutdown::Both).expect("open until now");
    let mut again = Peer::connect_as(controller.address, 0, 1, peer.held.clone());
    let resumed = again.delta();
    assert!(!resumed.reset, "what it holds is not sent again");
    assert!(resumed.version >= lost.version);
    again.acknowledge(&resumed);
    let gone = fleet.address(1);
    again.apply_until(|held| !names(held, gone));
    let mut fresh = Peer::connect(controller.address, 1);
    fresh.apply_until(|held| held.tables().len() == 40 && !names(held, gone));
    again.apply_for(SHORT);
    fresh.apply_for(Duration::from_millis(100));
    assert_eq!(tables(&again.held), tables(&fresh.held));
}

#[test]
fn a_proxy_that_is_behind_what_the_steward_believes_gets_what_it_lacks() {
    let fleet = fleet(4, 40);
    let controller = fleet.start();
    let mut peer = Peer::connect(controller.address, 0);
    peer.apply_until(|held| held.tables().len() == 40);
    let old = peer.held.clone();
    fleet.list(1, DRAINING);
    let gone = fleet.address(1);
    peer.apply_until(|held| !names(held, gone));
    peer.apply_for(SHORT);
    // It was put back to an older state; the controller has its acknowledgement of the newer one.
    drop(peer);
    let (mut back, delta) = Peer::connect_after(controller.address, 0, 9, &old);
    back.acknowledge(&delta);
    back.apply_until(|held| !names(held, gone));
    // A version of another controller process means nothing here: it gets a snapshot.
    let mut other = RoutingState::default();
    (other.incarnation, other.version) = (5, 3);
    let mut stranger = Peer::connect_as(controller.address, 1, 1, other);
    assert!(stranger.delta().reset);
}

#[test]
fn a_refused_version_is_not_repeated_in_a_loop_and_comes_along_with_the_next_change() {
    let fleet = fleet(4, 40);
    let controller = fleet.start();
    let mut peer = Peer::connect(controller.address, 0);
    peer.apply_until(|held| held.tables().len() == 40);
    peer.apply_for(SHORT);
    let before = tables(&peer.held);
    fleet.list(1, DRAINING);
    let gone = fleet.address(1);
    // The change may leave as more than one delta: all are rejected.
    let mut rejected = 0;
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        if let Received::Delta(delta) = peer.receive(Duration::from_millis(200)) {
            peer.reject(&delta);
            rejected += 1;
        }
    }
    assert!((1..=5).contains(&rejected), "{rejected} in 4 s");
    assert_eq!(tables(&peer.held), before, "it keeps its last good tables");
    fleet.list(2, DRAINING);
    let also = fleet.address(2);
    peer.apply_until(|held| !names(held, gone) && !names(held, also));
    eventually("the refusal is counted", || controller.figures().nacks >= 1);
}

#[test]
fn one_proxy_that_reads_a_byte_a_second_holds_up_none_of_300_and_is_cut_off() {
    let fleet = fleet(6, 200);
    let controller = fleet.start();
    let mut slow = Peer::connect(controller.address, 0);
    let mut others: Vec<Peer> = (1..300).map(|n| Peer::connect(controller.address, n)).collect();
    others.iter_mut().for_each(|peer| peer.apply_until(|held| held.tables().len() == 200));
    let reader = std::thread::spawn(move || {
        use std::io::Read;
        let (mut byte, began) = ([0u8; 1], Instant::now());
        while began.elapsed() < LONG && slow.stream.read(&mut byte).is_ok_and(|read| read > 0) {
            std::thread::sleep(Duration::from_secs(1));
        }
    });
    let began = Instant::now();
    fleet.list(0, DRAINING);
    let gone = fleet.address(0);
    others.iter_mut().for_each(|peer| peer.apply_until(|held| !names(held, gone)));
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    eventually("the slow one is cut off", || controller.figures().response_timeouts == 1);
    others.iter_mut().for_each(|peer| peer.send(from_proxy::Payload::LoadReport(LoadReport::default())));
    eventually("all others stay", || controller.figures().joined == 299);
    drop(reader);
}

#[test]
fn of_two_connections_that_claim_one_proxy_the_same_process_replaces_and_another_is_turned_away() {
    let fleet = fleet(2, 10);
    let controller = fleet.start();
    let mut holder = Peer::connect_as(controller.address, 3, 77, RoutingState::default());
    holder.apply_until(|held| held.tables().len() == 10);
    let mut thief = Peer::connect_as(controller.address, 3, 78, RoutingState::default());
    assert_eq!(thief.receive(LONG), Received::Goodbye("another process speaks for this proxy".into()));
    let mut again = Peer::connect_as(controller.address, 3, 77, holder.held.clone());
    let reason = loop {
        match holder.receive(LONG) {
            Received::Delta(delta) => holder.acknowledge(&delta),
            Received::Goodbye(reason) => break reason,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(reason, "a newer stream of this proxy is open");
    fleet.list(0, DRAINING);
    let gone = fleet.address(0);
    again.apply_until(|held| !names(held, gone));
    // Once the holder has ended, another process may have the number.
    drop(again);
    let (mut next, delta) = Peer::connect_after(controller.address, 3, 78, &RoutingState::default());
    next.acknowledge(&delta);
    next.apply_until(|held| held.tables().len() == 10);
}

#[test]
fn a_thousand_broken_frames_end_their_own_streams_and_nothing_else() {
    let fleet = fleet(2, 10);
    let controller = fleet.start();
    let mut good = Peer::connect(controller.address, 0);
    good.apply_until(|held| held.tables().len() == 10);
    let bytes = proptest::collection::vec(any::<u8>(), 0..200);
    let prefixed =
        (0..400u32, bytes.clone()).prop_map(|(length, body)| [&length.to_be_bytes()[..], &body].concat());
    let mut runner =
        TestRunner::new(ProptestConfig { cases: 1000, failure_persistence: None, ..Default::default() });
    let address = controller.address;
    let sent = runner.run(&prop_oneof![bytes, prefixed], |bytes| {
        let mut stream = TcpStream::connect(address).expect("the steward listens");
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(Shutdown::Write);
        Ok(())
    });
    sent.expect("all were sent");
    fleet.list(0, DRAINING);
    let gone = fleet.address(0);
    good.apply_until(|held| !names(held, gone));
    let mut newcomer = Peer::connect(controller.address, 1);
    newcomer.apply_until(|held| held.tables().len() == 10);
    assert_eq!(controller.figures().response_timeouts, 0);
}

#[test]
fn a_peer_that_says_nothing_floods_or_lies_is_cut_off_with_a_reason() {
    let mut fleet = fleet(2, 10);
    fleet.settings.subscribe_timeout = 0.3;
    let controller = fleet.start();
    let mut good = Peer::connect(controller.address, 0);
    good.apply_until(|held| held.tables().len() == 10);
    let reason = |peer: &mut Peer| loop {
        match peer.receive(LONG) {
            Received::Goodbye(reason) => break reason,
            Received::Delta(_) => {}
            other => panic!("{other:?}"),
        }
    };
    let stream = TcpStream::connect(controller.address).expect("the steward listens");
    let mut silent = Peer::new(stream, RoutingState::default());
    assert_eq!(reason(&mut silent), "silent for too long");
    let mut flood = Peer::connect(controller.address, 1);
    for nonce in 0..2000 {
        flood.send(from_proxy::Payload::Ack(Ack { nonce }));
    }
    assert_eq!(reason(&mut flood), "too many messages");
    let mut liar = Peer::connect(controller.address, 2);
    let host = fleet.address(0).to_string();
    let hosts = vec![HostLoad { host, attempts: 1, failed: 2, ..HostLoad::default() }];
    liar.report(LoadReport { span: 1.0, hosts, slices: Vec::new() });
    assert_eq!(reason(&mut liar), "sums with times or counts that cannot be");
    fleet.list(0, DRAINING);
    let gone = fleet.address(0);
    good.apply_until(|held| !names(held, gone));
    fleet.list(0, READY);
}

#[test]
fn all_proxies_join_though_snapshots_do_not_fit_the_backlog_at_once() {
    let mut fleet = fleet(4, 100);
    // One snapshot is some 200 lines.
    fleet.settings.config.backlog_limit = 700.0;
    let controller = fleet.start();
    let address = controller.address;
    // One that never reads is in front: the others wait for it no longer than until it is cut off.
    let _dead = Peer::connect(address, 99);
    let seen = Arc::new(AtomicBool::new(false));
    let joining = (0..60).map(|n| {
        let seen = seen.clone();
        std::thread::spawn(move || {
            let mut peer = Peer::connect(address, n);
            peer.apply_until(|held| held.tables().len() == 100);
            // It goes on reading: one that stops is cut off.
            while !seen.load(Ordering::Relaxed) {
                peer.apply_for(Duration::from_millis(50));
            }
        })
    });
    let joining: Vec<_> = joining.collect();
    eventually("all that read have joined", || controller.figures().joined >= joining.len());
    seen.store(true, Ordering::Relaxed);
    joining.into_iter().for_each(|thread| thread.join().expect("it joined"));
}
