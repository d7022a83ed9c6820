use super::*;
use railhub::BarrierId;

const fn id(sequence: u64) -> SubscriptionId {
    SubscriptionId { config_version: 0, sequence }
}

/// A subscription whose first snapshot is being received since second 1.
fn receiving_first_snapshot() -> Subscription {
    let mut subscription = Subscription::default();
    subscription.on_requested(id(1));
    assert_eq!(subscription.on_event(1.0, id(1), RelayEvent::Subscribed), Update::Subscribed);
    subscription
}

#[test]
fn a_later_snapshot_waits_longer_for_events_than_the_first() {
    let mut subscription = receiving_first_snapshot();
    assert!(!subscription.is_idle(1.09) && subscription.is_idle(1.11));
    assert!(subscription.complete_snapshot(false).is_some() && subscription.is_synchronized());
    subscription.on_event(2.0, id(2), RelayEvent::Subscribed);
    assert!(!subscription.is_idle(3.4) && subscription.is_idle(3.6));
    assert_eq!(subscription.idle_deadline(), Some(3.5));
}

#[test]
fn only_the_snapshot_whose_connection_ends_is_discarded() {
    let mut subscription = receiving_first_snapshot();
    subscription.on_ended(id(0));
    assert!(subscription.snapshot().is_some());
    subscription.on_ended(id(1));
    assert!(subscription.snapshot().is_none() && !subscription.is_synchronized());
}

#[test]
fn keeps_a_bounded_number_of_accepted_commands_and_only_while_a_snapshot_is_due() {
    let commands = |count: usize| vec![Command::Barrier(BarrierId(1)); count];
    let mut subscription = receiving_first_snapshot();
    assert_eq!(subscription.on_accepted(commands(20_000)), Ok(()));
    assert_eq!(subscription.on_accepted(commands(1)), Err(TooManyAccepted));
    assert!(subscription.accepted_since_snapshot.is_empty());
    subscription.complete_snapshot(false);
    assert_eq!(subscription.on_accepted(commands(20_001)), Ok(()));
    assert!(subscription.accepted_since_snapshot.is_empty());
}
