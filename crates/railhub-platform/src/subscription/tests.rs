use super::*;
use railhub::BarrierId;

const fn id(sequence: u64) -> SubscriptionId {
    SubscriptionId { config_version: 0, sequence }
}

/// A subscription that has been receiving its first snapshot since time 1.
fn receiving_first_snapshot() -> Subscription {
    let mut subscription = Subscription::default();
    subscription.on_requested(id(1));
    assert_eq!(subscription.on_event(1.0, id(1), RelayEvent::Subscribed), EventOutcome::Subscribed);
    subscription
}

#[test]
fn later_snapshots_have_a_longer_idle_timeout() {
    let mut subscription = receiving_first_snapshot();
    assert!(!subscription.is_idle(1.09) && subscription.is_idle(1.11));
    assert!(subscription.complete_snapshot(false).is_some() && subscription.may_decide());
    subscription.on_event(2.0, id(2), RelayEvent::Subscribed);
    assert!(!subscription.is_idle(3.4) && subscription.is_idle(3.6));
    assert_eq!(subscription.idle_deadline(), Some(3.5));
}

#[test]
fn discards_only_the_snapshot_whose_connection_ended() {
    let mut subscription = receiving_first_snapshot();
    subscription.on_ended(id(0));
    assert!(subscription.snapshot().is_some());
    subscription.on_ended(id(1));
    assert!(subscription.snapshot().is_none() && !subscription.may_decide());
}

#[test]
fn bounds_accepted_commands_kept_for_a_pending_snapshot() {
    let commands = |count: usize| vec![Command::Barrier(BarrierId(1)); count];
    let mut subscription = receiving_first_snapshot();
    assert_eq!(subscription.on_accepted(commands(20_000)), Ok(()));
    assert_eq!(subscription.on_accepted(commands(1)), Err(TooManyAccepted));
    assert!(subscription.accepted_since_snapshot.is_empty());
    subscription.complete_snapshot(false);
    assert_eq!(subscription.on_accepted(commands(20_001)), Ok(()));
    assert!(subscription.accepted_since_snapshot.is_empty());
}
