//! Proxy streams that break, that compete for one proxy number, that send invalid messages or that stop reading.
mod common;

use common::{open_fleet, routes_to, sorted_tables, wait_until, Fleet, Received, TestProxy, TEST_TIMEOUT};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use railhub_emulator::endpoint_list::{DRAINING, GONE, READY};
use railhub_emulator::routing::RoutingState;
use railhub_proto::{from_proxy, Ack, Delta, HostLoad, LoadReport};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time within which pending deltas arrive.
const OBSERVATION_TIME: Duration = Duration::from_millis(1500);

#[test]
fn proxy_joining_during_delta_gets_same_tables() {
    let fleet = open_fleet(4, 40);
    let controller = fleet.start();
    let mut first = TestProxy::connect(controller.address, 0);
    first.apply_until(|routing| routing.tables().len() == 40);
    fleet.set_phase(0, DRAINING);
    let draining = fleet.address(0);
    // `first` has received the delta but does not acknowledge it before the others have connected.
    let delta = loop {
        let delta = first.next_delta();
        if delta.exclusions.iter().any(|exclusion| exclusion.excluded)
            || delta.lines.iter().any(|line| line.weight == 0.0)
        {
            break delta;
        }
        first.acknowledge(&delta);
    };
    let mut late: Vec<TestProxy> = (1..6).map(|n| TestProxy::connect(controller.address, n)).collect();
    first.acknowledge(&delta);
    first.apply_until(|routing| !routes_to(routing, draining));
    late.iter_mut().for_each(|proxy| proxy.apply_until(|routing| !routes_to(routing, draining)));
    first.apply_for(OBSERVATION_TIME);
    late.iter_mut().for_each(|proxy| proxy.apply_for(Duration::from_millis(100)));
    late.iter().for_each(|proxy| assert_eq!(sorted_tables(&proxy.routing), sorted_tables(&first.routing)));
}

#[test]
fn resumes_broken_stream_without_snapshot() {
    let fleet = open_fleet(4, 40);
    let controller = fleet.start();
    let mut proxy = TestProxy::connect(controller.address, 0);
    proxy.apply_until(|routing| routing.tables().len() == 40);
    proxy.apply_for(OBSERVATION_TIME);
    fleet.set_phase(1, DRAINING);
    let lost = proxy.next_delta();
    assert!(lost.version > proxy.routing.version);
    proxy.stream.shutdown(Shutdown::Both).expect("the stream is open");
    let mut reconnected = TestProxy::connect_as(controller.address, 0, 1, proxy.routing.clone());
    let resumed = reconnected.next_delta();
    assert!(!resumed.reset, "tables that the proxy holds are not sent again");
    assert!(resumed.version >= lost.version);
    reconnected.acknowledge(&resumed);
    let draining = fleet.address(1);
    reconnected.apply_until(|routing| !routes_to(routing, draining));
    let mut fresh = TestProxy::connect(controller.address, 1);
    fresh.apply_until(|routing| routing.tables().len() == 40 && !routes_to(routing, draining));
    reconnected.apply_for(OBSERVATION_TIME);
    fresh.apply_for(Duration::from_millis(100));
    assert_eq!(sorted_tables(&reconnected.routing), sorted_tables(&fresh.routing));
}

#[test]
fn proxy_behind_its_acknowledged_version_catches_up() {
    let fleet = open_fleet(4, 40);
    let controller = fleet.start();
    let mut proxy = TestProxy::connect(controller.address, 0);
    proxy.apply_until(|routing| routing.tables().len() == 40);
    let old = proxy.routing.clone();
    fleet.set_phase(1, DRAINING);
    let draining = fleet.address(1);
    proxy.apply_until(|routing| !routes_to(routing, draining));
    proxy.apply_for(OBSERVATION_TIME);
    // A new process of the proxy starts from an older state than the one that the controller has an acknowledgement of.
    drop(proxy);
    let (mut restored, delta) = TestProxy::connect_after(controller.address, 0, 9, &old);
    restored.acknowledge(&delta);
    restored.apply_until(|routing| !routes_to(routing, draining));
    // A proxy that holds a version of another controller process gets a snapshot.
    let mut other = RoutingState::default();
    (other.incarnation, other.version) = (5, 3);
    let mut foreign = TestProxy::connect_as(controller.address, 1, 1, other);
    assert!(foreign.next_delta().reset);
}

#[test]
fn rejected_delta_is_resent_only_with_next_change() {
    let fleet = open_fleet(4, 40);
    let controller = fleet.start();
    let mut proxy = TestProxy::connect(controller.address, 0);
    proxy.apply_until(|routing| routing.tables().len() == 40);
    proxy.apply_for(OBSERVATION_TIME);
    let tables_before = sorted_tables(&proxy.routing);
    fleet.set_phase(1, DRAINING);
    let draining = fleet.address(1);
    // The change may be sent in more than one delta; all of them are rejected.
    let mut rejected = 0;
    let deadline = Instant::now() + Duration::from_secs(4);
    while Instant::now() < deadline {
        if let Received::Delta(delta) = proxy.receive(Duration::from_millis(200)) {
            proxy.reject(&delta);
            rejected += 1;
        }
    }
    assert!((1..=5).contains(&rejected), "{rejected} deltas were sent and rejected in 4 s");
    assert_eq!(
        sorted_tables(&proxy.routing),
        tables_before,
        "a proxy keeps its tables when it rejects a delta"
    );
    fleet.set_phase(2, DRAINING);
    let also_draining = fleet.address(2);
    proxy.apply_until(|routing| !routes_to(routing, draining) && !routes_to(routing, also_draining));
    wait_until("the rejection is counted", || controller.figures().nacks >= 1);
}

/// A proxy that excludes host 1 of a fleet, which drains.
fn connect_until_excluded(fleet: &Fleet, controller: SocketAddr) -> TestProxy {
    let mut proxy = TestProxy::connect(controller, 0);
    proxy.apply_until(|routing| routing.tables().len() == 40);
    fleet.set_phase(1, DRAINING);
    proxy.apply_until(|routing| routing.excludes(fleet.address(1)));
    proxy
}

/// Guards against a readmission in a rejected delta: without another change it was never sent again, so the proxy went on
/// excluding the host.
#[test]
fn rejected_readmission_is_sent_again_without_another_change() {
    let fleet = open_fleet(4, 40);
    let controller = fleet.start();
    let mut proxy = connect_until_excluded(&fleet, controller.address);
    let draining = fleet.address(1);
    fleet.set_phase(1, READY);
    let readmits = |delta: &Delta| {
        let mut exclusions = delta.exclusions.iter();
        exclusions.any(|exclusion| exclusion.host == draining.to_string() && !exclusion.excluded)
    };
    let mut delta = proxy.next_delta();
    while !readmits(&delta) {
        proxy.acknowledge(&delta);
        delta = proxy.next_delta();
    }
    proxy.reject(&delta);
    assert!(proxy.routing.excludes(draining), "a proxy keeps its exclusions when it rejects a delta");
    proxy.apply_until(|routing| !routing.excludes(draining));
}

/// A proxy that holds the exclusions of an earlier controller process discards them with its first snapshot, so that a
/// host which is not listed at that time is not excluded later.
#[test]
fn exclusions_of_an_earlier_process_end_with_the_snapshot() {
    let fleet = open_fleet(4, 40);
    let controller = fleet.start();
    let proxy = connect_until_excluded(&fleet, controller.address);
    let draining = fleet.address(1);
    fleet.set_phase(1, GONE);
    drop(controller);
    let restarted = fleet.start();
    let (mut proxy, snapshot) = TestProxy::connect_after(restarted.address, 0, 1, &proxy.routing);
    assert!(snapshot.reset);
    proxy.acknowledge(&snapshot);
    fleet.set_phase(1, READY);
    proxy.apply_for(OBSERVATION_TIME);
    assert!(!proxy.routing.excludes(draining));
}

#[test]
fn slow_reader_is_closed_and_delays_no_other_proxy() {
    let fleet = open_fleet(6, 200);
    let controller = fleet.start();
    let mut slow = TestProxy::connect(controller.address, 0);
    let mut others: Vec<TestProxy> = (1..300).map(|n| TestProxy::connect(controller.address, n)).collect();
    others.iter_mut().for_each(|proxy| proxy.apply_until(|routing| routing.tables().len() == 200));
    let reader = std::thread::spawn(move || {
        use std::io::Read;
        let (mut byte, start) = ([0u8; 1], Instant::now());
        while start.elapsed() < TEST_TIMEOUT && slow.stream.read(&mut byte).is_ok_and(|read| read > 0) {
            std::thread::sleep(Duration::from_secs(1));
        }
    });
    let start = Instant::now();
    fleet.set_phase(0, DRAINING);
    let draining = fleet.address(0);
    others.iter_mut().for_each(|proxy| proxy.apply_until(|routing| !routes_to(routing, draining)));
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    wait_until("the stream of the slow proxy is closed", || controller.figures().response_timeouts == 1);
    others.iter_mut().for_each(|proxy| proxy.send(from_proxy::Payload::LoadReport(LoadReport::default())));
    wait_until("all other proxies are still joined", || controller.figures().joined == 299);
    drop(reader);
}

#[test]
fn newer_stream_replaces_only_its_own_process() {
    let fleet = open_fleet(2, 10);
    let controller = fleet.start();
    let mut holder = TestProxy::connect_as(controller.address, 3, 77, RoutingState::default());
    holder.apply_until(|routing| routing.tables().len() == 10);
    let mut other_process = TestProxy::connect_as(controller.address, 3, 78, RoutingState::default());
    assert_eq!(
        other_process.receive(TEST_TIMEOUT),
        Received::Goodbye("another process speaks for this proxy".into())
    );
    let mut reconnected = TestProxy::connect_as(controller.address, 3, 77, holder.routing.clone());
    let reason = loop {
        match holder.receive(TEST_TIMEOUT) {
            Received::Delta(delta) => holder.acknowledge(&delta),
            Received::Goodbye(reason) => break reason,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(reason, "a newer stream of this proxy is open");
    fleet.set_phase(0, DRAINING);
    let draining = fleet.address(0);
    reconnected.apply_until(|routing| !routes_to(routing, draining));
    // Once the stream of the registered process has ended, another process may take over the proxy number.
    drop(reconnected);
    let (mut next, delta) = TestProxy::connect_after(controller.address, 3, 78, &RoutingState::default());
    next.acknowledge(&delta);
    next.apply_until(|routing| routing.tables().len() == 10);
}

#[test]
fn malformed_frames_end_only_their_own_stream() {
    let fleet = open_fleet(2, 10);
    let controller = fleet.start();
    let mut valid = TestProxy::connect(controller.address, 0);
    valid.apply_until(|routing| routing.tables().len() == 10);
    let bytes = proptest::collection::vec(any::<u8>(), 0..200);
    let prefixed =
        (0..400u32, bytes.clone()).prop_map(|(length, body)| [&length.to_be_bytes()[..], &body].concat());
    let mut runner =
        TestRunner::new(ProptestConfig { cases: 1000, failure_persistence: None, ..Default::default() });
    let address = controller.address;
    let sent = runner.run(&prop_oneof![bytes, prefixed], |bytes| {
        let mut stream = TcpStream::connect(address).expect("the controller listens");
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(Shutdown::Write);
        Ok(())
    });
    sent.expect("the property never fails");
    fleet.set_phase(0, DRAINING);
    let draining = fleet.address(0);
    valid.apply_until(|routing| !routes_to(routing, draining));
    let mut newcomer = TestProxy::connect(controller.address, 1);
    newcomer.apply_until(|routing| routing.tables().len() == 10);
    assert_eq!(controller.figures().response_timeouts, 0);
}

#[test]
fn closes_silent_flooding_and_invalid_streams_with_reason() {
    let mut fleet = open_fleet(2, 10);
    fleet.settings.subscribe_timeout = 0.3;
    let controller = fleet.start();
    let mut valid = TestProxy::connect(controller.address, 0);
    valid.apply_until(|routing| routing.tables().len() == 10);
    let reason = |proxy: &mut TestProxy| loop {
        match proxy.receive(TEST_TIMEOUT) {
            Received::Goodbye(reason) => break reason,
            Received::Delta(_) => {}
            other => panic!("{other:?}"),
        }
    };
    let stream = TcpStream::connect(controller.address).expect("the controller listens");
    let mut silent = TestProxy::new(stream, RoutingState::default());
    assert_eq!(reason(&mut silent), "silent for too long");
    let mut flood = TestProxy::connect(controller.address, 1);
    for nonce in 0..2000 {
        flood.send(from_proxy::Payload::Ack(Ack { nonce }));
    }
    assert_eq!(reason(&mut flood), "too many messages");
    let mut invalid = TestProxy::connect(controller.address, 2);
    let host = fleet.address(0).to_string();
    let hosts = vec![HostLoad { host, attempts: 1, failed: 2, ..HostLoad::default() }];
    invalid.report(LoadReport { span: 1.0, hosts, slices: Vec::new() });
    assert_eq!(reason(&mut invalid), "sums with times or counts that cannot be");
    fleet.set_phase(0, DRAINING);
    let draining = fleet.address(0);
    valid.apply_until(|routing| !routes_to(routing, draining));
    fleet.set_phase(0, READY);
}

#[test]
fn all_proxies_join_when_snapshots_exceed_backlog() {
    let mut fleet = open_fleet(4, 100);
    // One snapshot has some 200 lines, so snapshots for all proxies exceed this limit.
    fleet.settings.config.backlog_limit = 700.0;
    let controller = fleet.start();
    let address = controller.address;
    // The first proxy in the queue never reads. The others must wait no longer than until its stream is closed.
    let _stalled = TestProxy::connect(address, 99);
    let all_joined = Arc::new(AtomicBool::new(false));
    let threads = (0..60).map(|n| {
        let all_joined = all_joined.clone();
        std::thread::spawn(move || {
            let mut proxy = TestProxy::connect(address, n);
            proxy.apply_until(|routing| routing.tables().len() == 100);
            // Keeps reading, since the stream of a proxy that stops is closed.
            while !all_joined.load(Ordering::Relaxed) {
                proxy.apply_for(Duration::from_millis(50));
            }
        })
    });
    let threads: Vec<_> = threads.collect();
    wait_until("all proxies that read have joined", || controller.figures().joined >= threads.len());
    all_joined.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("the proxy received all tables"));
}
