//! Interruptions of the relay's news at a controller process in platform mode, where a slice has a single owner.
mod common;
#[path = "common/scripted.rs"]
mod scripted;

use common::{eventually, Controller};
use scripted::{
    chunk, file_with_hosts, host_list, instance, notification, page, proxy_joined, slice_assigned,
    slice_with_owner, start_controller, Connection, ScriptedDiscovery, ScriptedRelay, Watch, PING,
    SUBSCRIBED, WATCH_HEAD,
};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

/// Writes to a former owner end within a second: the sum of the lease and the duration of a write.
const SINGLE_OWNER: &str = r#""exclusive":true,"write_lease_us":500000,"write_life_us":500000"#;
const WRITES_END_AFTER: Duration = Duration::from_secs(1);
/// Longer than writes to a former owner, and shorter than the controller waits for a response to a subscription.
const INTERRUPTION: Duration = Duration::from_millis(1400);
const SNAPSHOT_APPLIED: &str = "snapshot applied";
const CLEARED: &str = r#""table":3,"server":"s-1","weight":0.0"#;
const NAMED: [&str; 2] =
    [r#""table":3,"server":"s-2","weight":1.0"#, r#""table":3,"server":"s-3","weight":1.0"#];

/// A controller with its scripted relay and discovery, and three hosts of which s-1 owns slice 3.
struct Deployment {
    relay: ScriptedRelay,
    subscriber: Connection,
    watch: Watch,
    _discovery: ScriptedDiscovery,
    controller: Controller,
}

impl Deployment {
    /// Starts a controller that shares its store with `controllers - 1` others, and has joined `proxies`.
    fn start(name: &str, controllers: u32, proxies: &str) -> Deployment {
        let (relay, discovery) = (ScriptedRelay::open(), ScriptedDiscovery::open());
        let controller = start_controller(name, |listen| {
            file_with_hosts(listen, relay.address, discovery.address, &host_list(3))
                .replace("\"exclusive\":false", SINGLE_OWNER)
                .replace("\"settings\":{", &format!("\"settings\":{{\"balancers\":{controllers},"))
        });
        let subscriber = relay.subscriber();
        let mut watch = discovery.watch();
        watch.send(WATCH_HEAD);
        let mut deployment = Deployment { relay, subscriber, watch, _discovery: discovery, controller };
        deployment.send_snapshot(&(proxies.to_owned() + &slice_with_owner(3, "s-1")));
        deployment
    }

    /// Lets the owner of slice 3 drain, and waits until its table is cleared. Returns the barrier of that call.
    fn clear_slice(&mut self) -> u16 {
        self.watch.send(&chunk(&page(50, false, &[instance("s-1", "draining")])));
        eventually("the table is cleared", || self.relay.has_call_with(CLEARED));
        let calls = self.relay.calls.lock().expect("the call log is not poisoned");
        let call = calls.iter().find(|(_, call)| call.contains(CLEARED)).expect("found above");
        let ticket = call.1.split("\"ticket\":").nth(1).and_then(|rest| rest.split(',').next());
        ticket.and_then(|ticket| ticket.parse().ok()).expect("the call has a barrier")
    }

    fn acknowledge(&mut self, proxy: u16, barrier: u16) {
        let params = format!(r#"{{"proxy":{proxy},"mark":{barrier},"took_ms":200.0}}"#);
        self.subscriber.send(&notification("applied", &params));
    }

    /// Ends the subscription and confirms the next one, whose snapshot has this content.
    fn renew_subscription(&mut self, pause: Duration, snapshot: &str) {
        self.subscriber.stream.shutdown(Shutdown::Both).expect("the stream is open");
        self.subscriber = self.relay.subscriber();
        std::thread::sleep(pause);
        self.send_snapshot(snapshot);
    }

    /// Confirms the subscription, and waits until the controller has applied its snapshot.
    fn send_snapshot(&mut self, snapshot: &str) {
        let applied_before = self.controller.log_count(SNAPSHOT_APPLIED);
        self.subscriber.send(&(SUBSCRIBED.to_owned() + snapshot + PING));
        eventually("the snapshot is applied", || {
            self.controller.log_count(SNAPSHOT_APPLIED) > applied_before
        });
    }

    /// Waits until the controller requests a new subscription though the present one is kept alive.
    fn accept_new_subscription(&mut self) {
        let mut next = None;
        eventually("a new subscription is requested", || {
            // The controller may close the present one at any moment.
            let _ = self.subscriber.stream.write_all(PING.as_bytes());
            next = self.relay.try_subscriber();
            next.is_some()
        });
        self.subscriber = next.expect("requested");
    }

    fn names_owner(&self) -> bool {
        NAMED.iter().any(|named| self.relay.has_call_with(named))
    }

    /// Keeps the subscription alive, and asserts that no owner is named meanwhile.
    fn assert_no_owner_is_named_for(&mut self, duration: Duration) {
        let started_at = Instant::now();
        while started_at.elapsed() < duration {
            self.subscriber.send(PING);
            std::thread::sleep(Duration::from_millis(100));
            assert!(!self.names_owner(), "after {:?}", started_at.elapsed());
        }
    }
}

/// Guards against review/6: an owner that was decided before or during an interruption replaced the owner that another
/// controller had named meanwhile.
#[test]
fn an_owner_named_by_another_controller_is_not_replaced() {
    for owner in ["s-2", "s-3"] {
        let mut deployment = Deployment::start(&format!("handover-{owner}"), 2, &proxy_joined(1));
        let barrier = deployment.clear_slice();
        deployment.acknowledge(1, barrier);
        let snapshot = proxy_joined(1) + &slice_with_owner(3, owner);
        // The time of the next owner comes while the relay does not confirm the subscription.
        deployment.renew_subscription(INTERRUPTION, &snapshot);
        deployment.assert_no_owner_is_named_for(WRITES_END_AFTER);
    }
}

/// Guards against a table that stays empty after an interruption.
#[test]
fn a_table_found_empty_after_an_interruption_gets_an_owner() {
    let mut deployment = Deployment::start("empty-after-interruption", 2, &proxy_joined(1));
    let barrier = deployment.clear_slice();
    deployment.renew_subscription(Duration::ZERO, &(proxy_joined(1) + &slice_assigned(3)));
    let next_barrier = barrier + 1;
    eventually("a barrier follows", || {
        deployment.relay.has_call_with(&format!("\"ticket\":{next_barrier},"))
    });
    deployment.acknowledge(1, next_barrier);
    deployment.assert_no_owner_is_named_for(WRITES_END_AFTER / 2);
    eventually("an owner is named", || {
        deployment.subscriber.send(PING);
        deployment.names_owner()
    });
}

/// Guards against review/7: a proxy whose stream came and went while the news was interrupted may still write to the
/// former owner, so the next one is named only after its lease and its last write.
#[test]
fn a_proxy_that_came_and_went_unseen_keeps_its_lease() {
    let mut deployment = Deployment::start("unseen-proxy", 1, &proxy_joined(1));
    deployment.renew_subscription(Duration::ZERO, &(proxy_joined(1) + &slice_with_owner(3, "s-1")));
    let resumed_at = Instant::now();
    let barrier = deployment.clear_slice();
    deployment.acknowledge(1, barrier);
    deployment.assert_no_owner_is_named_for(WRITES_END_AFTER.saturating_sub(resumed_at.elapsed()));
    eventually("an owner is named", || {
        deployment.subscriber.send(PING);
        deployment.names_owner()
    });
}

/// Guards against a table that counts as cleared though the relay refused the command: the next owner replaced the
/// former one at once.
#[test]
fn a_refused_clearing_is_repeated_before_the_next_owner() {
    let mut deployment = Deployment::start("refused-clearing", 1, &proxy_joined(1));
    *deployment.relay.refused_text.lock().expect("not poisoned") = Some(CLEARED);
    let barrier = deployment.clear_slice();
    deployment.accept_new_subscription();
    deployment.relay.calls.lock().expect("not poisoned").clear();
    deployment
        .subscriber
        .send(&(SUBSCRIBED.to_owned() + &proxy_joined(1) + &slice_with_owner(3, "s-1") + PING));
    eventually("the table is cleared again", || deployment.relay.has_call_with(CLEARED));
    deployment.acknowledge(1, barrier + 1);
    deployment.assert_no_owner_is_named_for(WRITES_END_AFTER / 2);
}

/// Guards against the news of an assignment that is older than an answered call: the owner that the call named was not
/// known, and another one was named beside it.
#[test]
fn an_assignment_right_after_an_answered_call_is_checked_by_a_snapshot() {
    let mut deployment = Deployment::start("late-assignment", 1, &proxy_joined(1));
    let barrier = deployment.clear_slice();
    deployment.acknowledge(1, barrier);
    eventually("an owner is named", || {
        deployment.subscriber.send(PING);
        deployment.names_owner()
    });
    let revoked = notification("given", r#"{"slice":3,"on":false}"#);
    deployment.subscriber.send(&(revoked + &slice_assigned(3)));
    deployment.accept_new_subscription();
    deployment
        .subscriber
        .send(&(SUBSCRIBED.to_owned() + &proxy_joined(1) + &slice_with_owner(3, "s-2") + PING));
}

/// A listener whose connections receive no more than a few kilobytes before they are read.
fn listener_with_small_receive_buffer() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let size: libc::c_int = 1;
    // SAFETY: the descriptor is open, and the option's value is an integer of the given size.
    let result = unsafe {
        let value = (&raw const size).cast();
        let length = size_of::<libc::c_int>() as libc::socklen_t;
        libc::setsockopt(listener.as_raw_fd(), libc::SOL_SOCKET, libc::SO_RCVBUF, value, length)
    };
    assert_eq!(result, 0);
    listener
}

/// Guards against a call that reaches the relay long after it was given up: the kernel went on delivering it after the
/// connection was closed, so that it could take effect on a later table.
#[test]
fn a_call_that_was_given_up_is_not_delivered_later() {
    let listener = listener_with_small_receive_buffer();
    let relay = listener.local_addr().expect("the listener is bound");
    let discovery = ScriptedDiscovery::open();
    let _controller = start_controller("given-up-call", |listen| {
        file_with_hosts(listen, relay, discovery.address, &host_list(3))
    });
    let (mut subscriber, _) = listener.accept().expect("the controller subscribes");
    let slices: String = (0..40).map(|slice| slice_with_owner(slice, "s-1")).collect();
    let snapshot = SUBSCRIBED.to_owned() + &proxy_joined(1) + &slices + PING;
    subscriber.write_all(snapshot.as_bytes()).expect("the controller reads");
    let (mut caller, _) = listener.accept().expect("the controller calls");
    std::thread::sleep(Duration::from_secs(1));
    let mut received = Vec::new();
    let _ = caller.read_to_end(&mut received);
    assert!(!received.is_empty() && !received.contains(&b'\n'), "{} bytes arrived", received.len());
}
