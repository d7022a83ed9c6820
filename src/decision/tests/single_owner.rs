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
