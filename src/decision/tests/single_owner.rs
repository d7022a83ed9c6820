use super::*;

fn acknowledged(now: Seconds, proxies: &[u16], barrier: BarrierId) -> EventBatch {
    let barrier_acks = proxies.iter().map(|n| BarrierAck { proxy: ProxyId(*n), barrier }).collect();
    EventBatch { barrier_acks, ..tick(now) }
}

fn disconnected(now: Seconds, proxy: u16) -> EventBatch {
    EventBatch { proxy_streams: vec![ProxyStreamEvent::Disconnected(ProxyId(proxy))], ..tick(now) }
}

/// When the next line with a weight is published, at a tick a second.
fn next_owner_published_at(controller: &mut Controller, from: Seconds) -> Seconds {
    (0..60)
        .map(|k| from + f64::from(k))
        .find(|now| {
            let mut commands = RecordedCommands::default();
            controller.handle_batch(&tick(*now), &mut commands);
            commands.lines.iter().any(|line| line.2 > 0.0)
        })
        .expect("named at last")
}

#[test]
fn next_owner_waits_for_writes_to_former_owner() {
    let mut controller = controller(ControllerConfig { single_owner: true, ..config() });
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&endpoint_update(120.0, vec![entry(1, Phase::Draining, None)]), &mut commands);
    let cleared: Vec<_> = (0..3).map(|k| (SliceId(4 * k), host(1), 0.0)).collect();
    assert_eq!(commands.lines, cleared, "cleared at once, nobody is named");
    let barrier = *commands.barriers.last().expect("a barrier");
    // One proxy has applied it; the other has not and may go on writing to the former owner.
    controller.handle_batch(&acknowledged(121.0, &[0], barrier), &mut commands);
    (122..130).for_each(|now| controller.handle_batch(&tick(f64::from(now)), &mut commands));
    assert_eq!(commands.lines.len(), 3, "still nobody");
    controller.handle_batch(&acknowledged(130.0, &[1], barrier), &mut commands);
    assert_eq!(
        next_owner_published_at(&mut controller, 130.5),
        133.5,
        "a write's duration after the last proxy knows"
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
    // It may write until 126, and that write lasts until 129.
    assert_eq!(next_owner_published_at(&mut controller, 122.5), 129.5);
}

#[test]
fn stored_empty_table_waits_for_acknowledgement() {
    let mut controller = controller(ControllerConfig { single_owner: true, ..config() });
    let assigned = SliceAssignment::Assigned { slice: SliceId(2), entries: Vec::new() };
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&EventBatch { assignments: vec![assigned], ..tick(140.0) }, &mut commands);
    assert!(commands.lines.is_empty());
    let barrier = *commands.barriers.last().expect("all are asked whether they know");
    controller.handle_batch(&acknowledged(141.0, &[0, 1], barrier), &mut commands);
    assert_eq!(
        next_owner_published_at(&mut controller, 141.5),
        147.5,
        "the lease of proxies that are not connected, and a write's duration"
    );
    // Nobody acknowledges: after a while all are asked again.
    let assigned = SliceAssignment::Assigned { slice: SliceId(3), entries: Vec::new() };
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&EventBatch { assignments: vec![assigned], ..tick(150.0) }, &mut commands);
    (151..175).for_each(|now| controller.handle_batch(&tick(f64::from(now)), &mut commands));
    assert_eq!((commands.lines.len(), commands.barriers.len()), (0, 2));
}
