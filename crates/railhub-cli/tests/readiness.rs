//! Measures how long a controller process takes from its start to its first pong and to its first call at the relay, at
//! the sockets of scripted peers, and how outages of its peers are logged. `--nocapture` shows the measured times.
mod common;
#[path = "common/scripted.rs"]
mod scripted;

use common::{config_text, eventually};
use scripted::{
    chunk, exclusive_address, file_with_hosts, host_list, page, proxy_joined, slice_with_owner, snapshot,
    start_controller, RelayDelays, RestartableController, ScriptedDiscovery, ScriptedRelay, ServingRelay,
    SUBSCRIBED,
};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The operators require that nine in ten restarted processes are ready within this time.
const MAX_READY_TIME: Duration = Duration::from_secs(10);
/// How long the relay sends messages without pause.
const FLOOD_DURATION: Duration = Duration::from_secs(2);
/// The size of the complete endpoint list of a large site.
const MANY_HOSTS: usize = 2800;

/// Times that a process took from its start.
#[derive(Clone, Copy)]
struct Readiness {
    first_pong: Duration,
    first_call: Duration,
}

/// A controller with a relay of its own.
struct Node {
    relay: ServingRelay,
    controller: RestartableController,
}

impl Node {
    fn new(name: &str, delays: RelayDelays, discovery: SocketAddr, hosts: usize) -> Node {
        let relay = ServingRelay::start(delays);
        let address = relay.address;
        let list = host_list(hosts);
        let controller =
            RestartableController::new(name, |listen| file_with_hosts(listen, address, discovery, &list));
        Node { relay, controller }
    }

    fn start(&mut self) -> Readiness {
        self.relay.clear_calls();
        let started_at = Instant::now();
        let first_pong = self.controller.start();
        eventually("the first call arrives", || self.relay.first_call_at().is_some());
        let first_call = self.relay.first_call_at().expect("the first call arrived") - started_at;
        Readiness { first_pong, first_call }
    }

    fn restart(&mut self) -> Readiness {
        self.start();
        self.controller.kill();
        self.start()
    }
}

/// Starts all nodes at once, each from its own thread.
fn start_together(nodes: &mut [Node]) -> Vec<Readiness> {
    std::thread::scope(|scope| {
        let starting: Vec<_> = nodes.iter_mut().map(|node| scope.spawn(|| node.start())).collect();
        starting.into_iter().map(|start| start.join().expect("the node becomes ready")).collect()
    })
}

/// Asserts that nine in ten processes were ready in time, by first pong and by first call.
fn assert_ready(what: &str, measured: &[Readiness]) {
    let pongs: Vec<Duration> = measured.iter().map(|ready| ready.first_pong).collect();
    let calls: Vec<Duration> = measured.iter().map(|ready| ready.first_call).collect();
    for (name, mut times) in [("first pong", pongs), ("first call", calls)] {
        times.sort();
        let nine_in_ten = times[(times.len() * 9).div_ceil(10) - 1];
        eprintln!(
            "{what}, {name}: median {:.2?}, nine in ten {nine_in_ten:.2?}, worst {:.2?}, {} processes",
            times[times.len() / 2],
            times[times.len() - 1],
            times.len()
        );
        assert!(nine_in_ten < MAX_READY_TIME, "{what}, {name}: {times:?}");
    }
}

#[test]
fn restarted_controller_is_ready_despite_faulty_discovery() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let late =
        ScriptedDiscovery::serving(Duration::from_secs(3), chunk(&page(50, true, &host_list(MANY_HOSTS))));
    let cases = [
        ("away", exclusive_address()),
        ("silent", silent.local_addr().expect("the listener is bound")),
        ("late", late),
    ];
    for (case, discovery) in cases {
        let mut node = Node::new(&format!("discovery-{case}"), RelayDelays::default(), discovery, 2);
        assert_ready(&format!("discovery {case}"), &[node.restart()]);
    }
}

#[test]
fn restarted_controller_is_ready_despite_a_slow_relay() {
    // The second relay responds later than the time for which a subscription may be silent. A controller that
    // subscribed anew after that time would never get a response.
    for (case, subscription, call) in [("slow", 1500, 40), ("very-slow", 4000, 200)] {
        let (subscription, call) = (Duration::from_millis(subscription), Duration::from_millis(call));
        let delays = RelayDelays { subscription, call };
        let mut node = Node::new(&format!("relay-{case}"), delays, ScriptedDiscovery::idle(), 2);
        assert_ready(&format!("relay {case}"), &[node.restart()]);
    }
}

#[test]
fn restarted_controller_is_ready_with_a_large_endpoint_list() {
    let list = chunk(&page(50, true, &host_list(MANY_HOSTS)));
    let discovery = ScriptedDiscovery::serving(Duration::ZERO, list);
    for (case, known) in [("known-and-listed", MANY_HOSTS), ("listed", 2)] {
        let mut node = Node::new(&format!("hosts-{case}"), RelayDelays::default(), discovery, known);
        assert_ready(&format!("{MANY_HOSTS} hosts {case}"), &[node.restart()]);
    }
}

#[test]
fn five_controllers_restarted_at_once_are_ready() {
    let list = chunk(&page(50, true, &host_list(MANY_HOSTS)));
    let discovery = ScriptedDiscovery::serving(Duration::ZERO, list);
    let mut nodes: Vec<Node> = (0..5)
        .map(|n| Node::new(&format!("five-{n}"), RelayDelays::default(), discovery, MANY_HOSTS))
        .collect();
    start_together(&mut nodes);
    nodes.iter_mut().for_each(|node| node.controller.kill());
    assert_ready("five restarted at once", &start_together(&mut nodes));
}

#[test]
fn five_controllers_restarted_at_once_are_ready_with_slow_peers() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let discovery = silent.local_addr().expect("the listener is bound");
    let delays = RelayDelays { subscription: Duration::from_millis(1500), call: Duration::from_millis(40) };
    let mut nodes: Vec<Node> =
        (0..5).map(|n| Node::new(&format!("five-slow-{n}"), delays, discovery, MANY_HOSTS)).collect();
    start_together(&mut nodes);
    nodes.iter_mut().for_each(|node| node.controller.kill());
    assert_ready("five restarted at once, slow peers", &start_together(&mut nodes));
}

#[test]
fn twenty_controllers_started_at_once_are_ready() {
    let list = chunk(&page(50, true, &host_list(MANY_HOSTS)));
    let discovery = ScriptedDiscovery::serving(Duration::ZERO, list);
    let mut nodes: Vec<Node> = (0..20)
        .map(|n| Node::new(&format!("twenty-{n}"), RelayDelays::default(), discovery, MANY_HOSTS))
        .collect();
    assert_ready("twenty started at once", &start_together(&mut nodes));
}

#[test]
fn a_relay_outage_is_logged_with_its_cause_and_its_end() {
    let address = exclusive_address();
    let controller =
        start_controller("relay-away", |listen| config_text(listen, address, ScriptedDiscovery::idle()));
    eventually("the outage is logged", || {
        controller.log_contains(
            "relay subscription down elapsed_s=5 cause=\"cannot connect to the relay: Connection refused",
        )
    });
    assert!(controller.try_ping());
    let relay = ServingRelay::start_at(address, RelayDelays::default());
    eventually("the relay gets a command", || relay.has_call_with("\"table\":3"));
    eventually("the end of the outage is logged", || controller.log_contains("relay subscription restored"));
}

#[test]
fn a_relay_that_does_not_respond_is_logged_with_its_cause() {
    let relay = ScriptedRelay::open();
    let controller = start_controller("relay-no-response", |listen| {
        config_text(listen, relay.address, ScriptedDiscovery::idle())
    });
    let first = relay.subscriber();
    eventually("the outage is logged", || {
        controller.log_contains("relay subscription down elapsed_s=")
            && controller.log_contains(" cause=\"no answer from the relay to the subscription\"")
    });
    // The controller gave up the earlier subscriptions that got no response; the test uses the one that is still open.
    let mut subscription = relay.subscriber();
    while !is_connection_open(&subscription) {
        subscription = relay.subscriber();
    }
    subscription.send(&snapshot());
    subscription.keep_alive();
    eventually("the relay gets a command", || relay.has_call_with("\"table\":3"));
    drop(first);
}

/// Whether the controller has not closed the connection yet.
fn is_connection_open(connection: &scripted::Connection) -> bool {
    connection.stream.set_nonblocking(true).expect("socket option is set");
    let is_closed = matches!(connection.stream.peek(&mut [0]), Ok(0));
    connection.stream.set_nonblocking(false).expect("socket option is set");
    !is_closed
}

#[test]
fn a_subscription_without_proxies_is_logged_until_one_joins() {
    let relay = ScriptedRelay::open();
    let controller = start_controller("no-proxies", |listen| {
        config_text(listen, relay.address, ScriptedDiscovery::idle())
    });
    let mut subscription = relay.subscriber();
    subscription.send(&(SUBSCRIBED.to_owned() + &slice_with_owner(3, "s-1")));
    let mut writer = subscription.writer();
    subscription.keep_alive();
    eventually("the outage is logged", || controller.log_contains("no proxy joined elapsed_s=5"));
    writer
        .write_all((proxy_joined(1) + &slice_with_owner(5, "s-1")).as_bytes())
        .expect("the controller keeps the connection open");
    eventually("the end of the outage is logged", || {
        controller.log_contains("proxies joined or relay subscription ended elapsed_s=")
    });
    eventually("the relay gets a command", || relay.has_call_with("\"table\":5"));
}

#[test]
fn a_discovery_that_does_not_respond_is_logged_until_it_does() {
    let relay = ServingRelay::start(RelayDelays::default());
    let discovery = ScriptedDiscovery::open();
    let controller = start_controller("discovery-no-response", |listen| {
        config_text(listen, relay.address, discovery.address)
    });
    let pending_watch = discovery.watch();
    eventually("the outage is logged", || {
        controller.log_contains("discovery watch down elapsed_s=")
            && controller.log_contains(" cause=\"discovery: no answer in time\"")
    });
    let mut watch = discovery.watch();
    let hosts = [scripted::instance("s-1", "ready"), scripted::instance("s-3", "ready")];
    watch.send(&(scripted::WATCH_HEAD.to_owned() + &chunk(&page(50, true, &hosts))));
    watch.keep_alive();
    eventually("the new endpoint list takes effect", || relay.has_call_with("\"s-3\""));
    eventually("the end of the outage is logged", || controller.log_contains("discovery watch restored"));
    drop(pending_watch);
}

#[test]
fn an_empty_endpoint_list_is_logged() {
    let relay = ServingRelay::start(RelayDelays::default());
    let controller = start_controller("no-hosts", |listen| {
        file_with_hosts(listen, relay.address, ScriptedDiscovery::idle(), &[])
    });
    eventually("the empty list is logged", || controller.log_contains("endpoint list empty elapsed_s=5"));
}

#[test]
fn controller_answers_pings_during_a_flood_of_relay_messages() {
    let relay = ScriptedRelay::open();
    let controller = start_controller("flood-subscription", |listen| {
        config_text(listen, relay.address, ScriptedDiscovery::idle())
    });
    let mut subscription = relay.subscriber();
    subscription.send(&snapshot());
    let mut writer = subscription.writer();
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let messages = proxy_joined(1).repeat(1000);
            while !stop.load(Ordering::Acquire) {
                writer.write_all(messages.as_bytes()).expect("the subscription stays open");
            }
        });
        let started_at = Instant::now();
        let (mut pings, mut answered) = (0, true);
        while answered && (pings < 20 || started_at.elapsed() < FLOOD_DURATION) {
            answered = controller.try_ping();
            pings += 1;
        }
        stop.store(true, Ordering::Release);
        assert!(answered, "ping {pings} was not answered");
    });
    writer.write_all(slice_with_owner(5, "s-1").as_bytes()).expect("the subscription stays open");
    eventually("the relay gets a command", || relay.has_call_with("\"table\":5"));
}
