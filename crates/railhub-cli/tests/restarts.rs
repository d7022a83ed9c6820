//! Restarts of a controller process in platform mode whose proxies keep running, with a scripted relay and discovery on
//! loopback.
mod common;
#[path = "common/scripted.rs"]
mod scripted;

use common::{eventually, Controller};
use scripted::{
    chunk, file_with_hosts, host_list, instance, page, proxy_joined, proxy_rejoined, slice_with_owner,
    snapshot, start_controller, ScriptedDiscovery, ScriptedRelay, Watch, PING, SUBSCRIBED, WATCH_HEAD,
};
use serde_json::Value;

/// The relay and discovery of a controller that is started more than once.
struct Peers {
    relay: ScriptedRelay,
    discovery: ScriptedDiscovery,
}

impl Peers {
    fn open() -> Peers {
        Peers { relay: ScriptedRelay::open(), discovery: ScriptedDiscovery::open() }
    }

    /// Starts a controller process that knows these hosts, and sends it the relay's snapshot.
    fn start(&self, name: &str, hosts: &[Value], snapshot: &str) -> (Controller, Watch) {
        let (relay, discovery) = (self.relay.address, self.discovery.address);
        let controller = start_controller(name, |listen| file_with_hosts(listen, relay, discovery, hosts));
        let mut subscriber = self.relay.subscriber();
        subscriber.send(snapshot);
        subscriber.keep_alive();
        let mut watch = self.discovery.watch();
        watch.send(WATCH_HEAD);
        (controller, watch)
    }

    /// Starts a process that excludes host s-1 of three while it drains, learns that it is gone, and is killed.
    fn kill_after_exclusion(&self, name: &str) {
        let (_controller, mut watch) = self.start(name, &host_list(3), &snapshot());
        watch.send(&chunk(&page(50, false, &[instance("s-1", "draining")])));
        eventually("the draining host is excluded", || self.relay.has_call_with(&exclusion("s-1")));
        watch.send(&chunk(&page(51, false, &[instance("s-1", "gone")])));
    }
}

fn exclusion(host: &str) -> String {
    format!(r#"{{"op":"withdraw","server":"{host}"}}"#)
}

fn readmission(host: &str) -> String {
    format!(r#"{{"op":"restore","server":"{host}"}}"#)
}

/// Guards against review/1: a host that was off the list when its controller was killed and started again stayed
/// excluded at the proxies.
#[test]
fn a_host_listed_after_a_restart_is_readmitted() {
    let peers = Peers::open();
    peers.kill_after_exclusion("before-restart");
    let snapshot = SUBSCRIBED.to_owned() + &proxy_rejoined(1) + &slice_with_owner(3, "s-2") + PING;
    let (controller, mut watch) = peers.start("after-restart", &host_list(3)[1..], &snapshot);
    eventually("the listed hosts are readmitted", || peers.relay.has_call_with(&readmission("s-2")));
    assert!(!peers.relay.has_call_with(&readmission("s-1")), "host s-1 is not listed");
    watch.send(&chunk(&page(60, false, &[instance("s-1", "ready")])));
    eventually("the host that is back is readmitted", || peers.relay.has_call_with(&readmission("s-1")));
    assert!(controller.log_contains("exclusions repeated"));
}

/// Guards against review/3: a restart stayed unnoticed if a fresh proxy joined the new process first, so that the
/// proxies that kept running went on excluding listed hosts.
#[test]
fn a_restart_is_noticed_though_a_fresh_proxy_joins_first() {
    let peers = Peers::open();
    peers.kill_after_exclusion("before-fresh-proxy");
    let proxies = proxy_joined(0) + &proxy_rejoined(1);
    let snapshot = SUBSCRIBED.to_owned() + &proxies + &slice_with_owner(3, "s-2") + PING;
    let (_controller, _watch) = peers.start("after-fresh-proxy", &host_list(3), &snapshot);
    eventually("the excluded host is readmitted", || peers.relay.has_call_with(&readmission("s-1")));
}
