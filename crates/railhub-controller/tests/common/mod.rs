//! A fixture of hosts, endpoint list and store for one controller, and proxies that tests drive step by step.
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

/// Time limit of each wait; only failing tests reach it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Hosts, an endpoint list and a store, with the settings of a controller that uses them.
pub struct Fleet {
    pub hosts: Vec<ListeningHost>,
    pub endpoint_list: EndpointList,
    pub store: Store,
    pub settings: ControllerSettings,
}

fn host_config(zone: u32) -> HostConfig {
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

/// Starts so many hosts, the endpoint list and a store in which each of the slices is assigned to one host.
pub fn open_fleet(hosts: usize, slices: u16) -> Fleet {
    static START: Once = Once::new();
    START.call_once(railhub_net::start_runtime);
    let recorder = Recorder::start(None).expect("a recorder without a file starts");
    let classes = Arc::new(vec![operation_class()]);
    let open = |index| {
        let host = ListeningHost::open(
            host_config(index % 2),
            classes.clone(),
            SharedSeenOperations::default(),
            recorder.clone(),
        );
        let host = host.expect("the host starts");
        host.host.start(false);
        host
    };
    let hosts: Vec<ListeningHost> = (0..hosts as u32).map(open).collect();
    let endpoint_list = EndpointList::open(recorder.clone()).expect("the endpoint list starts");
    endpoint_list.update((0..hosts.len()).map(|index| entry(&hosts, index, READY)).collect());
    let owner = |slice: u16| hosts[usize::from(slice) % hosts.len()].host.address;
    let tables = (0..slices).map(|slice| (u32::from(slice), vec![(owner(slice), 1.0)]));
    let store = Store::open(tables.collect()).expect("the store starts");
    let settings = ControllerSettings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        endpoint_list: endpoint_list.address,
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
    Fleet { hosts, endpoint_list, store, settings }
}

pub fn entry(hosts: &[ListeningHost], index: usize, phase: &'static str) -> ListedEndpoint {
    let host = hosts[index].host.address;
    ListedEndpoint { host, phase, started: None, weight: 4.0, kind: 0 }
}

impl Fleet {
    pub fn start(&self) -> RunningController {
        RunningController::start(self.settings.clone()).expect("the controller starts")
    }

    pub fn set_phase(&self, host_index: usize, phase: &'static str) {
        self.endpoint_list.update(vec![entry(&self.hosts, host_index, phase)]);
    }

    pub fn address(&self, host_index: usize) -> SocketAddr {
        self.hosts[host_index].host.address
    }
}

/// A proxy whose actions a test controls.
pub struct TestProxy {
    pub stream: TcpStream,
    deframer: Deframer,
    pub routing: RoutingState,
}

/// The result of waiting for a message of the controller.
#[derive(Debug, PartialEq)]
pub enum Received {
    Delta(Box<Delta>),
    Goodbye(String),
    Closed,
    Nothing,
}

impl TestProxy {
    pub fn connect(controller: SocketAddr, number: u32) -> TestProxy {
        TestProxy::connect_as(controller, number, u64::from(number) + 1, RoutingState::default())
    }

    /// Connects as the given process of the proxy, with the state that the proxy holds already.
    pub fn connect_as(controller: SocketAddr, number: u32, process: u64, routing: RoutingState) -> TestProxy {
        let stream = TcpStream::connect(controller).expect("the controller listens");
        let mut proxy = TestProxy::new(stream, routing);
        let (incarnation, version) = (proxy.routing.incarnation, proxy.routing.version);
        let subscribe = Subscribe { proxy: number, zone: number % 2, process, incarnation, version };
        proxy.send(from_proxy::Payload::Subscribe(subscribe));
        proxy
    }

    /// Connects as the given process and returns the first delta, neither applied nor acknowledged. The connection is
    /// repeated while the controller rejects it because it has not noticed yet that an earlier process has ended.
    pub fn connect_after(
        controller: SocketAddr,
        number: u32,
        process: u64,
        routing: &RoutingState,
    ) -> (TestProxy, Delta) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let mut proxy = TestProxy::connect_as(controller, number, process, routing.clone());
            match proxy.receive(TEST_TIMEOUT) {
                Received::Delta(delta) => return (proxy, *delta),
                other => assert!(Instant::now() < deadline, "the stream is still rejected: {other:?}"),
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// A proxy on a connection on which nothing has been sent.
    pub fn new(stream: TcpStream, routing: RoutingState) -> TestProxy {
        TestProxy { stream, deframer: Deframer::new(MAX_FROM_CONTROLLER_BYTES), routing }
    }

    pub fn send(&mut self, payload: from_proxy::Payload) {
        let _ = self.stream.write_all(&frame(&FromProxy { payload: Some(payload) }));
    }

    pub fn receive(&mut self, timeout: Duration) -> Received {
        let deadline = Instant::now() + timeout;
        loop {
            match self.deframer.message::<FromController>().expect("the controller sends valid messages") {
                Some(FromController { payload: Some(from_controller::Payload::Delta(delta)) }) => {
                    return Received::Delta(Box::new(delta))
                }
                Some(FromController { payload: Some(from_controller::Payload::Goodbye(goodbye)) }) => {
                    return Received::Goodbye(goodbye.reason)
                }
                _ => {}
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Received::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut bytes = [0; 65_536];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Received::Closed,
                Ok(read) => self.deframer.push(&bytes[..read]),
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    return Received::Nothing
                }
                Err(_) => return Received::Closed,
            }
        }
    }

    /// Waits for the next delta, which is neither applied nor acknowledged.
    pub fn next_delta(&mut self) -> Delta {
        match self.receive(TEST_TIMEOUT) {
            Received::Delta(delta) => *delta,
            other => panic!("expected a delta, got {other:?}"),
        }
    }

    /// Applies and acknowledges a delta.
    pub fn acknowledge(&mut self, delta: &Delta) {
        self.routing.apply(delta).expect("the delta is valid");
        self.send(from_proxy::Payload::Ack(Ack { nonce: delta.nonce }));
    }

    pub fn reject(&mut self, delta: &Delta) {
        self.routing.has_gap = true;
        self.send(from_proxy::Payload::Nack(Nack { nonce: delta.nonce, reason: "a test".into() }));
    }

    /// Applies and acknowledges deltas until the routing state meets a condition.
    pub fn apply_until(&mut self, condition: impl Fn(&RoutingState) -> bool) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !condition(&self.routing) {
            assert!(Instant::now() < deadline, "condition not met by the routing state {:?}", self.routing);
            if let Received::Delta(delta) = self.receive(Duration::from_millis(200)) {
                self.acknowledge(&delta);
            }
        }
    }

    /// Applies and acknowledges deltas for a while.
    pub fn apply_for(&mut self, duration: Duration) {
        let deadline = Instant::now() + duration;
        while let Some(left) = deadline.checked_duration_since(Instant::now()) {
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

/// Whether any table contains the host.
pub fn routes_to(routing: &RoutingState, host: SocketAddr) -> bool {
    routing.tables().values().flatten().any(|line| line.0 == host)
}

/// All tables that are not empty, with their lines ordered by host.
pub fn sorted_tables(routing: &RoutingState) -> Vec<(u32, Vec<(SocketAddr, f64)>)> {
    let sorted = |lines: &Vec<(SocketAddr, f64)>| {
        let mut lines = lines.clone();
        lines.sort_by_key(|line| line.0);
        lines
    };
    routing.tables().iter().filter(|(_, t)| !t.is_empty()).map(|(slice, t)| (*slice, sorted(t))).collect()
}

/// Waits until a condition holds.
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {description}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
