use super::*;
use crate::change::ClassAdmission;
use railhub::{ClassId, HostId, RetryPolicy, SliceId};

fn take(queue: &mut DeltaQueue, now: Seconds) -> Option<Arc<Publication>> {
    match queue.next_action(now) {
        WriterAction::Write(publication) => Some(publication),
        WriterAction::WaitUntil(_) | WriterAction::Nothing => None,
    }
}

fn line(version: u64, slice: u16, weight: f64) -> Arc<Publication> {
    let host = HostId::new("127.0.0.1:8000").expect("a name");
    let change = Change { lines: [((SliceId(slice), host), weight)].into(), ..Change::default() };
    Arc::new(Publication::new(change, 1, version, version as f64, Some(BarrierId(version as u16))))
}

#[test]
fn a_proxy_that_does_not_read_has_one_delta_waiting_of_bounded_size() {
    let mut queue = DeltaQueue::default();
    for version in 1..=1000 {
        queue.push(line(version, version as u16 % 7, version as f64));
        let _ = take(&mut queue, 0.0);
    }
    assert_eq!(queue.backlog_lines(0.0), 4.0 + 7.0, "four in flight, the rest folded");
    assert_eq!(queue.on_ack(4), ResponseEffect::Settled { barrier: Some(BarrierId(4)) });
    let last = take(&mut queue, 0.0).expect("waiting");
    assert_eq!((last.version, last.published_at, last.barrier), (1000, 5.0, Some(BarrierId(1000))));
}

#[test]
fn a_refused_version_is_not_repeated_until_something_is_new() {
    let mut queue = DeltaQueue::default();
    queue.push(line(1, 1, 1.0));
    assert!(take(&mut queue, 0.0).is_some());
    assert_eq!(queue.on_nack(1), ResponseEffect::Settled { barrier: Some(BarrierId(1)) });
    assert!(take(&mut queue, 0.0).is_none(), "no loop");
    queue.push(line(2, 2, 1.0));
    let next = take(&mut queue, 0.0).expect("news");
    assert_eq!(next.change.lines.len(), 2, "what was refused goes along");
}

#[test]
fn what_later_deltas_say_is_not_undone_by_what_was_refused() {
    let mut queue = DeltaQueue::default();
    for version in 1..=2 {
        queue.push(line(version, 1, version as f64));
        assert!(take(&mut queue, 0.0).is_some());
    }
    queue.on_nack(1);
    assert_eq!(queue.on_ack(2), ResponseEffect::Settled { barrier: Some(BarrierId(2)) });
    queue.push(line(3, 3, 1.0));
    let next = take(&mut queue, 0.0).expect("news");
    assert_eq!(next.change.lines.keys().map(|key| key.0).collect::<Vec<_>>(), [SliceId(3)]);
}

#[test]
fn stale_and_invented_nonces_change_nothing() {
    let mut queue = DeltaQueue::default();
    queue.push(line(1, 1, 1.0));
    assert_eq!(queue.on_ack(1), ResponseEffect::Stale, "not sent yet");
    assert!(take(&mut queue, 0.0).is_some());
    assert_ne!(queue.on_ack(1), ResponseEffect::Stale);
    assert_eq!((queue.on_ack(1), queue.on_nack(99)), (ResponseEffect::Stale, ResponseEffect::Stale));
    assert!(queue.is_idle());
}

#[test]
fn a_snapshot_folded_with_later_levels_keeps_both() {
    let mut queue = DeltaQueue::default();
    let snapshot = Change { reset: true, cleared: [SliceId(1)].into(), ..Change::default() };
    queue.push(Arc::new(Publication::new(snapshot, 1, 1, 0.0, None)));
    let level = Change {
        admission_rates: [(ClassId(0), ClassAdmission { rate: 0.5, retry: RetryPolicy::Never })].into(),
        ..Change::default()
    };
    queue.push(Arc::new(Publication::new(level, 1, 2, 1.0, Some(BarrierId(1)))));
    let folded = take(&mut queue, 0.0).expect("waiting");
    assert!(folded.change.reset && folded.change.admission_rates.len() == 1);
}

#[test]
fn no_more_messages_leave_than_the_cap_and_leaving_a_host_does_not_wait_for_weights() {
    let mut queue = DeltaQueue::new(MessageQuota { max_messages: 6, window: 10.0 });
    let mut left = Vec::new();
    for version in 1..=400 {
        let now = version as f64 * 0.1;
        let leaving = version % 97 == 0;
        queue.push(line(version, 1, if leaving { 0.0 } else { now }));
        let taken = take(&mut queue, now);
        assert!(taken.is_some() || !leaving, "a host was to be left at {now}");
        if let Some(publication) = taken {
            left.push(now);
            queue.on_ack(publication.version);
        }
    }
    let within = |at: &f64| left.iter().filter(|other| (0.0..=10.0).contains(&(*other - at))).count();
    let most = left.iter().map(within).max();
    assert!((4..=6).contains(&most.unwrap_or(0)), "{left:?}");
    assert!(left.len() >= 12, "{left:?}");
}

#[test]
fn a_writer_that_waits_until_it_is_told_may_write_then() {
    for n in 0..1000 {
        let began = 2.0 + f64::from(n) * 0.137_31;
        let mut queue = DeltaQueue::new(MessageQuota { max_messages: 2, window: 10.0 });
        queue.push(line(1, 1, 1.0));
        assert!(take(&mut queue, began).is_some());
        queue.on_ack(1);
        queue.push(line(2, 1, 2.0));
        let WriterAction::WaitUntil(until) = queue.next_action(began + 0.5) else {
            panic!("the cap allows one")
        };
        assert!(take(&mut queue, until).is_some(), "told {until}, began {began}");
    }
}
