use super::*;

const fn id(sequence: u64) -> SubscriptionId {
    SubscriptionId { config_version: 0, sequence }
}

#[test]
fn only_one_call_is_in_flight() {
    let mut call = CallTracker::default();
    assert_eq!(call.blocker(), None);
    call.on_sent();
    assert_eq!(call.blocker(), Some(CallBlocker::InFlight));
    call.on_ended(id(1));
    assert_eq!((call.blocker(), call.take_resubscribe_reason()), (None, None));
}

#[test]
fn outcome_of_an_outdated_call_is_unknown_despite_a_response() {
    let mut call = CallTracker::default();
    call.on_sent();
    call.require_snapshot(id(1), ResubscribeReason::SliceReassigned);
    assert_eq!(call.blocker(), Some(CallBlocker::InFlight));
    assert_eq!(
        call.newest_subscription_without_outcome(),
        None,
        "a snapshot taken before the call ended may not show it"
    );
    assert_eq!(call.take_resubscribe_reason(), Some(ResubscribeReason::SliceReassigned));
    call.on_ended(id(2));
    assert_eq!(call.blocker(), Some(CallBlocker::OutcomeUnknown));
    assert_eq!(call.take_resubscribe_reason(), Some(ResubscribeReason::OutdatedCallEnded));
    assert_eq!(call.newest_subscription_without_outcome(), Some(id(2)));
}

#[test]
fn resubscribes_when_the_subscription_was_requested_too_early() {
    let mut call = CallTracker::default();
    call.require_snapshot(id(3), ResubscribeReason::OutcomeUnknown);
    assert_eq!(call.take_resubscribe_reason(), Some(ResubscribeReason::OutcomeUnknown));
    call.on_subscribed(id(3));
    assert_eq!(call.take_resubscribe_reason(), Some(ResubscribeReason::SubscriptionTooEarly));
    call.on_subscribed(id(4));
    assert_eq!(call.take_resubscribe_reason(), None);
    call.on_outcome_known();
    assert_eq!(call.blocker(), None);
}
