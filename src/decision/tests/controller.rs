use super::*;

#[test]
fn restarted_controller_keeps_stored_tables() {
    let controller = controller(config());
    assert!((1..=4).all(|n| owned_slice_count(&controller, n) == 3));
}

#[test]
fn unknown_ids_are_ignored() {
    let mut controller = controller(config());
    let mut batch = failure_reports(101.0, 1);
    batch.host_loads.iter_mut().for_each(|report| report.host = host(99));
    batch.health_checks.push(HealthCheckResult { host: host(99), outcome: HealthCheckOutcome::Passed });
    batch.slice_loads.push(SliceLoadReport {
        slice: SliceId(77),
        class: ClassId(9),
        operations: 1.0,
        span: 1.0,
    });
    batch.assignments.push(SliceAssignment::Revoked { slice: SliceId(77) });
    batch.proxy_streams.push(ProxyStreamEvent::Disconnected(ProxyId(9)));
    controller.handle_batch(&batch, &mut RecordedCommands::default());
    assert_eq!(controller.slices.len(), 12);
}

#[test]
fn unsliced_key_space_has_one_table_for_all_proxies() {
    let mut controller = Controller::new(ControllerConfig { slice_count: 0, ..config() });
    let mut batch = endpoint_update(100.0, (1..=3).map(|n| entry(n, Phase::Ready, None)).collect());
    batch.proxy_streams = vec![ProxyStreamEvent::Connected(ProxyId(4))];
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&batch, &mut commands);
    assert_eq!((commands.lines.len(), commands.assigned_tables), (3, 1));
}
