use super::*;
use crate::change::ClassAdmission;
use railhub::{ClassId, HostId, RetryPolicy, SliceId};

fn take(queue: &mut DeltaQueue, now: Seconds) -> Option<Arc<Publication>> {
    match queue.next_action(now) {
        WriterAction::Write(publication) => Some(publication),
        WriterAction::WaitUntil(_) | WriterAction::Wait => None,
    }
}

fn line(version: u64, slice: u16, weight: f64) -> Arc<Publication> {
    let host = HostId::new("127.0.0.1:8000").expect("valid host name");
    let change = Change { lines: [((SliceId(slice), host), weight)].into(), ..Change::default() };
    Arc::new(Publication::new(change, 1, version, version as f64, Some(BarrierId(version as u16))))
}

#[test]
fn merges_publications_while_the_proxy_does_not_read() {
    let mut queue = DeltaQueue::default();
    for version in 1..=1000 {
        queue.push(line(version, version as u16 % 7, version as f64));
        let _ = take(&mut queue, 0.0);
    }
    assert_eq!(queue.backlog_lines(0.0), 4.0 + 7.0, "four in flight, the others merged into one of 7 lines");
    assert_eq!(queue.on_ack(4), ResponseEffect::Settled { barrier: Some(BarrierId(4)) });
    let last = take(&mut queue, 0.0).expect("a pending delta");
    assert_eq!((last.version, last.ordered_at, last.barrier), (1000, 5.0, Some(BarrierId(1000))));
}

#[test]
fn resends_a_rejected_change_only_with_a_new_one() {
    let mut queue = DeltaQueue::default();
    queue.push(line(1, 1, 1.0));
    assert!(take(&mut queue, 0.0).is_some());
    assert_eq!(queue.on_nack(1), ResponseEffect::Settled { barrier: Some(BarrierId(1)) });
    assert!(take(&mut queue, 0.0).is_none(), "a rejected change is not resent by itself");
    queue.push(line(2, 2, 1.0));
    let next = take(&mut queue, 0.0).expect("a pending delta");
    assert_eq!(next.change.lines.len(), 2, "the rejected line and the new one");
}

#[test]
fn does_not_resend_values_superseded_in_flight() {
    let mut queue = DeltaQueue::default();
    for version in 1..=2 {
        queue.push(line(version, 1, version as f64));
        assert!(take(&mut queue, 0.0).is_some());
    }
    queue.on_nack(1);
    assert_eq!(queue.on_ack(2), ResponseEffect::Settled { barrier: Some(BarrierId(2)) });
    queue.push(line(3, 3, 1.0));
    let next = take(&mut queue, 0.0).expect("a pending delta");
    assert_eq!(next.change.lines.keys().map(|key| key.0).collect::<Vec<_>>(), [SliceId(3)]);
}

#[test]
fn ignores_stale_and_unknown_nonces() {
    let mut queue = DeltaQueue::default();
    queue.push(line(1, 1, 1.0));
    assert_eq!(queue.on_ack(1), ResponseEffect::Stale, "not sent yet");
    assert!(take(&mut queue, 0.0).is_some());
    assert_ne!(queue.on_ack(1), ResponseEffect::Stale);
    assert_eq!((queue.on_ack(1), queue.on_nack(99)), (ResponseEffect::Stale, ResponseEffect::Stale));
    assert!(queue.is_idle());
}

#[test]
fn merges_a_snapshot_with_later_admission_rates() {
    let mut queue = DeltaQueue::default();
    let snapshot = Change { reset: true, cleared: [SliceId(1)].into(), ..Change::default() };
    queue.push(Arc::new(Publication::new(snapshot, 1, 1, 0.0, None)));
    let admission = Change {
        admission_rates: [(ClassId(0), ClassAdmission { rate: 0.5, retry: RetryPolicy::Never })].into(),
        ..Change::default()
    };
    queue.push(Arc::new(Publication::new(admission, 1, 2, 1.0, Some(BarrierId(1)))));
    let merged = take(&mut queue, 0.0).expect("a pending delta");
    assert!(merged.change.reset && merged.change.admission_rates.len() == 1);
}

#[test]
fn quota_limits_messages_and_never_delays_removals() {
    let mut queue = DeltaQueue::new(MessageQuota { max_messages: 6, window: 10.0 });
    let mut sent_at = Vec::new();
    for version in 1..=400 {
        let now = version as f64 * 0.1;
        let is_removal = version % 97 == 0;
        queue.push(line(version, 1, if is_removal { 0.0 } else { now }));
        let taken = take(&mut queue, now);
        assert!(taken.is_some() || !is_removal, "removal delayed at {now}");
        if let Some(publication) = taken {
            sent_at.push(now);
            queue.on_ack(publication.version);
        }
    }
    let in_window = |at: &f64| sent_at.iter().filter(|other| (0.0..=10.0).contains(&(*other - at))).count();
    let max_in_window = sent_at.iter().map(in_window).max();
    assert!((4..=6).contains(&max_in_window.unwrap_or(0)), "{sent_at:?}");
    assert!(sent_at.len() >= 12, "{sent_at:?}");
}

#[test]
fn quota_allows_a_write_at_the_announced_time() {
    for step in 0..1000 {
        let first_sent_at = 2.0 + f64::from(step) * 0.137_31;
        let mut queue = DeltaQueue::new(MessageQuota { max_messages: 2, window: 10.0 });
        queue.push(line(1, 1, 1.0));
        assert!(take(&mut queue, first_sent_at).is_some());
        queue.on_ack(1);
        queue.push(line(2, 1, 2.0));
        let WriterAction::WaitUntil(until) = queue.next_action(first_sent_at + 0.5) else {
            panic!("the quota must delay the second message")
        };
        assert!(take(&mut queue, until).is_some(), "first sent at {first_sent_at}, announced {until}");
    }
}
