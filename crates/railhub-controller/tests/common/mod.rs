//! A small fleet around a controller, and peers that are driven step by step.
#![allow(dead_code)]
use railhub::{ClassConfig, ControllerConfig, Idempotency};
use railhub_controller::{ControllerSettings, RunningController};
use railhub_emulator::endpoint_list::{EndpointList, ListedEndpoint, READY};
use railhub_emulator::host::{HostConfig, ListeningHost, SharedSeenOperations};
use railhub_emulator::routing::RoutingState;
use railhub_emulator::store::Store;
use railhub_emulator::OperationClass;
use railhub_proto::{
    frame, from_controller, from_proxy, Ack, Deframer, Delta, FromController, FromProxy, LoadReport, Nack,
    Subscribe, MAX_FROM_CONTROLLER_BYTES,
};
use railhub_record::{OperationIdempotency, Recorder};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Once};
use std::time::{Duration, Instant};

/// Longer than anything here takes; only a failing test waits for it.
pub const LONG: Duration = Duration::from_secs(20);

pub struct Fleet {
    pub hosts: Vec<ListeningHost>,
    pub roster: EndpointList,
    pub store: Store,
    pub settings: ControllerSettings,
}

fn facts(zone: u32) -> HostConfig {
    HostConfig {
        zone,
        kind: 0,
        cores: 4,
        speed: 1.0,
        max_queued: 40,
        cold_capacity_fraction: 0.3,
        warm_up_time: 1.0,
        max_connections: 1000,
        probe_work: 0.0,
        utilization_interval: 0.0,
        cache_saving: 0.0,
        cache_lifetime: 0.0,
    }
}

fn operation_class() -> OperationClass {
    OperationClass {
        name: "view".into(),
        contract_time: 1.0,
        hard_stop: 2.0,
        priority_weight: 1.0,
        idempotency: OperationIdempotency::Safe,
        key_window: 0.0,
        writes: false,
    }
}

fn controller_config(slices: u16) -> ControllerConfig {
    ControllerConfig {
        classes: vec![ClassConfig {
            contract_time: 1.0,
            priority_weight: 1.0,
            idempotency: Idempotency::Safe,
        }],
        slice_count: slices,
        health_checks_allowed: true,
        delisted_may_serve: true,
        admission_by_fraction: true,
        cold_capacity_fraction: 0.3,
        warm_up_time: 1.0,
        overload_multiple: 2.5,
        backlog_limit: 1e6,
        message_overhead: 8.0,
        message_quota: 0,
        message_quota_window: 10.0,
        first_attempt_timeout_multiple: 1.0,
        ..ControllerConfig::default()
    }
}

pub fn fleet(hosts: usize, slices: u16) -> Fleet {
    static START: Once = Once::new();
    START.call_once(railhub_net::start_runtime);
    let recorder = Recorder::start(None).expect("in memory");
    let classes = Arc::new(vec![operation_class()]);
    let open = |n| {
        let host = ListeningHost::open(
            facts(n % 2),
            classes.clone(),
            SharedSeenOperations::default(),
            recorder.clone(),
        );
        let host = host.expect("loopback");
        host.host.start(false);
        host
    };
    let hosts: Vec<ListeningHost> = (0..hosts as u32).map(open).collect();
    let roster = EndpointList::open(recorder.clone()).expect("loopback");
    roster.update((0..hosts.len()).map(|n| entry(&hosts, n, READY)).collect());
    let owner = |slice: u16| hosts[usize::from(slice) % hosts.len()].host.address;
    let tables = (0..slices).map(|slice| (u32::from(slice), vec![(owner(slice), 1.0)]));
    let store = Store::open(tables.collect()).expect("loopback");
    let settings = ControllerSettings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        endpoint_list: roster.address,
        store: (slices > 0).then_some(store.address),
        config: controller_config(slices),
        class_names: vec!["view".into()],
        max_reports_per_second: 1000.0,
        health_check_timeout: 0.4,
        max_concurrent_health_checks: 16,
        response_timeout: 3.0,
        subscribe_timeout: 2.0,
        idle_timeout: 30.0,
        max_streams: 1000,
        traffic: None,
        membership: None,
    };
    Fleet { hosts, roster, store, settings }
}

pub fn entry(hosts: &[ListeningHost], n: usize, phase: &'static str) -> ListedEndpoint {
    let host = hosts[n].host.address;
    ListedEndpoint { host, phase, started: None, weight: 4.0, kind: 0 }
}

impl Fleet {
    pub fn start(&self) -> RunningController {
        RunningController::start(self.settings.clone()).expect("loopback")
    }

    pub fn list(&self, n: usize, phase: &'static str) {
        self.roster.update(vec![entry(&self.hosts, n, phase)]);
    }

    pub fn address(&self, n: usize) -> SocketAddr {
        self.hosts[n].host.address
    }
}

/// A proxy that does what a test says.
pub struct Peer {
    pub stream: TcpStream,
    deframer: Deframer,
    pub held: RoutingState,
}

/// What ended a wait.
#[derive(Debug, PartialEq)]
pub enum Received {
    Delta(Box<Delta>),
    Goodbye(String),
    Closed,
    Nothing,
}

impl Peer {
    pub fn connect(controller: SocketAddr, number: u32) -> Peer {
        Peer::connect_as(controller, number, u64::from(number) + 1, RoutingState::default())
    }

    /// As such a process, holding something already.
    pub fn connect_as(controller: SocketAddr, number: u32, process: u64, held: RoutingState) -> Peer {
        let stream = TcpStream::connect(controller).expect("the steward listens");
        let mut peer = Peer::new(stream, held);
        let (incarnation, version) = (peer.held.incarnation, peer.held.version);
        let subscribe = Subscribe { proxy: number, zone: number % 2, process, incarnation, version };
        peer.send(from_proxy::Payload::Subscribe(subscribe));
        peer
    }

    /// The same, dialled again while it is turned away since the end of an earlier process is not seen yet; with its
    /// first delta, neither taken in nor answered.
    pub fn connect_after(
        controller: SocketAddr,
        number: u32,
        process: u64,
        held: &RoutingState,
    ) -> (Peer, Delta) {
        let until = Instant::now() + LONG;
        loop {
            let mut peer = Peer::connect_as(controller, number, process, held.clone());
            match peer.receive(LONG) {
                Received::Delta(delta) => return (peer, *delta),
                other => assert!(Instant::now() < until, "still turned away: {other:?}"),
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// A connection that has said nothing yet.
    pub fn new(stream: TcpStream, held: RoutingState) -> Peer {
        Peer { stream, deframer: Deframer::new(MAX_FROM_CONTROLLER_BYTES), held }
    }

    pub fn send(&mut self, payload: from_proxy::Payload) {
        let _ = self.stream.write_all(&frame(&FromProxy { payload: Some(payload) }));
    }

    pub fn receive(&mut self, within: Duration) -> Received {
        let until = Instant::now() + within;
        loop {
            match self.deframer.message::<FromController>().expect("a steward sends messages") {
                Some(FromController { payload: Some(from_controller::Payload::Delta(delta)) }) => {
                    return Received::Delta(Box::new(delta))
                }
                Some(FromController { payload: Some(from_controller::Payload::Goodbye(goodbye)) }) => {
                    return Received::Goodbye(goodbye.reason)
                }
                _ => {}
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Received::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut bytes = [0; 65_536];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Received::Closed,
                Ok(read) => self.deframer.push(&bytes[..read]),
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    return Received::Nothing
                }
                Err(_) => return Received::Closed,
            }
        }
    }

    /// The next delta, neither taken in nor answered.
    pub fn delta(&mut self) -> Delta {
        match self.receive(LONG) {
            Received::Delta(delta) => *delta,
            other => panic!("a delta was due, not {other:?}"),
        }
    }

    /// Takes a delta in and says so.
    pub fn acknowledge(&mut self, delta: &Delta) {
        self.held.apply(delta).expect("a good delta");
        self.send(from_proxy::Payload::Ack(Ack { nonce: delta.nonce }));
    }

    pub fn reject(&mut self, delta: &Delta) {
        self.held.has_gap = true;
        self.send(from_proxy::Payload::Nack(Nack { nonce: delta.nonce, reason: "a test".into() }));
    }

    /// Obeys until what it holds is as wanted.
    pub fn apply_until(&mut self, wanted: impl Fn(&RoutingState) -> bool) {
        let until = Instant::now() + LONG;
        while !wanted(&self.held) {
            assert!(Instant::now() < until, "it never came to hold that: {:?}", self.held);
            if let Received::Delta(delta) = self.receive(Duration::from_millis(200)) {
                self.acknowledge(&delta);
            }
        }
    }

    /// Obeys for so long.
    pub fn apply_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            match self.receive(left) {
                Received::Delta(delta) => self.acknowledge(&delta),
                Received::Nothing => {}
                other => panic!("the stream ended: {other:?}"),
            }
        }
    }

    pub fn report(&mut self, report: LoadReport) {
        self.send(from_proxy::Payload::LoadReport(report));
    }
}

/// Whether any line of a table names the host.
pub fn names(held: &RoutingState, host: SocketAddr) -> bool {
    held.tables().values().flatten().any(|line| line.0 == host)
}

/// All tables, their lines in order.
pub fn tables(held: &RoutingState) -> Vec<(u32, Vec<(SocketAddr, f64)>)> {
    let sorted = |lines: &Vec<(SocketAddr, f64)>| {
        let mut lines = lines.clone();
        lines.sort_by_key(|line| line.0);
        lines
    };
    held.tables().iter().filter(|(_, t)| !t.is_empty()).map(|(slice, t)| (*slice, sorted(t))).collect()
}

pub fn eventually(what: &str, holds: impl Fn() -> bool) {
    let until = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < until, "never came about: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
