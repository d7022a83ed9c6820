use super::*;
use crate::decision::exclusion::{ExclusionChange, ExclusionState};
use crate::decision::publish::UPDATE_EXPIRY;

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

/// The events that a proxy connected before the restart of its controller, with the hosts that are listed then.
fn restarted_controller(listed: std::ops::RangeInclusive<u8>, streams: Vec<ProxyStreamEvent>) -> Controller {
    let mut restarted = Controller::new(config());
    let entries = listed.clone().map(|n| entry(n, Phase::Ready, None)).collect();
    let mut owners = listed.cycle().map(host);
    let mut assigned = |slice| SliceAssignment::Assigned {
        slice: SliceId(slice),
        entries: vec![(owners.next().expect("hosts are listed"), 1.0).into()],
    };
    let assignments = (0..12).map(&mut assigned).collect();
    let batch = EventBatch { assignments, ..endpoint_update(100.0, entries) };
    restarted.handle_batch(&batch, &mut RecordedCommands::default());
    let batch = EventBatch { proxy_streams: streams, ..tick(101.0) };
    restarted.handle_batch(&batch, &mut RecordedCommands::default());
    restarted
}

/// Lists a host that was not listed before and lets it pass its health check; returns the commands until a tick later.
fn list_host(controller: &mut Controller, now: Seconds, n: u8) -> RecordedCommands {
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&endpoint_update(now, vec![entry(n, Phase::Ready, None)]), &mut commands);
    controller.handle_batch(&health_checked(now + 0.1, n, HealthCheckOutcome::Passed), &mut commands);
    controller.handle_batch(&tick(now + 1.0), &mut commands);
    commands
}

/// Guards against review/1: a host that is off the list when its controller restarts stayed excluded at the proxies.
#[test]
fn host_listed_after_restart_is_readmitted() {
    let reconnected = (0..2).map(|k| ProxyStreamEvent::Reconnected(ProxyId(k))).collect();
    let mut controller = restarted_controller(1..=3, reconnected);
    let commands = list_host(&mut controller, 110.0, 4);
    assert_eq!(commands.exclusions, [(host(4), false)]);
    controller.handle_batch(&tick(112.0), &mut RecordedCommands::default());
    assert!(due_exclusions(&controller, 112.0).is_empty(), "a readmission is published once");
}

#[test]
fn host_listed_without_restart_needs_no_readmission() {
    let connected = (0..2).map(|k| ProxyStreamEvent::Connected(ProxyId(k))).collect();
    let mut controller = restarted_controller(1..=3, connected);
    assert_eq!(list_host(&mut controller, 110.0, 4).exclusions, []);
}

/// Guards against review/3: a restart stayed unnoticed if the first proxy that connected was a new one, so the other
/// proxies kept the exclusions of the earlier process.
#[test]
fn restart_is_noticed_though_a_new_proxy_connects_first() {
    let (new, returning) =
        (ProxyStreamEvent::Connected(ProxyId(0)), ProxyStreamEvent::Reconnected(ProxyId(1)));
    for streams in [vec![new, returning], vec![returning, new]] {
        let mut controller = restarted_controller(1..=3, Vec::new());
        let mut commands = RecordedCommands::default();
        controller.handle_batch(&EventBatch { proxy_streams: streams, ..tick(102.0) }, &mut commands);
        assert_eq!(commands.exclusions, [1, 2, 3].map(|n| (host(n), false)));
        assert_eq!(list_host(&mut controller, 110.0, 4).exclusions, [(host(4), false)]);
    }
}

#[test]
fn new_proxy_needs_no_readmissions() {
    let connected = (0..2).map(|k| ProxyStreamEvent::Connected(ProxyId(k))).collect();
    let mut controller = restarted_controller(1..=3, connected);
    controller.exclusions.apply(ExclusionChange { host: host(1), is_excluded: false, is_repeated: false });
    let mut commands = RecordedCommands::default();
    let connected = vec![ProxyStreamEvent::Connected(ProxyId(2))];
    controller.handle_batch(&EventBatch { proxy_streams: connected, ..tick(102.0) }, &mut commands);
    assert_eq!(commands.exclusions, []);
}

/// Lets both proxies acknowledge all updates.
fn acknowledge_all(controller: &mut Controller, now: Seconds) {
    let Some(last) = controller.publisher.backlog.updates().last() else { return };
    let barrier = last.barrier;
    (0..2).for_each(|k| controller.apply_barrier_ack(now, &BarrierAck { proxy: ProxyId(k), barrier }));
}

/// Guards against the third way of review/REPORT.md: a proxy whose stream was down while a host was readmitted and
/// forgotten excluded the host when it was listed again.
#[test]
fn forgotten_host_is_readmitted_after_missed_readmission() {
    for acknowledges in [true, false] {
        let mut controller = controller(ControllerConfig { delisted_may_serve: false, ..config() });
        let mut commands = RecordedCommands::default();
        let gone = endpoint_update(101.0, vec![entry(4, Phase::Gone, None)]);
        controller.handle_batch(&gone, &mut commands);
        assert_eq!(commands.exclusions, [(host(4), true)]);
        let disconnected = vec![ProxyStreamEvent::Disconnected(ProxyId(1))];
        controller.handle_batch(&EventBatch { proxy_streams: disconnected, ..tick(102.0) }, &mut commands);
        for second in 103..=125 {
            controller.handle_batch(&tick(f64::from(second)), &mut commands);
            if acknowledges {
                acknowledge_all(&mut controller, f64::from(second) + 0.5);
            }
        }
        assert_eq!(commands.exclusions[1..], [(host(4), false)]);
        assert!(!controller.hosts.contains_key(&host(4)), "the host is forgotten");
        let returning = vec![ProxyStreamEvent::Reconnected(ProxyId(1))];
        controller.handle_batch(
            &EventBatch { proxy_streams: returning, ..tick(126.0) },
            &mut RecordedCommands::default(),
        );
        assert_eq!(list_host(&mut controller, 130.0, 4).exclusions, [(host(4), false)]);
    }
}

#[test]
fn forgotten_host_needs_no_second_readmission() {
    let mut controller = controller(ControllerConfig { delisted_may_serve: false, ..config() });
    let gone = endpoint_update(101.0, vec![entry(4, Phase::Gone, None)]);
    controller.handle_batch(&gone, &mut RecordedCommands::default());
    for second in 102..=125 {
        controller.handle_batch(&tick(f64::from(second)), &mut RecordedCommands::default());
        acknowledge_all(&mut controller, f64::from(second) + 0.5);
    }
    assert!(!controller.hosts.contains_key(&host(4)), "the host is forgotten");
    let returning = vec![ProxyStreamEvent::Reconnected(ProxyId(1))];
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&EventBatch { proxy_streams: returning, ..tick(126.0) }, &mut commands);
    assert_eq!(commands.exclusions, [], "no proxy can exclude a host");
    assert_eq!(list_host(&mut controller, 130.0, 4).exclusions, []);
}

/// Guards against a readmission that waited in the channel until its update expired and was then lost: it counted as
/// received.
#[test]
fn repeats_readmission_of_expired_update() {
    let mut controller = controller(config());
    let mut commands = RecordedCommands::default();
    (0..2).for_each(|_| {
        controller.handle_batch(&health_checked(101.0, 2, HealthCheckOutcome::Unreachable), &mut commands)
    });
    controller.handle_batch(&tick(101.5), &mut commands);
    acknowledge_all(&mut controller, 101.9);
    controller.handle_batch(&health_checked(102.0, 2, HealthCheckOutcome::Passed), &mut commands);
    controller.handle_batch(&tick(102.5), &mut commands);
    assert_eq!(commands.exclusions, [(host(2), true), (host(2), false)]);
    let mut expired = RecordedCommands::default();
    (0..2).for_each(|second| {
        controller.handle_batch(&tick(102.5 + UPDATE_EXPIRY + f64::from(second)), &mut expired);
    });
    assert_eq!(expired.exclusions, [(host(2), false)]);
    acknowledge_all(&mut controller, 124.0);
    let mut acknowledged = RecordedCommands::default();
    controller.handle_batch(&tick(125.0 + UPDATE_EXPIRY), &mut acknowledged);
    assert_eq!(acknowledged.exclusions, []);
}

fn undelivered(n: u8, is_excluded: bool) -> UndeliveredExclusion {
    UndeliveredExclusion { host: host(n), is_excluded }
}

#[test]
fn exclusion_does_not_wait_for_an_undelivered_readmission() {
    let mut controller = controller(config());
    let undelivered_exclusions = vec![undelivered(2, false)];
    let batch = EventBatch { undelivered_exclusions, ..tick(104.0) };
    controller.handle_batch(&batch, &mut RecordedCommands::default());
    let mut commands = RecordedCommands::default();
    controller.handle_batch(&endpoint_update(104.5, vec![entry(2, Phase::Draining, None)]), &mut commands);
    assert_eq!(commands.exclusions, [(host(2), true)]);
}

/// Guards against a readmission that the channel dropped: its update was acknowledged, so it counted as received.
#[test]
fn undelivered_readmission_is_published_again_later() {
    let mut controller = controller(config());
    let mut commands = RecordedCommands::default();
    (0..2).for_each(|_| {
        controller.handle_batch(&health_checked(101.0, 2, HealthCheckOutcome::Unreachable), &mut commands)
    });
    controller.handle_batch(&health_checked(103.0, 2, HealthCheckOutcome::Passed), &mut commands);
    controller.handle_batch(&tick(103.5), &mut commands);
    assert_eq!(commands.exclusions, [(host(2), true), (host(2), false)]);
    acknowledge_all(&mut controller, 103.8);
    let undelivered = EventBatch { undelivered_exclusions: vec![undelivered(2, false)], ..tick(104.0) };
    let mut early = RecordedCommands::default();
    controller.handle_batch(&undelivered, &mut early);
    controller.handle_batch(&tick(108.0), &mut early);
    assert_eq!(early.exclusions, [], "a refused command must not be repeated at once");
    let mut late = RecordedCommands::default();
    controller.handle_batch(&tick(110.0), &mut late);
    controller.handle_batch(&tick(111.0), &mut late);
    assert_eq!(late.exclusions, [(host(2), false)]);
}

#[test]
fn host_whose_readmission_is_never_delivered_is_forgotten() {
    let mut controller = controller(ControllerConfig { delisted_may_serve: false, ..config() });
    let gone = endpoint_update(101.0, vec![entry(4, Phase::Gone, None)]);
    controller.handle_batch(&gone, &mut RecordedCommands::default());
    for second in 102..=140 {
        let mut commands = RecordedCommands::default();
        controller.handle_batch(&tick(f64::from(second)), &mut commands);
        acknowledge_all(&mut controller, f64::from(second) + 0.3);
        let undelivered = |(host, is_excluded): &(HostId, bool)| UndeliveredExclusion {
            host: *host,
            is_excluded: *is_excluded,
        };
        let undelivered_exclusions = commands.exclusions.iter().map(undelivered).collect();
        let batch =
            EventBatch { now: f64::from(second) + 0.5, undelivered_exclusions, ..EventBatch::default() };
        controller.handle_batch(&batch, &mut RecordedCommands::default());
    }
    assert!(
        !controller.hosts.contains_key(&host(4)) && !controller.exclusions.published().contains_key(&host(4))
    );
    assert!(list_host(&mut controller, 150.0, 4).exclusions.contains(&(host(4), false)));
}
