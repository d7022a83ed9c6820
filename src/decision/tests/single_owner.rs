use super::*;

fn acknowledged(now: Seconds, proxies: &[u16], barrier: BarrierId) -> EventBatch {
    let barrier_acks = proxies.iter().map(|n| BarrierAck { proxy: ProxyId(*n), barrier }).collect();
    EventBatch { barrier_acks, ..tick(now) }
}

fn disconnected(now: Seconds, proxy: u16) -> EventBatch {
    EventBatch { proxy_streams: vec![ProxyStreamEvent::Disconnected(ProxyId(proxy))], ..tick(now) }
}

/// When the next line with a weight above 0 is published, with one tick per second.
fn next_owner_published_at(controller: &mut Controller, from: Seconds) -> Seconds {
    (0..60)
        .map(|k| from + f64::from(k))
        .find(|now| {
            let mut commands = RecordedCommands::default();
            controller.handle_batch(&tick(*now), &mut commands);
            commands.lines.iter().any(|line| line.2 > 0.0)
        })
        .expect("an owner is published within a minute")
}

#[test]
fn next_owner_waits_for_writes_to_former_owner() {
    let mut controller = controller(ControllerConfig { single_owner: true, ..config() });
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&endpoint_update(120.0, vec![entry(1, Phase::Draining, None)]), &mut commands);
    let cleared: Vec<_> = (0..3).map(|k| (SliceId(4 * k), host(1), 0.0)).collect();
    assert_eq!(commands.lines, cleared, "tables are cleared at once, without a new owner");
    let barrier = *commands.barriers.last().expect("a barrier");
    // One proxy has applied it; the other has not and may go on writing to the former owner.
    controller.handle_batch(&acknowledged(121.0, &[0], barrier), &mut commands);
    (122..130).for_each(|now| controller.handle_batch(&tick(f64::from(now)), &mut commands));
    assert_eq!(commands.lines.len(), 3, "no new owner before all proxies have acknowledged");
    controller.handle_batch(&acknowledged(130.0, &[1], barrier), &mut commands);
    assert_eq!(
        next_owner_published_at(&mut controller, 130.5),
        133.5,
        "the duration of a write after the last acknowledgement"
    );
    assert!(controller
        .slices
        .values()
        .all(|slice| slice.published.len() == 1 && slice.published[0].host != host(1)));
}

#[test]
fn next_owner_waits_for_lease_of_disconnected_proxy() {
    let mut controller = controller(ControllerConfig { single_owner: true, ..config() });
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&endpoint_update(120.0, vec![entry(1, Phase::Draining, None)]), &mut commands);
    let barrier = *commands.barriers.last().expect("a barrier");
    controller.handle_batch(&acknowledged(121.0, &[0], barrier), &mut commands);
    controller.handle_batch(&disconnected(122.0, 1), &mut commands);
    // The disconnected proxy may start a write until 126, which ends by 129.
    assert_eq!(next_owner_published_at(&mut controller, 122.5), 129.5);
}

#[test]
fn stored_empty_table_waits_for_acknowledgement() {
    let mut controller = controller(ControllerConfig { single_owner: true, ..config() });
    let assigned = SliceAssignment::Assigned { slice: SliceId(2), entries: Vec::new() };
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&EventBatch { assignments: vec![assigned], ..tick(140.0) }, &mut commands);
    assert!(commands.lines.is_empty());
    let barrier = *commands.barriers.last().expect("a barrier that asks all proxies for an acknowledgement");
    controller.handle_batch(&acknowledged(141.0, &[0, 1], barrier), &mut commands);
    assert_eq!(
        next_owner_published_at(&mut controller, 141.5),
        147.5,
        "the lease of proxies that are not connected, and the duration of a write"
    );
    // Without acknowledgements the barrier is repeated when the first update expires.
    let assigned = SliceAssignment::Assigned { slice: SliceId(3), entries: Vec::new() };
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&EventBatch { assignments: vec![assigned], ..tick(150.0) }, &mut commands);
    (151..175).for_each(|now| controller.handle_batch(&tick(f64::from(now)), &mut commands));
    assert_eq!((commands.lines.len(), commands.barriers.len()), (0, 2));
}

fn connected(now: Seconds, proxy: u16) -> EventBatch {
    EventBatch { proxy_streams: vec![ProxyStreamEvent::Connected(ProxyId(proxy))], ..tick(now) }
}

/// A controller that clears the tables of host 1 at second 120, and the barrier of that update.
fn with_cleared_tables() -> (Controller, BarrierId) {
    let mut controller = controller(ControllerConfig { single_owner: true, ..config() });
    (controller.last_disconnect_at, controller.is_observing) = (0.0, true);
    let barrier = clear_tables(&mut controller, 120.0);
    (controller, barrier)
}

fn clear_tables(controller: &mut Controller, now: Seconds) -> BarrierId {
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&endpoint_update(now, vec![entry(1, Phase::Draining, None)]), &mut commands);
    *commands.barriers.last().expect("a barrier")
}

/// Handles a batch and returns its last barrier.
fn barrier_after(controller: &mut Controller, batch: &EventBatch) -> Option<BarrierId> {
    let mut commands = RecordedCommands::default();
    controller.handle_batch(batch, &mut commands);
    assert!(commands.lines.is_empty(), "no owner is named: {:?}", commands.lines);
    commands.barriers.last().copied()
}

/// Ticks once a second.
fn assert_no_owner_is_named(controller: &mut Controller, seconds: std::ops::Range<u32>) {
    for second in seconds {
        barrier_after(controller, &tick(f64::from(second)));
    }
}

/// Guards against review/7: a proxy that connected and disconnected while the observation was interrupted went on
/// writing to the former owner when the next one was named.
#[test]
fn next_owner_waits_for_lease_of_proxy_that_was_not_seen() {
    let mut controller = controller(ControllerConfig { single_owner: true, ..config() });
    let resumed = EventBatch { observation: Observation::Resumed, ..tick(119.0) };
    controller.handle_batch(&resumed, &mut RecordedCommands::default());
    let barrier = clear_tables(&mut controller, 120.0);
    controller.handle_batch(&acknowledged(121.0, &[0, 1], barrier), &mut RecordedCommands::default());
    // It disconnected by 119, and may start a write until 123, which ends by 126.
    assert_eq!(next_owner_published_at(&mut controller, 121.5), 126.5);
}

/// Guards against waits that grow though nothing is unknown: if all proxies are connected, none can have been missed.
#[test]
fn next_owner_does_not_wait_for_unseen_proxies_if_all_are_connected() {
    let mut controller = controller(ControllerConfig { single_owner: true, proxy_count: 2, ..config() });
    let resumed = EventBatch { observation: Observation::Resumed, ..tick(119.0) };
    controller.handle_batch(&resumed, &mut RecordedCommands::default());
    let barrier = clear_tables(&mut controller, 120.0);
    controller.handle_batch(&acknowledged(121.0, &[0, 1], barrier), &mut RecordedCommands::default());
    assert_eq!(next_owner_published_at(&mut controller, 121.5), 124.5);
}

/// Guards against a proxy that read the store before the tables were cleared, and whose connection is heard of after
/// the call was accepted: nobody waited for it.
#[test]
fn proxy_that_connects_before_the_first_acknowledgement_is_awaited() {
    let (mut controller, _) = with_cleared_tables();
    let next = barrier_after(&mut controller, &connected(120.2, 2)).expect("a barrier for the new proxy");
    controller.handle_batch(&acknowledged(121.0, &[0, 1], next), &mut RecordedCommands::default());
    assert_no_owner_is_named(&mut controller, 122..130);
    controller.handle_batch(&acknowledged(130.0, &[2], next), &mut RecordedCommands::default());
    assert_eq!(next_owner_published_at(&mut controller, 130.5), 133.5);
}

/// Guards against waits that grow with each proxy that connects: one that connects after an acknowledgement has read the
/// cleared tables.
#[test]
fn proxy_that_connects_after_an_acknowledgement_is_not_awaited() {
    let (mut controller, barrier) = with_cleared_tables();
    controller.handle_batch(&acknowledged(121.0, &[0], barrier), &mut RecordedCommands::default());
    controller.handle_batch(&connected(121.2, 2), &mut RecordedCommands::default());
    controller.handle_batch(&acknowledged(121.5, &[1], barrier), &mut RecordedCommands::default());
    assert_eq!(next_owner_published_at(&mut controller, 122.0), 125.0);
}

/// Guards against an acknowledgement that arrives before the snapshot which names a proxy that connected unseen.
#[test]
fn acknowledgements_do_not_count_while_proxies_may_be_missing() {
    let (mut controller, barrier) = with_cleared_tables();
    let interrupted =
        EventBatch { observation: Observation::Interrupted, ..acknowledged(121.0, &[0, 1], barrier) };
    controller.handle_batch(&interrupted, &mut RecordedCommands::default());
    let resumed = EventBatch { observation: Observation::Resumed, ..connected(121.1, 2) };
    let next =
        barrier_after(&mut controller, &resumed).or(Some(BarrierId(barrier.0 + 1))).expect("a barrier");
    assert_no_owner_is_named(&mut controller, 122..130);
    controller.handle_batch(&acknowledged(130.0, &[0, 1, 2], next), &mut RecordedCommands::default());
    assert_eq!(next_owner_published_at(&mut controller, 130.5), 133.5);
}

/// Guards against tables that count as cleared because nobody is there to acknowledge it.
#[test]
fn cleared_tables_are_not_confirmed_without_proxies() {
    let mut controller = controller(ControllerConfig { single_owner: true, ..config() });
    for proxy in 0..2 {
        controller.handle_batch(&disconnected(110.0, proxy), &mut RecordedCommands::default());
    }
    clear_tables(&mut controller, 120.0);
    assert_no_owner_is_named(&mut controller, 121..130);
    let barrier = barrier_after(&mut controller, &connected(130.0, 2)).expect("a barrier");
    controller.handle_batch(&acknowledged(131.0, &[2], barrier), &mut RecordedCommands::default());
    assert_eq!(next_owner_published_at(&mut controller, 131.5), 134.5);
}

/// Guards against an acknowledgement that is heard of before a proxy that connected unseen: it does not show that the
/// update was carried out before that proxy connected.
#[test]
fn proxy_that_connected_unseen_is_awaited_despite_an_acknowledgement() {
    let (mut controller, barrier) = with_cleared_tables();
    let interrupted =
        EventBatch { observation: Observation::Interrupted, ..acknowledged(121.0, &[0], barrier) };
    controller.handle_batch(&interrupted, &mut RecordedCommands::default());
    let resumed = EventBatch { observation: Observation::Resumed, ..connected(121.1, 2) };
    let next = barrier_after(&mut controller, &resumed).expect("a barrier for the new proxy");
    controller.handle_batch(&acknowledged(122.0, &[0, 1], next), &mut RecordedCommands::default());
    assert_no_owner_is_named(&mut controller, 123..140);
}

/// Guards against a lease that is not counted because the connection of the proxy was never heard of.
#[test]
fn disconnection_of_an_unknown_proxy_starts_its_lease() {
    let mut controller = controller(ControllerConfig { single_owner: true, ..config() });
    controller.handle_batch(&disconnected(119.0, 7), &mut RecordedCommands::default());
    let barrier = clear_tables(&mut controller, 120.0);
    controller.handle_batch(&acknowledged(121.0, &[0, 1], barrier), &mut RecordedCommands::default());
    assert_eq!(next_owner_published_at(&mut controller, 121.5), 126.5);
}

/// Guards against an acknowledgement from before an interruption that counts for the table after it, which another
/// controller may have cleared.
#[test]
fn table_of_a_retained_slice_is_confirmed_anew() {
    for (sole_controller, is_confirmed) in [(false, false), (true, true)] {
        let config = ControllerConfig { single_owner: true, sole_controller, ..config() };
        let mut controller = controller(config);
        let barrier = clear_tables(&mut controller, 120.0);
        let cleared: Vec<SliceId> = (0..3).map(|k| SliceId(4 * k)).collect();
        let retained = |slice: &SliceId| SliceAssignment::Retained { slice: *slice, entries: Vec::new() };
        let assignments = cleared.iter().map(retained).collect();
        let resumed = EventBatch { observation: Observation::Resumed, assignments, ..tick(121.0) };
        controller.handle_batch(&resumed, &mut RecordedCommands::default());
        controller.handle_batch(&acknowledged(122.0, &[0, 1], barrier), &mut RecordedCommands::default());
        let confirmed = |id: &SliceId| controller.slices[id].writes_end_at.is_some();
        assert_eq!(cleared.iter().all(confirmed), is_confirmed, "sole controller: {sole_controller}");
    }
}

/// Guards against a table that the store has not cleared, and that an acknowledgement from before an interruption
/// confirms as cleared.
#[test]
fn table_that_was_not_cleared_is_confirmed_anew() {
    let config = ControllerConfig { single_owner: true, sole_controller: true, ..config() };
    let mut controller = controller(config);
    let barrier = clear_tables(&mut controller, 120.0);
    let entries = vec![(host(1), 1.0).into()];
    let assignments = vec![SliceAssignment::Retained { slice: SliceId(0), entries }];
    let resumed = EventBatch { observation: Observation::Resumed, assignments, ..tick(121.0) };
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&resumed, &mut commands);
    assert_eq!(commands.lines, [(SliceId(0), host(1), 0.0)]);
    controller.handle_batch(&acknowledged(122.0, &[0, 1], barrier), &mut RecordedCommands::default());
    assert!(controller.slices[&SliceId(0)].writes_end_at.is_none());
}
