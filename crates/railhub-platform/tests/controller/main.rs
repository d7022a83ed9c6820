//! The controller with the real decision logic: snapshots, commands, and the outcomes of calls.
mod calls;
mod hosts;
mod interruptions;
mod pending_commands;
mod snapshots;

use railhub::{
    BarrierAck, BarrierId, ClassId, HealthCheckOutcome, HostId, ProxyId, RetryPolicy, SliceId, WeightedHost,
};
use railhub_platform::{
    Call, CallResponse, Command, NodeConfig, PendingCommands, PlatformController, RelayEvent, SubscriptionId,
};
use std::ops::{Deref, DerefMut};

const CONFIG_JSON: &str = include_str!("../node_config.json");
/// Time of the first event of a test, in seconds of Unix time.
const START: f64 = 1_700_000_100.0;

fn config() -> NodeConfig {
    // Without health checks the decision logic trusts the endpoint list, so that a few batches are enough.
    NodeConfig::parse(&CONFIG_JSON.replace("\"probes\": true", "\"probes\": false")).expect("a valid file")
}

fn host(number: u8) -> HostId {
    HostId::new(&format!("s-{number}")).expect("a name")
}

fn assigned(slice: u16) -> RelayEvent {
    RelayEvent::SliceAssigned { slice: SliceId(slice), assigned: true }
}

fn stored(slice: u16, host_number: u8) -> RelayEvent {
    RelayEvent::StoredEntry {
        slice: SliceId(slice),
        line: WeightedHost { host: host(host_number), weight: 1.0 },
    }
}

fn joined(proxy: u16) -> RelayEvent {
    RelayEvent::ProxyJoined { proxy: ProxyId(proxy), first: false }
}

/// A controller and its newest subscription. A new one is requested with each `Subscribed` event.
struct TestController {
    inner: PlatformController,
    subscription: SubscriptionId,
}

impl TestController {
    fn new(config: &NodeConfig) -> TestController {
        TestController { inner: PlatformController::new(config), subscription: SubscriptionId::default() }
    }

    fn request_subscription(&mut self) {
        self.subscription.sequence += 1;
        self.inner.on_subscription_requested(self.subscription);
    }

    fn on_relay_event(&mut self, now: f64, event: RelayEvent) {
        if event == RelayEvent::Subscribed {
            self.request_subscription();
        }
        self.inner.on_relay_event(now, self.subscription, event);
    }
}

impl Deref for TestController {
    type Target = PlatformController;

    fn deref(&self) -> &PlatformController {
        &self.inner
    }
}

impl DerefMut for TestController {
    fn deref_mut(&mut self) -> &mut PlatformController {
        &mut self.inner
    }
}

/// Sends a complete snapshot of a new subscription.
fn send_snapshot(controller: &mut TestController, now: f64, events: &[RelayEvent]) {
    controller.on_relay_event(now, RelayEvent::Subscribed);
    for event in events {
        controller.on_relay_event(now, *event);
    }
    controller.on_relay_event(now, RelayEvent::Heartbeat);
}

fn text(call: &Call) -> &str {
    std::str::from_utf8(&call.bytes).expect("text")
}

/// Polls and accepts all calls that are due. Returns their text.
fn accept_all_calls(controller: &mut TestController, now: f64) -> String {
    controller.poll(now);
    let mut calls = String::new();
    while let Some(call) = controller.next_call() {
        calls.push_str(text(&call));
        assert!(controller.on_call_ended(Some(CallResponse::Accepted(call.commands))).is_none());
    }
    calls
}

/// The encoded commands of a call, without its id.
fn commands_of(call: &Call) -> &str {
    text(call).split_once("orders").expect("a commit").1
}

/// A controller whose call that sets the standby of slice 3 is in flight.
fn with_call_in_flight() -> (TestController, Call) {
    let mut controller = TestController::new(&config());
    send_snapshot(&mut controller, START, &[joined(1), assigned(3), stored(3, 1)]);
    controller.poll(START);
    let call = controller.next_call().expect("a standby is due");
    (controller, call)
}

/// The barrier in a call.
fn barrier_of(call: &Call) -> BarrierId {
    let number = text(call).split("\"ticket\":").nth(1).and_then(|rest| rest.split(',').next());
    BarrierId(number.and_then(|number| number.parse().ok()).expect("a barrier"))
}

/// The entry of the standby in the table of slice 3.
fn standby(weight: f64) -> RelayEvent {
    RelayEvent::StoredEntry { slice: SliceId(3), line: WeightedHost { host: host(2), weight } }
}
