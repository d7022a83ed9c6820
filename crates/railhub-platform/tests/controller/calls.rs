//! Calls: only one is in flight, and none is sent before the outcome of the previous one is known.
use super::*;

#[test]
fn entry_in_flight_counts_as_stored_in_a_snapshot() {
    let (mut controller, call) = with_call_in_flight();
    // The subscription is renewed while the call is in flight, and the snapshot lacks the entry of the call.
    send_snapshot(&mut controller, START + 0.1, &[joined(1), assigned(3), stored(3, 1)]);
    controller.poll(START + 0.1);
    assert!(controller.next_call().is_none(), "one call at a time");
    assert!(controller.on_call_ended(Some(CallResponse::Accepted(call.commands))).is_none());
    controller.poll(START + 0.2);
    assert!(
        !controller.next_call().is_some_and(|call| text(&call).contains("share")),
        "the accepted entry counts as stored"
    );
}

#[test]
fn repeats_a_call_only_if_a_later_snapshot_lacks_its_entry() {
    for carried_out in [false, true] {
        let (mut controller, call) = with_call_in_flight();
        assert!(controller.on_call_ended(None).is_none());
        assert!(controller.take_resubscribe_reason().is_some(), "only a snapshot shows the outcome");
        controller.poll(START + 0.1);
        assert!(
            controller.next_call().is_none(),
            "if the call was carried out, a repetition would queue it twice"
        );
        let events = [joined(1), assigned(3), stored(3, 1), standby(0.0)];
        send_snapshot(&mut controller, START + 0.2, &events[..3 + usize::from(carried_out)]);
        controller.poll(START + 0.2);
        let repeated = controller.next_call();
        if carried_out {
            assert!(!repeated.is_some_and(|call| text(&call).contains("share")));
            continue;
        }
        let repeated = repeated.expect("the call was not carried out");
        assert_eq!(commands_of(&repeated), commands_of(&call));
        assert!(repeated.id > call.id, "a late response to the first call must not match");
        controller.on_call_ended(Some(CallResponse::Accepted(repeated.commands)));
        assert!(!controller.next_call().is_some_and(|call| text(&call).contains("share")));
    }
}

#[test]
fn early_subscription_does_not_resolve_the_outcome_of_a_call() {
    let (mut controller, _) = with_call_in_flight();
    controller.request_subscription();
    let requested_early = controller.subscription;
    controller.on_call_ended(None);
    assert!(controller.take_resubscribe_reason().is_some());
    // Its snapshot was taken before the call was carried out, so relying on it would repeat the call.
    for event in [RelayEvent::Subscribed, joined(1), assigned(3), stored(3, 1), RelayEvent::Heartbeat] {
        controller.inner.on_relay_event(START + 0.1, requested_early, event);
    }
    controller.poll(START + 0.3);
    assert!(controller.next_call().is_none());
    assert!(controller.take_resubscribe_reason().is_some(), "a later subscription is needed");
    send_snapshot(&mut controller, START + 0.4, &[joined(1), assigned(3), stored(3, 1), standby(0.0)]);
    controller.poll(START + 0.4);
    assert!(!controller.next_call().is_some_and(|call| text(&call).contains("share")));
}

#[test]
fn idle_incomplete_snapshot_resolves_the_outcome_of_a_call() {
    let (mut controller, _) = with_call_in_flight();
    controller.on_call_ended(None);
    controller.on_relay_event(START + 0.2, RelayEvent::Subscribed);
    [assigned(3), stored(3, 1)].into_iter().for_each(|event| controller.on_relay_event(START + 0.2, event));
    controller.poll(START + 0.25);
    assert!(controller.next_call().is_none(), "more entries may arrive");
    assert!(controller.next_deadline().is_some_and(|due| due < START + 0.35));
    controller.poll(START + 0.31);
    assert!(controller.next_call().is_some(), "the outcome is known without a heartbeat");
}

#[test]
fn slice_missing_from_an_incomplete_snapshot_is_not_revoked() {
    let mut controller = TestController::new(&config());
    let events = [joined(1), assigned(3), stored(3, 1), assigned(4), stored(4, 1)];
    send_snapshot(&mut controller, START, &events);
    controller.poll(START);
    let call = controller.next_call().expect("two standbys");
    controller.on_call_ended(None);
    controller.on_relay_event(START + 0.2, RelayEvent::Subscribed);
    events[..3].iter().for_each(|event| controller.on_relay_event(START + 0.2, *event));
    // The snapshot pauses for longer than the idle time after which its tables show an outcome.
    controller.poll(START + 0.4);
    assert!(
        controller.next_call().is_none() && controller.next_deadline().is_some_and(|due| due > START + 0.4)
    );
    events[3..]
        .iter()
        .chain([&RelayEvent::Heartbeat])
        .for_each(|event| controller.on_relay_event(START + 0.5, *event));
    controller.poll(START + 0.5);
    assert_eq!(
        commands_of(&controller.next_call().expect("the call was not carried out")),
        commands_of(&call)
    );
}

#[test]
fn resubscribes_when_slice_of_call_in_flight_is_reassigned() {
    let (mut controller, call) = with_call_in_flight();
    controller.on_relay_event(START + 0.1, RelayEvent::SliceAssigned { slice: SliceId(3), assigned: false });
    assert!(
        controller.take_resubscribe_reason().is_none(),
        "no command changes the table of a revoked slice"
    );
    [assigned(3), stored(3, 1)].into_iter().for_each(|event| controller.on_relay_event(START + 0.11, event));
    assert!(controller.take_resubscribe_reason().is_some(), "the call's entry may be in the new table");
    controller.on_call_ended(Some(CallResponse::Accepted(call.commands)));
    assert!(
        controller.take_resubscribe_reason().is_some() && controller.next_call().is_none(),
        "a snapshot requested from now on shows its effect"
    );
    send_snapshot(&mut controller, START + 0.3, &[joined(1), assigned(3), stored(3, 1), standby(0.0)]);
    controller.poll(START + 0.3);
    assert!(!controller.next_call().is_some_and(|call| text(&call).contains("share")));
}

#[test]
fn does_not_repeat_commands_for_a_slice_assigned_elsewhere() {
    // The relay assigns the slice to another controller, having carried out the call or not.
    for carried_out in [true, false] {
        let (mut predecessor, _) = with_call_in_flight();
        predecessor.on_call_ended(None);
        predecessor
            .on_relay_event(START + 0.1, RelayEvent::SliceAssigned { slice: SliceId(3), assigned: false });
        let mut successor = TestController::new(&config());
        send_snapshot(&mut successor, START, &[joined(1)]);
        accept_all_calls(&mut successor, START);
        let events = [assigned(3), stored(3, 1), standby(0.0)];
        events[..2 + usize::from(carried_out)]
            .iter()
            .for_each(|event| successor.on_relay_event(START + 0.1, *event));
        send_snapshot(&mut predecessor, START + 0.2, &[joined(1)]);
        predecessor.poll(START + 0.2);
        assert!(!predecessor.next_call().is_some_and(|call| text(&call).contains("\"table\":3")));
        // The other controller sets the missing entry, once.
        assert_eq!(accept_all_calls(&mut successor, START + 0.2).contains("\"table\":3"), !carried_out);
    }
}

#[test]
fn proxy_joining_during_a_call_counts_as_a_recipient() {
    // With 35 proxies and a few entries for each, one update fits the backlog limit and two do not.
    const LATE_PROXIES: std::ops::Range<u16> = 5..35;
    let mut controller = TestController::new(&config());
    let mut events = vec![assigned(3), stored(3, 1)];
    events.extend((0..LATE_PROXIES.start).map(joined));
    send_snapshot(&mut controller, START, &events);
    controller.poll(START);
    let call = controller.next_call().expect("a standby is due");
    LATE_PROXIES.for_each(|proxy| controller.on_relay_event(START + 0.01, joined(proxy)));
    controller.poll(START + 0.02);
    assert!(controller.on_call_ended(Some(CallResponse::Accepted(call.commands))).is_none());
    let draining = CONFIG_JSON
        .replace("\"lifecycle\": \"ready\"", "\"lifecycle\": \"draining\"")
        .replacen("draining", "ready", 1);
    let known = NodeConfig::parse(&draining.replace("\"generation\": 41", "\"generation\": 42"))
        .expect("a valid file")
        .known_endpoints;
    assert!(controller.on_endpoint_page(START + 0.1, &known));
    controller.poll(START + 0.1);
    assert!(controller.next_call().is_none(), "the backlog counts the first update for all late proxies too");
    let mark = barrier_of(&call);
    for proxy in (0..LATE_PROXIES.end).map(ProxyId) {
        controller.on_relay_event(START + 0.9, RelayEvent::BarrierAcked(BarrierAck { proxy, barrier: mark }));
    }
    controller.poll(START + 1.1);
    assert!(controller.next_call().is_some(), "the first update has left the backlog");
}

/// The position of the first command in a call whose text contains `text`.
fn position_of(call: &Call, command: &str) -> Option<usize> {
    text(call).split("{\"op\":").skip(1).position(|encoded| encoded.contains(command))
}

/// Guards against a readmission that the relay did not carry out: it counted as delivered, so the proxies went on
/// excluding the host.
#[test]
fn dropped_readmission_is_sent_again_once_later() {
    const READMISSION: &str = r#""restore","server":"s-1""#;
    for is_malformed in [false, true] {
        let mut controller = TestController::new(&config());
        // The proxy has the exclusions of an earlier process, so every host is readmitted.
        send_snapshot(&mut controller, START, &[joined(1), assigned(3), stored(3, 1)]);
        controller.poll(START);
        let call = controller.next_call().expect("readmissions are due");
        let position = position_of(&call, READMISSION).expect("host s-1 is readmitted");
        let accepted = CallResponse::Accepted(position);
        let response = if is_malformed { CallResponse::Malformed } else { accepted };
        assert!(controller.on_call_ended(Some(response)).is_some(), "commands are dropped");
        let mut times = Vec::new();
        for second in 1..=12 {
            let now = START + f64::from(second);
            if accept_all_calls(&mut controller, now).contains(READMISSION) {
                times.push(second);
            }
        }
        assert!(matches!(times[..], [5..=7]), "sent again after {times:?} s");
    }
}
