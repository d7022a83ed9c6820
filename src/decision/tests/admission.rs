use super::*;

#[test]
fn overload_sheds_lowest_priority_and_stops_retries() {
    let mut controller = controller(config());
    set_load(&mut controller, 101.0, 16.0, 0.1);
    let loads = controller.loads(101.0);
    controller.admission.update(&controller.config, &controller.slices, &loads);
    assert!(controller.admission.rates[0] < 1.0 && controller.admission.rates[1] == 1.0);
    let mut commands = RecordedCommands::default();
    controller.publish(101.0, true, &mut commands);
    assert!(commands.admission.iter().all(|class| class.2 == RetryPolicy::Never));
}

#[test]
fn admission_recovers_within_seconds_after_surge() {
    let mut controller = controller(config());
    set_load(&mut controller, 101.0, 2.0, 0.1);
    controller.admission.rates[0] = 0.4;
    let loads = controller.loads(101.0);
    let ticks = (1..20).find(|_| {
        controller.admission.update(&controller.config, &controller.slices, &loads);
        controller.admission.rates[0] == 1.0
    });
    assert!(ticks.is_some_and(|ticks| (4..=8).contains(&ticks)), "{ticks:?}");
}

#[test]
fn unreported_slices_count_in_fleet_utilization() {
    // Eight operations per second for each of twelve slices, half of which were just assigned to this controller.
    let mut controller = controller(config());
    set_load(&mut controller, 101.0, 8.0, 0.1);
    let assigned = |k| SliceAssignment::Assigned {
        slice: SliceId(k),
        entries: vec![(host(1 + k as u8 % 4), 1.0).into()],
    };
    let assignments = (0..6).map(assigned).collect();
    controller.handle_batch(&EventBatch { assignments, ..tick(101.0) }, &mut RecordedCommands::default());
    assert!(
        (controller.admission.fleet_utilization - 12.0 * 8.0 * 0.1 / 16.0).abs() < 0.05,
        "{}",
        controller.admission.fleet_utilization
    );
}
