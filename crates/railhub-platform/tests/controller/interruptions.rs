//! Interruptions of the subscription where a slice has a single owner: the slice may be assigned to another controller
//! meanwhile, which names an owner of its own.
use super::*;
use railhub_platform::EndpointPage;

/// Seconds after which no write to a former owner can be in progress: lease and write, as in [`single_owner_config`].
const WRITES_END_AFTER: f64 = 4.0;
const THREE_HOSTS: &str = r#""instances": [
  {"instanceId": "s-3", "hostPort": "127.0.0.3:7070", "zone": "a", "machineType": "m", "cell": 0,
   "lifecycle": "ready", "weight": 2.0, "startedAtMs": 0},"#;

/// A store shared by `controllers`, with three hosts and a single owner for each slice.
fn single_owner_config(controllers: u32) -> NodeConfig {
    let text = CONFIG_JSON
        .replace("\"probes\": true", "\"probes\": false")
        .replace(
            "\"exclusive\": false",
            r#""exclusive": true, "write_lease_us": 2500000, "write_life_us": 1500000"#,
        )
        .replace("\"settings\": {", &format!("\"settings\": {{ \"balancers\": {controllers},"))
        .replacen("\"instances\": [", THREE_HOSTS, 1);
    NodeConfig::parse(&text).expect("a valid file")
}

/// The endpoint list once host s-1 drains.
fn list_with_draining_host(config: &NodeConfig) -> EndpointPage {
    let mut page = config.known_endpoints.clone();
    page.generation += 1;
    let draining =
        page.entries.iter_mut().find(|entry| entry.endpoint.host == host(1)).expect("host s-1 is listed");
    draining.endpoint.phase = railhub::Phase::Draining;
    page
}

/// Whether a call names an owner of slice 3.
fn names_owner(calls: &str) -> bool {
    calls
        .split("{\"op\":")
        .any(|command| command.contains("\"table\":3,") && command.contains("\"weight\":1.0"))
}

/// A controller that has cleared slice 3 of its draining owner s-1, and has the acknowledgement of its only proxy.
fn with_cleared_slice(config: &NodeConfig) -> TestController {
    let mut controller = TestController::new(config);
    send_snapshot(&mut controller, START, &[joined(1), assigned(3), stored(3, 1)]);
    accept_all_calls(&mut controller, START);
    controller.on_endpoint_page(START + 10.0, &list_with_draining_host(config));
    controller.on_relay_event(START + 10.0, RelayEvent::Heartbeat);
    controller.poll(START + 10.0);
    let call = controller.next_call().expect("the table is cleared");
    assert!(text(&call).contains(r#""table":3,"server":"s-1","weight":0.0"#), "{}", text(&call));
    controller.on_call_ended(Some(CallResponse::Accepted(call.commands)));
    acknowledge(&mut controller, START + 10.2, &call);
    controller
}

/// Proxy 1 acknowledges the barrier of a call.
fn acknowledge(controller: &mut TestController, now: f64, call: &Call) {
    let ack = BarrierAck { proxy: ProxyId(1), barrier: barrier_of(call) };
    controller.on_relay_event(now, RelayEvent::BarrierAcked(ack));
    controller.poll(now);
}

/// Polls ten times a second, and accepts all calls. Returns their text.
fn run(controller: &mut TestController, from: f64, to: f64) -> String {
    let mut calls = String::new();
    for step in 0..((to - from) * 10.0).round() as u32 {
        calls.push_str(&accept_all_calls(controller, from + f64::from(step) / 10.0));
    }
    calls
}

/// Guards against review/6: an owner that was decided before or during an interruption replaced the owner that another
/// controller had named meanwhile.
#[test]
fn order_from_before_a_handover_does_not_replace_the_owner_named_since() {
    for named_meanwhile in [2, 3] {
        let config = single_owner_config(2);
        let mut controller = with_cleared_slice(&config);
        let subscription = controller.subscription;
        controller.on_subscription_ended(subscription);
        let mut calls = run(&mut controller, START + 10.5, START + 16.0);
        send_snapshot(&mut controller, START + 16.0, &[joined(1), assigned(3), stored(3, named_meanwhile)]);
        calls += &run(&mut controller, START + 16.0, START + 16.9);
        assert!(!names_owner(&calls), "named meanwhile: {named_meanwhile}; {calls}");
    }
}

/// Guards against an owner that is named again after a call of unknown outcome, though another controller may have had
/// the slice before the snapshot that shows the outcome.
#[test]
fn owner_of_an_unknown_call_is_decided_anew() {
    for (controllers, is_named_at_once) in [(1, true), (2, false)] {
        let config = single_owner_config(controllers);
        let mut controller = with_cleared_slice(&config);
        controller.on_relay_event(START + 15.0, RelayEvent::Heartbeat);
        controller.poll(START + 15.0);
        let call = controller.next_call().expect("an owner is named");
        assert!(names_owner(text(&call)));
        controller.on_call_ended(None);
        send_snapshot(&mut controller, START + 15.5, &[joined(1), assigned(3)]);
        let calls = accept_all_calls(&mut controller, START + 15.5);
        assert_eq!(names_owner(&calls), is_named_at_once, "{controllers} controllers: {calls}");
    }
}

/// Guards against an owner that is named without a wait after another controller may have named and cleared one.
#[test]
fn empty_table_waits_again_after_an_interruption() {
    for (controllers, expected_wait) in [(1, 0.0), (2, WRITES_END_AFTER)] {
        let config = single_owner_config(controllers);
        let mut controller = with_cleared_slice(&config);
        let subscription = controller.subscription;
        controller.on_subscription_ended(subscription);
        assert!(!names_owner(&run(&mut controller, START + 10.5, START + 20.0)), "no news, no owner");
        send_snapshot(&mut controller, START + 20.0, &[joined(1), assigned(3)]);
        let named_after = time_until_owner_is_named(&mut controller, START + 20.0);
        assert!((expected_wait..expected_wait + 1.2).contains(&named_after), "{controllers}: {named_after}");
    }
}

/// Guards against calls that reach the relay of a new configuration while the news still comes from the former one.
#[test]
fn no_owner_is_named_between_two_relays() {
    let config = single_owner_config(2);
    let mut controller = with_cleared_slice(&config);
    controller.on_subscription_requested(SubscriptionId { config_version: 1, sequence: 9 });
    for second in 11..18 {
        controller.on_relay_event(START + f64::from(second), RelayEvent::Heartbeat);
        assert!(!names_owner(&accept_all_calls(&mut controller, START + f64::from(second))));
    }
}

/// Guards against a decision on news that is late: the subscription is open, but brings nothing.
#[test]
fn no_owner_is_named_while_the_subscription_is_silent() {
    let config = single_owner_config(2);
    let mut controller = with_cleared_slice(&config);
    assert!(!names_owner(&run(&mut controller, START + 12.0, START + 16.0)));
    controller.on_relay_event(START + 16.0, RelayEvent::Heartbeat);
    assert!(names_owner(&run(&mut controller, START + 16.0, START + 17.1)), "the news goes on");
}

/// Guards against a weight from before a hand-over that is added to the table of another controller.
#[test]
fn pending_weights_are_dropped_if_the_stored_table_is_another() {
    let (mut controller, _) = with_call_in_flight();
    controller.on_call_ended(Some(CallResponse::Rejected));
    // The relay did not carry out the call, which sets standby s-2. Meanwhile another controller has set the owner s-9.
    send_snapshot(&mut controller, START + 0.2, &[joined(1), assigned(3), stored(3, 9)]);
    let before_decision = controller.next_call();
    assert!(!before_decision
        .is_some_and(|call| text(&call).contains("\"table\":3,\"server\":\"s-2\",\"weight\":0.0001")));
}

/// Guards against review/7: a proxy whose stream came and went between two snapshots may still write to the former
/// owner.
#[test]
fn proxy_that_came_and_went_between_two_snapshots_keeps_its_lease() {
    for has_batch_between in [true, false] {
        let config = single_owner_config(1);
        let mut controller = TestController::new(&config);
        let snapshot = [joined(1), assigned(3), stored(3, 1)];
        send_snapshot(&mut controller, START, &snapshot);
        run(&mut controller, START, START + 10.0);
        let subscription = controller.subscription;
        controller.on_subscription_ended(subscription);
        if has_batch_between {
            run(&mut controller, START + 10.0, START + 16.0);
        }
        send_snapshot(&mut controller, START + 16.0, &snapshot);
        controller.on_endpoint_page(START + 16.0, &list_with_draining_host(&config));
        let named_after = time_until_owner_is_named(&mut controller, START + 16.0);
        assert!((WRITES_END_AFTER..WRITES_END_AFTER + 1.2).contains(&named_after), "{named_after}");
    }
}

/// Polls ten times a second, accepts and acknowledges all calls, and returns the seconds until one names an owner.
fn time_until_owner_is_named(controller: &mut TestController, from: f64) -> f64 {
    for step in 0..80 {
        let now = from + f64::from(step) / 10.0;
        controller.on_relay_event(now, RelayEvent::Heartbeat);
        controller.poll(now);
        while let Some(call) = controller.next_call() {
            controller.on_call_ended(Some(CallResponse::Accepted(call.commands)));
            acknowledge(controller, now, &call);
            if names_owner(text(&call)) {
                return now - from;
            }
        }
    }
    panic!("no owner is named within 8 s");
}

/// Guards against a table that counts as cleared though the relay did not carry out the command: a later barrier was
/// acknowledged, and the next owner replaced the former one at once.
#[test]
fn table_command_that_was_not_carried_out_requires_a_snapshot() {
    for response in [CallResponse::Malformed, CallResponse::Accepted(0)] {
        let config = single_owner_config(1);
        let mut controller = TestController::new(&config);
        send_snapshot(&mut controller, START, &[joined(1), assigned(3), stored(3, 1)]);
        accept_all_calls(&mut controller, START);
        controller.on_endpoint_page(START + 10.0, &list_with_draining_host(&config));
        controller.on_relay_event(START + 10.0, RelayEvent::Heartbeat);
        controller.poll(START + 10.0);
        let call = controller.next_call().expect("the table is cleared");
        controller.on_call_ended(Some(response));
        assert!(controller.take_resubscribe_reason().is_some(), "{response:?}");
        acknowledge(&mut controller, START + 10.2, &call);
        assert!(!names_owner(&run(&mut controller, START + 10.2, START + 18.0)), "{response:?}");
        send_snapshot(&mut controller, START + 18.0, &[joined(1), assigned(3), stored(3, 1)]);
        let calls = accept_all_calls(&mut controller, START + 18.0);
        assert!(
            calls.contains(r#""table":3,"server":"s-1","weight":0.0"#) && !names_owner(&calls),
            "{calls}"
        );
    }
}

/// Assigns slice 3 anew, with an empty table.
fn reassign_with_empty_table(controller: &mut TestController, now: f64) {
    let revoked = RelayEvent::SliceAssigned { slice: SliceId(3), assigned: false };
    [revoked, assigned(3)].into_iter().for_each(|event| controller.on_relay_event(now, event));
}

/// Guards against the news of an assignment that is older than a call which was answered before it: the empty table
/// counted as the present one, and another owner was named beside the one that the call had named.
#[test]
fn assignment_that_may_be_older_than_an_accepted_call_requires_a_snapshot() {
    let config = single_owner_config(1);
    let mut controller = with_cleared_slice(&config);
    controller.on_relay_event(START + 15.0, RelayEvent::Heartbeat);
    assert!(names_owner(&accept_all_calls(&mut controller, START + 15.0)));
    reassign_with_empty_table(&mut controller, START + 15.05);
    assert!(controller.take_resubscribe_reason().is_some());
    assert!(
        !names_owner(&run(&mut controller, START + 15.1, START + 25.0)),
        "only a snapshot shows the owner"
    );
}

/// Guards against an owner that is named on the previous table, between the news of an assignment and its batch.
#[test]
fn no_owner_is_named_while_an_assignment_is_being_received() {
    let config = single_owner_config(2);
    let mut controller = with_cleared_slice(&config);
    reassign_with_empty_table(&mut controller, START + 15.0);
    let calls =
        accept_all_calls(&mut controller, START + 15.0) + &accept_all_calls(&mut controller, START + 15.1);
    assert!(!names_owner(&calls), "{calls}");
}

/// A controller whose subscription has ended after this snapshot.
fn interrupted_after(config: &NodeConfig, snapshot: &[RelayEvent]) -> TestController {
    let mut controller = TestController::new(config);
    send_snapshot(&mut controller, START, snapshot);
    accept_all_calls(&mut controller, START);
    let subscription = controller.subscription;
    controller.on_subscription_ended(subscription);
    controller
}

/// Guards against a command that was accepted while the slice was assigned elsewhere, so that it had no effect, and that
/// counts as part of the next snapshot.
#[test]
fn table_command_accepted_during_an_interruption_requires_a_later_snapshot() {
    let config = single_owner_config(1);
    let snapshot = [joined(1), assigned(3), stored(3, 1)];
    let mut controller = interrupted_after(&config, &snapshot);
    controller.request_subscription();
    controller.on_endpoint_page(START + 10.0, &list_with_draining_host(&config));
    assert!(accept_all_calls(&mut controller, START + 10.0).contains(r#""server":"s-1","weight":0.0"#));
    assert!(controller.take_resubscribe_reason().is_some());
    send_snapshot(&mut controller, START + 10.2, &snapshot);
    let calls = accept_all_calls(&mut controller, START + 10.3);
    assert!(calls.contains(r#""server":"s-1","weight":0.0"#), "the table is cleared again: {calls}");
}

/// Guards against a command that is decided and accepted while an assignment of its slice is being received: the table
/// of the assignment, from before that command, counted as the present one.
#[test]
fn command_accepted_while_an_assignment_is_being_received_requires_a_snapshot() {
    let config = single_owner_config(1);
    let mut controller = TestController::new(&config);
    send_snapshot(&mut controller, START, &[joined(1), assigned(3), stored(3, 1)]);
    accept_all_calls(&mut controller, START);
    controller.on_endpoint_page(START + 10.0, &list_with_draining_host(&config));
    reassign_with_empty_table(&mut controller, START + 10.0);
    controller.on_relay_event(START + 10.0, stored(3, 1));
    let calls = accept_all_calls(&mut controller, START + 10.0);
    assert!(calls.contains(r#""table":3,"server":"s-1","weight":0.0"#), "{calls}");
    assert!(controller.take_resubscribe_reason().is_none());
    controller.poll(START + 10.1);
    assert!(controller.take_resubscribe_reason().is_some());
}

/// Guards against a command that is carried out while the slice is assigned elsewhere, so that it has no effect, and
/// whose answer comes after the snapshot.
#[test]
fn table_command_in_flight_at_the_end_of_a_snapshot_requires_a_later_one() {
    let config = single_owner_config(1);
    let snapshot = [joined(1), assigned(3), stored(3, 1)];
    let mut controller = interrupted_after(&config, &snapshot);
    controller.on_endpoint_page(START + 10.0, &list_with_draining_host(&config));
    controller.poll(START + 10.0);
    let call = controller.next_call().expect("the table is cleared");
    send_snapshot(&mut controller, START + 10.1, &snapshot);
    controller.on_call_ended(Some(CallResponse::Accepted(call.commands)));
    assert!(controller.take_resubscribe_reason().is_some());
    send_snapshot(&mut controller, START + 10.3, &snapshot);
    let calls = accept_all_calls(&mut controller, START + 10.4);
    assert!(calls.contains(r#""server":"s-1","weight":0.0"#), "the table is cleared again: {calls}");
}
