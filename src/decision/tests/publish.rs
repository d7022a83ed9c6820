use super::*;
use crate::decision::publish::UPDATE_EXPIRY;

#[test]
fn unchanged_state_publishes_nothing() {
    let mut controller = controller(config());
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&tick(101.0), &mut commands);
    assert!(commands.lines.is_empty() && commands.admission.is_empty());
}

#[test]
fn rounded_standby_weight_does_not_rewrite_stored_table() {
    let mut controller = controller(config());
    let stored = |k: u16| vec![(host(4), 0.0).into(), (host(1 + (k % 3) as u8), 1.0).into()];
    let assignments =
        (0..12).map(|k| SliceAssignment::Assigned { slice: SliceId(k), entries: stored(k) }).collect();
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&EventBatch { assignments, ..tick(101.0) }, &mut commands);
    assert!(commands.lines.is_empty(), "{:?}", commands.lines);
    assert!(controller.slices.values().all(|slice| slice.standby == Some(host(4))));
}

#[test]
fn ordinary_updates_leave_quota_for_urgent_ones() {
    let mut controller = controller(config());
    controller.publisher.sent_at = (0..14).map(|_| 101.0).collect();
    controller.admission.rates[0] = 0.5;
    let mut commands = RecordedCommands::default();
    controller.publish(101.0, true, &mut commands);
    assert!(commands.admission.is_empty());
    controller.hosts.get_mut(&host(1)).expect("listed").phase = Phase::Draining;
    controller.slices.values_mut().for_each(|slice| slice.owner = slice.owner.map(|o| o.max(host(2))));
    controller.publish(101.0, true, &mut commands);
    assert_eq!(commands.admission.len(), 2);
    controller.publisher.sent_at = (0..19).map(|_| 101.0).collect();
    controller.admission.rates[0] = 0.4;
    controller.publish(101.0, true, &mut commands);
    assert_eq!(commands.admission.len(), 2);
}

#[test]
fn ordinary_tables_leave_backlog_capacity_for_exclusions() {
    let mut controller =
        controller(ControllerConfig { backlog_limit: 50.0, message_overhead: 0.0, ..config() });
    let mut commands = RecordedCommands::default();
    controller.publisher.backlog = UpdateBacklog::default();
    controller.slices.values_mut().for_each(|slice| slice.standby = Some(host(4)));
    controller.publish(200.0, true, &mut commands);
    let ordinary_lines = commands.lines.len();
    assert!(ordinary_lines < 16, "{ordinary_lines}");
    controller.hosts.get_mut(&host(1)).expect("listed").phase = Phase::Draining;
    controller.slices.values_mut().for_each(|slice| slice.owner = slice.owner.map(|o| o.max(host(2))));
    controller.publish(201.0, true, &mut commands);
    assert_eq!(commands.exclusions, [(host(1), true)]);
    let barrier = *commands.barriers.last().expect("a barrier");
    (0..2).for_each(|k| controller.apply_barrier_ack(200.0, &BarrierAck { proxy: ProxyId(k), barrier }));
    assert!(controller.publisher.backlog.is_empty());
}

#[test]
fn urgent_burst_leaves_message_quota_for_drain() {
    let mut controller = controller(config());
    let mut sent_at = Vec::new();
    let mut handle = |controller: &mut Controller, batch: EventBatch| {
        let mut commands = RecordedCommands::default();
        controller.handle_batch(&batch, &mut commands);
        sent_at.extend(commands.barriers.iter().map(|_| batch.now));
        commands
    };
    // Ten times a second a slice loses its only usable host, which makes its table urgent. Ticks continue meanwhile.
    for k in 0..60 {
        let now = 111.0 + 0.1 * f64::from(k);
        let slice = controller.slices.get_mut(&SliceId(k as u16 % 12)).expect("assigned");
        (slice.published, slice.owner, slice.standby) = (vec![(host(9), 1.0).into()], Some(host(2)), None);
        let batch = if k % 10 == 0 { tick(now) } else { endpoint_update(now, Vec::new()) };
        handle(&mut controller, batch);
    }
    let drain = handle(&mut controller, endpoint_update(117.0, vec![entry(1, Phase::Draining, None)]));
    let later = handle(&mut controller, tick(117.9));
    assert!(
        drain.exclusions.iter().chain(&later.exclusions).any(|excluded| *excluded == (host(1), true)),
        "the draining host is excluded within a tick"
    );
    let within_window =
        sent_at.iter().map(|from| sent_at.iter().filter(|at| (0.0..10.0).contains(&(**at - from))).count());
    assert!(within_window.max().is_some_and(|count| (10..20).contains(&count)));
}

#[test]
fn reconnection_keeps_backlog_until_barrier_is_acknowledged() {
    let mut controller =
        controller(ControllerConfig { backlog_limit: 50.0, message_overhead: 0.0, ..config() });
    let mut commands = RecordedCommands::default();
    controller.publisher.backlog = UpdateBacklog::default();
    // Owners alternate between two hosts, and both proxies reconnect with each tick.
    let connected = || (0..2).map(|k| ProxyStreamEvent::Connected(ProxyId(k))).collect();
    for k in 0..6 {
        controller.slices.values_mut().for_each(|slice| slice.owner = Some(host(1 + k % 2)));
        choose_standbys(&controller.hosts, &BTreeMap::new(), None, &mut controller.slices);
        controller.handle_batch(
            &EventBatch { proxy_streams: connected(), ..tick(200.0 + f64::from(k)) },
            &mut commands,
        );
        let sent = commands.lines.len() + commands.exclusions.len() + 3 * commands.barriers.len();
        assert!(2.0 * sent as f64 <= 50.0, "{sent} unacknowledged lines for each of two proxies");
    }
    // Acknowledgements were missed: the acknowledgement of the next barrier covers all updates before it.
    let barrier = *commands.barriers.last().expect("a barrier");
    (0..2).for_each(|k| controller.apply_barrier_ack(200.0, &BarrierAck { proxy: ProxyId(k), barrier }));
    assert!(controller.publisher.backlog.is_empty());
    controller.handle_batch(&tick(206.0), &mut commands);
    assert!(
        !controller.publisher.barrier_due && commands.barriers.last() > Some(&barrier),
        "tables are published again"
    );
    // If the acknowledgements of that barrier and of later ones are lost as well, the updates expire.
    let before = commands.lines.len();
    controller.slices.values_mut().for_each(|slice| slice.owner = Some(host(1)));
    controller.handle_batch(&tick(206.0 + UPDATE_EXPIRY), &mut commands);
    assert!(controller.publisher.backlog.updates().len() == 1 && commands.lines.len() > before);
}

#[test]
fn lost_acknowledgements_are_recovered_by_one_barrier() {
    let mut controller = controller(config());
    let mut commands = RecordedCommands::default();
    (0..3).for_each(|k| controller.handle_batch(&tick(101.0 + f64::from(k)), &mut commands));
    let (barriers, waiting) = (commands.barriers.len(), controller.publisher.backlog.updates().len());
    assert!(waiting > 0, "the first tables are not acknowledged");
    let connected = (0..2).map(|k| ProxyStreamEvent::Connected(ProxyId(k))).collect();
    controller.handle_batch(&EventBatch { proxy_streams: connected, ..tick(110.0) }, &mut commands);
    (0..3).for_each(|k| controller.handle_batch(&tick(111.0 + f64::from(k)), &mut commands));
    assert_eq!(
        (commands.barriers.len(), controller.publisher.backlog.updates().len()),
        (barriers + 1, waiting + 1),
        "one barrier is sent in addition"
    );
}
