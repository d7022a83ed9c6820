use super::*;
use crate::decision::exclusion::{ExclusionChange, ExclusionState};

fn due_exclusions(controller: &Controller, now: Seconds) -> Vec<ExclusionChange> {
    controller.exclusions.due_changes(now, &controller.hosts, &controller.slices, false)
}

#[test]
fn lost_host_is_excluded_and_readmitted_on_reconnection() {
    // After the loss of many hosts, rewriting all tables may take longer than a drain lasts.
    let mut controller = controller(config());
    let mut commands = RecordedCommands::default();
    (0..2).for_each(|_| {
        controller.handle_batch(&health_checked(101.0, 2, HealthCheckOutcome::Unreachable), &mut commands)
    });
    assert_eq!(commands.exclusions, [(host(2), true)]);
    controller.handle_batch(&health_checked(103.0, 2, HealthCheckOutcome::Passed), &mut commands);
    // Readmission waits for a tick: hosts that return one by one must not use up the messages that a drain needs.
    assert_eq!(commands.exclusions.len(), 1);
    controller.handle_batch(&tick(103.5), &mut commands);
    assert_eq!(commands.exclusions[1..], [(host(2), false)]);
    let reconnected = ProxyStreamEvent::Reconnected(ProxyId(1));
    controller.handle_batch(&EventBatch { proxy_streams: vec![reconnected], ..tick(104.0) }, &mut commands);
    assert_eq!(commands.exclusions[2..], [(host(2), false)]);
}

#[test]
fn exclusion_is_repeated_for_new_proxies_while_published() {
    let mut controller = controller(ControllerConfig {
        message_quota: 0,
        backlog_limit: 40.0,
        message_overhead: 0.0,
        ..config()
    });
    controller.publisher.backlog = UpdateBacklog::default();
    let mut commands = RecordedCommands::default();
    (0..2).for_each(|_| {
        controller.handle_batch(&health_checked(101.0, 2, HealthCheckOutcome::Unreachable), &mut commands)
    });
    assert!(controller.slices.values().any(|slice| slice.published.iter().any(|line| line.host == host(2))));
    controller.publisher.backlog = UpdateBacklog::default();
    let connected = ProxyStreamEvent::Connected(ProxyId(9));
    controller.handle_batch(&EventBatch { proxy_streams: vec![connected], ..tick(102.0) }, &mut commands);
    assert_eq!(commands.exclusions, [(host(2), true), (host(2), true)]);
    controller.slices.values_mut().for_each(|slice| slice.published = vec![(host(1), 1.0).into()]);
    controller.exclusions.published().insert(host(2), ExclusionState::Unconfirmed);
    assert!(due_exclusions(&controller, 110.0).is_empty());
}
