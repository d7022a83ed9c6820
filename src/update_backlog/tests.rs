use super::*;

/// Longer than the time between two acknowledgements in these tests, except in the test of a stalled update.
const STALLED_AFTER: Seconds = 2.0;

fn proxies(range: std::ops::Range<u16>) -> BTreeSet<ProxyId> {
    range.map(ProxyId).collect()
}

fn update(sent_at: Seconds, barrier: u16, lines: f64, recipients: std::ops::Range<u16>) -> Update {
    Update::new(sent_at, BarrierId(barrier), lines, proxies(recipients))
}

/// Ten lines to proxies 0 to 3, then five lines to proxies 0 to 9; proxies 4 to 9 connected in between.
fn two_updates() -> UpdateBacklog {
    let mut backlog = UpdateBacklog::default();
    backlog.send(update(1.0, 1, 10.0, 0..4));
    backlog.send(update(2.0, 2, 5.0, 0..10));
    backlog
}

#[test]
fn acknowledged_lines_no_longer_wait() {
    let mut backlog = two_updates();
    assert_eq!(backlog.waiting_lines(2.0, STALLED_AFTER), 4.0 * 10.0 + 10.0 * 5.0);
    backlog.acknowledge(2.1, ProxyId(0), BarrierId(1));
    assert_eq!(backlog.waiting_lines(2.1, STALLED_AFTER), 3.0 * 10.0 + 10.0 * 5.0);
}

#[test]
fn newer_update_waits_behind_older_one() {
    let mut backlog = two_updates();
    (4..10).for_each(|proxy| backlog.acknowledge(2.1, ProxyId(proxy), BarrierId(2)));
    assert_eq!(backlog.waiting_lines(2.1, STALLED_AFTER), 4.0 * 10.0 + 10.0 * 5.0);
    (0..4).for_each(|proxy| backlog.acknowledge(2.2, ProxyId(proxy), BarrierId(1)));
    assert_eq!(backlog.take_acknowledged().len(), 1);
    assert_eq!(backlog.waiting_lines(2.2, STALLED_AFTER), 4.0 * 5.0);
}

#[test]
fn stalled_update_does_not_block_next_one() {
    let mut backlog = two_updates();
    (1..4).for_each(|proxy| backlog.acknowledge(2.2, ProxyId(proxy), BarrierId(2)));
    (4..10).for_each(|proxy| backlog.acknowledge(2.3, ProxyId(proxy), BarrierId(2)));
    assert_eq!(backlog.waiting_lines(4.1, STALLED_AFTER), 10.0 + 10.0 * 5.0);
    assert_eq!(backlog.waiting_lines(4.2, STALLED_AFTER), 10.0 + 5.0);
}

#[test]
fn disconnected_proxy_is_not_counted() {
    let mut backlog = two_updates();
    backlog.acknowledge(2.1, ProxyId(5), BarrierId(2));
    [0, 5].into_iter().for_each(|proxy| backlog.remove_proxy(ProxyId(proxy)));
    assert_eq!(backlog.waiting_lines(2.1, STALLED_AFTER), 3.0 * 10.0 + 8.0 * 5.0);
}

#[test]
fn proxy_connected_before_acceptance_is_counted() {
    let mut backlog = two_updates();
    backlog.add_recipient(2.0, ProxyId(10));
    assert_eq!(backlog.waiting_lines(2.0, STALLED_AFTER), 4.0 * 10.0 + 11.0 * 5.0);
    backlog.acknowledge(2.1, ProxyId(10), BarrierId(2));
    backlog.remove_proxy(ProxyId(10));
    assert_eq!(backlog.waiting_lines(2.1, STALLED_AFTER), 4.0 * 10.0 + 10.0 * 5.0);
}

#[test]
fn unknown_barrier_is_ignored() {
    let mut backlog = two_updates();
    backlog.acknowledge(2.1, ProxyId(0), BarrierId(9));
    assert_eq!(backlog.waiting_lines(2.1, STALLED_AFTER), 4.0 * 10.0 + 10.0 * 5.0);
}

#[test]
fn updates_expire_by_age() {
    let mut backlog = two_updates();
    let expired = backlog.take_expired(21.5, 20.0);
    assert_eq!(expired.iter().map(|update| update.barrier).collect::<Vec<_>>(), [BarrierId(1)]);
    assert_eq!(backlog.updates().iter().map(|update| update.barrier).collect::<Vec<_>>(), [BarrierId(2)]);
}

#[test]
fn reassigned_slice_is_not_cleared() {
    let mut backlog = UpdateBacklog::default();
    let cleared_slices = vec![SliceId(1), SliceId(2)];
    backlog.send(Update { cleared_slices, ..update(1.0, 1, 1.0, 0..1) });
    backlog.forget_slice(SliceId(1));
    assert_eq!(backlog.cleared_slices().into_iter().collect::<Vec<_>>(), [SliceId(2)]);
}
