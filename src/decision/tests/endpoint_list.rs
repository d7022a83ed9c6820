use super::*;

#[test]
fn draining_host_is_removed_after_next_owner_is_added() {
    let (initial, mut controller) = (controller(config()), controller(config()));
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&endpoint_update(100.5, vec![entry(2, Phase::Draining, None)]), &mut commands);
    assert!(controller.slices.values().all(|s| s.published.iter().all(|line| line.host != host(2))));
    for (k, line) in commands.lines.iter().enumerate().filter(|(_, line)| line.1 == host(2)) {
        assert_eq!(line.2, 0.0);
        let owner = controller.slices[&line.0].owner.expect("a next owner");
        let before = commands.lines[..k].contains(&(line.0, owner, 1.0));
        assert!(before || initial.slices[&line.0].owner == Some(owner));
    }
}

#[test]
fn delisted_host_serves_until_health_checks_fail() {
    // A list may mark live hosts as gone; removing them would overload the remaining hosts.
    for (delisted_may_serve, phase, slices) in
        [(true, Phase::Ready, 3), (true, Phase::Draining, 0), (false, Phase::Ready, 0)]
    {
        let mut controller = controller(ControllerConfig { delisted_may_serve, ..config() });
        controller.handle_batch(
            &endpoint_update(100.2, vec![entry(4, phase, None)]),
            &mut RecordedCommands::default(),
        );
        let entries = (1..=3).map(|n| entry(n, Phase::Ready, None)).collect();
        let batch = EventBatch {
            now: 100.5,
            endpoint_lists: vec![EndpointList { complete: true, entries }],
            ..EventBatch::default()
        };
        controller.handle_batch(&batch, &mut RecordedCommands::default());
        assert_eq!(owned_slice_count(&controller, 4), slices);
        (0..2).for_each(|_| {
            controller.handle_batch(
                &health_checked(101.0, 4, HealthCheckOutcome::Unreachable),
                &mut RecordedCommands::default(),
            )
        });
        assert_eq!((owned_slice_count(&controller, 4), controller.hosts[&host(4)].phase), (0, Phase::Gone));
    }
}

#[test]
fn new_host_is_usable_after_passing_health_check() {
    // A host without reports is assumed to have the typical service time, so without a health check even a host that
    // does not exist would be given slices.
    let mut controller = controller(config());
    let mut commands = RecordedCommands::default();
    controller.handle_batch(
        &endpoint_update(100.5, (5..=9).map(|n| entry(n, Phase::Ready, None)).collect()),
        &mut commands,
    );
    assert_eq!(commands.health_checks.len(), 5);
    (0..2).for_each(|_| {
        controller.handle_batch(&health_checked(101.0, 2, HealthCheckOutcome::Unreachable), &mut commands)
    });
    assert!(controller.hosts[&host(2)].is_down && (5..=9).all(|n| !controller.hosts[&host(n)].is_usable()));
    controller.handle_batch(&health_checked(101.0, 5, HealthCheckOutcome::Passed), &mut commands);
    assert!(controller.hosts[&host(5)].is_usable() && !controller.hosts[&host(6)].is_usable());
}

#[test]
fn expired_hosts_are_readmitted_and_forgotten() {
    let mut controller = controller(config());
    controller.config.delisted_may_serve = false;
    let mut commands = RecordedCommands::default();
    // Every ten seconds a new host with a new id replaces the oldest one.
    for n in 1..=60 {
        let now = 100.0 + 10.0 * f64::from(n);
        let entries = vec![entry(n, Phase::Gone, None), entry(n + 4, Phase::Ready, Some(now))];
        controller.handle_batch(&endpoint_update(now, entries), &mut commands);
        let outcome = HealthCheckOutcome::Passed;
        let result = HealthCheckResult { host: host(n + 4), outcome };
        controller.handle_batch(
            &EventBatch { now: now + 0.1, health_checks: vec![result], ..EventBatch::default() },
            &mut commands,
        );
        (1..10).for_each(|second| controller.handle_batch(&tick(now + f64::from(second)), &mut commands));
        assert!(
            controller.hosts.len() <= 8 && controller.exclusions.published().len() <= 8,
            "{}",
            controller.hosts.len()
        );
    }
    assert!(commands.exclusions.contains(&(host(1), true)), "a gone host is excluded");
    let last = commands.exclusions.iter().rev().find(|(id, _)| *id == host(1));
    assert_eq!(last, Some(&(host(1), false)), "a forgotten host is readmitted, because its id may be reused");
    assert!(controller
        .slices
        .values()
        .all(|slice| slice.owner.is_some_and(|id| controller.hosts.contains_key(&id))));
}
