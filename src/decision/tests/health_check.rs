use super::*;

#[test]
fn unreachable_host_is_checked_again_then_loses_slices() {
    let mut controller = controller(config());
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&health_checked(101.0, 2, HealthCheckOutcome::Unreachable), &mut commands);
    assert_eq!((commands.health_checks, owned_slice_count(&controller, 2)), (vec![host(2)], 3));
    controller.handle_batch(
        &health_checked(101.1, 2, HealthCheckOutcome::Unreachable),
        &mut RecordedCommands::default(),
    );
    assert_eq!(owned_slice_count(&controller, 2), 0);
}

#[test]
fn failed_checks_alone_do_not_prove_host_down() {
    // Health checks of saturated hosts time out; marking such hosts as down would move their slices to the other hosts.
    let mut controller = controller(config());
    for k in 0..5 {
        let now = 101.0 + f64::from(k);
        controller.hosts.get_mut(&host(2)).expect("listed").last_success_at = now;
        controller.handle_batch(
            &health_checked(now, 2, HealthCheckOutcome::Failed),
            &mut RecordedCommands::default(),
        );
    }
    assert!(!controller.hosts[&host(2)].is_down);
    // Reports may arrive only every few seconds, so a missing report proves nothing.
    let is_down_after_failed_checks = |controller: &mut Controller, at| {
        (0..3).for_each(|k| {
            controller.handle_batch(
                &health_checked(at + k as f64, 2, HealthCheckOutcome::Failed),
                &mut RecordedCommands::default(),
            )
        });
        controller.hosts[&host(2)].is_down
    };
    assert!(!is_down_after_failed_checks(&mut controller, 108.0));
    controller.apply_host_load(111.0, &load_report(2, 20.0));
    assert!(is_down_after_failed_checks(&mut controller, 112.0));
}

#[test]
fn at_most_half_of_the_hosts_are_down() {
    let mut controller = controller(config());
    for n in 1..=4 {
        for _ in 0..2 {
            controller.handle_batch(
                &health_checked(101.0, n, HealthCheckOutcome::Unreachable),
                &mut RecordedCommands::default(),
            );
        }
    }
    assert_eq!(controller.hosts.values().filter(|host| host.is_down).count(), 2);
}
