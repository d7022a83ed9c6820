use super::*;
use crate::command::Command;
use railhub::{HostId, SliceAssignment, SliceId, WeightedHost};

/// The id of the current subscription before any is confirmed.
const NO_SUBSCRIPTION: SubscriptionId = SubscriptionId { config_version: 0, sequence: 0 };

fn controller() -> PlatformController {
    PlatformController::new(
        &NodeConfig::parse(include_str!("../../tests/node_config.json")).expect("a valid file"),
    )
}

/// The assignments whose entries may not all have arrived yet.
fn pending_assignments(controller: &PlatformController) -> Vec<SliceAssignment> {
    let mut assignments = Vec::new();
    controller.pending_assignments.clone().move_into(&mut assignments);
    assignments
}

#[test]
fn reports_a_proxy_that_left_just_before_a_new_subscription() {
    let mut controller = controller();
    let (proxy, now) = (ProxyId(5), 1.0);
    controller.on_relay_event(now, NO_SUBSCRIPTION, RelayEvent::ProxyJoined { proxy, first: true });
    controller.on_relay_event(now, NO_SUBSCRIPTION, RelayEvent::ProxyLeft(proxy));
    let first = SubscriptionId { config_version: 0, sequence: 1 };
    [RelayEvent::Subscribed, RelayEvent::Heartbeat]
        .into_iter()
        .for_each(|event| controller.on_relay_event(now, first, event));
    assert!(controller.batch.events.proxy_streams.last() == Some(&ProxyStreamEvent::Disconnected(proxy)));
}

#[test]
fn merges_pending_lists_into_one_with_each_host_once() {
    let mut controller = controller();
    let names = NodeConfig::parse(include_str!("../../tests/node_config.json")).expect("a valid file").names;
    for generation in 42..500 {
        let (old, new) = (generation - 1, generation);
        let page = format!(
            "{{\"generation\":{generation},\"reset\":false,\"instances\":[\
             {{\"instanceId\":\"n-{old}\",\"hostPort\":\"127.0.0.1:1\",\"lifecycle\":\"gone\",\"weight\":1}},\
             {{\"instanceId\":\"n-{new}\",\"hostPort\":\"127.0.0.1:1\",\"lifecycle\":\"ready\",\"weight\":1}}]}}"
        );
        assert!(controller.on_endpoint_page(
            1.0,
            &crate::wire::discovery::decode_page(page.as_bytes(), &names).expect("a page")
        ));
    }
    let [list] = controller.batch.events.endpoint_lists.as_slice() else { panic!("one list") };
    let hosts: Vec<&str> = list.entries.iter().map(|entry| entry.host.name()).collect();
    assert_eq!((list.complete, hosts), (true, vec!["s-1", "s-2", "n-499"]));
}

#[test]
fn single_owner_table_never_has_two_entries() {
    let file = include_str!("../../tests/node_config.json").replace(
        "\"exclusive\": false",
        "\"exclusive\": true, \"write_lease_us\": 4000000, \"write_life_us\": 3000000",
    );
    let mut controller = PlatformController::new(&NodeConfig::parse(&file).expect("a valid file"));
    let slice = SliceId(3);
    controller.on_relay_event(1.0, NO_SUBSCRIPTION, RelayEvent::SliceAssigned { slice, assigned: true });
    for name in ["s-1", "s-2"] {
        controller.on_relay_event(
            1.0,
            NO_SUBSCRIPTION,
            RelayEvent::StoredEntry {
                slice,
                line: WeightedHost { host: HostId::new(name).expect("a name"), weight: 1.0 },
            },
        );
    }
    let stored = WeightedHost { host: HostId::new("s-2").expect("a name"), weight: 1.0 };
    assert_eq!(
        pending_assignments(&controller),
        [SliceAssignment::Assigned { slice, entries: vec![stored] }]
    );
    controller.commands.push(Command::SetWeight {
        slice,
        entry: WeightedHost { host: HostId::new("s-9").expect("a name"), weight: 1.0 },
    });
    let table = controller.commands.table_when_accepted(slice, &[stored]);
    assert_eq!(table, [WeightedHost { host: HostId::new("s-9").expect("a name"), weight: 1.0 }]);
}

#[test]
fn stored_entry_joins_the_latest_assignment_of_its_slice() {
    let mut controller = controller();
    let (slice, host) = (SliceId(3), HostId::new("s-1").expect("a name"));
    controller.batch.events.assignments.push(SliceAssignment::Assigned { slice, entries: Vec::new() });
    controller.on_relay_event(1.0, NO_SUBSCRIPTION, RelayEvent::SliceAssigned { slice, assigned: false });
    controller.on_relay_event(
        1.0,
        NO_SUBSCRIPTION,
        RelayEvent::StoredEntry { slice, line: WeightedHost { host, weight: 1.0 } },
    );
    assert_eq!(pending_assignments(&controller), [SliceAssignment::Revoked { slice }]);
    assert_eq!(
        controller.batch.events.assignments,
        [SliceAssignment::Assigned { slice, entries: Vec::new() }]
    );
    controller.on_relay_event(1.0, NO_SUBSCRIPTION, RelayEvent::SliceAssigned { slice, assigned: true });
    controller.on_relay_event(
        1.0,
        NO_SUBSCRIPTION,
        RelayEvent::StoredEntry { slice, line: WeightedHost { host, weight: 1.0 } },
    );
    let entries = vec![WeightedHost { host, weight: 1.0 }];
    assert_eq!(pending_assignments(&controller)[1], SliceAssignment::Assigned { slice, entries });
}

/// Guards against an owner that is named after all pending commands were dropped: the tables are not as they are known.
#[test]
fn dropped_commands_interrupt_the_observation() {
    let mut controller = controller();
    let first = SubscriptionId { config_version: 0, sequence: 1 };
    controller.on_subscription_requested(first);
    [RelayEvent::Subscribed, RelayEvent::Heartbeat]
        .into_iter()
        .for_each(|event| controller.on_relay_event(1.0, first, event));
    assert!(controller.is_observing());
    controller.commands.overflowed = true;
    assert!(!controller.is_observing());
}
