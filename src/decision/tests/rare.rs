//! Rare moments: news that repeats what stands, rushes of verdicts, owners that change with writes in hand.
use super::*;

#[test]
fn what_waits_for_a_proxy_that_is_told_to_stand_again_still_fills_the_backlog_until_a_mark_frees_it() {
    let mut steward = steward(ControllerConfig { backlog_limit: 50.0, message_overhead: 0.0, ..terms() });
    let mut written = Written::default();
    steward.channel = UpdateBacklog::default();
    // Owners move to and fro, and a new subscription tells before each turn that both proxies stand.
    let stand = || (0..2).map(|k| ProxyStreamEvent::Connected(ProxyId(k))).collect();
    for k in 0..6 {
        steward.slices.values_mut().for_each(|slice| slice.owner = Some(host(1 + k % 2)));
        steward.stand_by(&BTreeMap::new());
        steward
            .handle_batch(&EventBatch { proxy_streams: stand(), ..turn(200.0 + f64::from(k)) }, &mut written);
        let said = written.lines.len() + written.shut.len() + 3 * written.marks.len();
        assert!(2.0 * said as f64 <= 50.0, "{said} lines for each of two proxies, none confirmed");
    }
    // Both confirmed unheard: the mark that asks again is confirmed for all that came before it.
    let mark = *written.marks.last().expect("marked");
    (0..2).for_each(|k| steward.hear_confirmed(200.0, &BarrierAck { proxy: ProxyId(k), barrier: mark }));
    assert!(steward.channel.is_empty());
    steward.handle_batch(&turn(206.0), &mut written);
    assert!(!steward.unsure && written.marks.last() > Some(&mark), "tables are written again");
    // Should that mark's confirmations be lost as well, and the next ones', the channel is not shut for ever.
    let before = written.lines.len();
    steward.slices.values_mut().for_each(|slice| slice.owner = Some(host(1)));
    steward.handle_batch(&turn(206.0 + MARK_LOST), &mut written);
    assert!(steward.channel.updates().len() == 1 && written.lines.len() > before);
}

#[test]
fn a_rush_of_urgent_deltas_leaves_messages_for_a_drain() {
    let mut steward = steward(terms());
    let mut sent = Vec::new();
    let mut write = |steward: &mut Controller, round: EventBatch| {
        let mut written = Written::default();
        steward.handle_batch(&round, &mut written);
        sent.extend(written.marks.iter().map(|_| round.now));
        written
    };
    // Ten times a second some slice loses its only host: each loss is urgent. Turns go on beside.
    for k in 0..60 {
        let now = 111.0 + 0.1 * f64::from(k);
        let slice = steward.slices.get_mut(&SliceId(k as u16 % 12)).expect("in charge");
        (slice.written, slice.owner, slice.standby) = (vec![(host(9), 1.0).into()], Some(host(2)), None);
        let round = if k % 10 == 0 { turn(now) } else { news(now, Vec::new()) };
        write(&mut steward, round);
    }
    let drains = write(&mut steward, news(117.0, vec![listed(1, Phase::Draining, None)]));
    let later = write(&mut steward, turn(117.9));
    assert!(drains.shut.iter().chain(&later.shut).any(|shut| *shut == (host(1), true)), "within a turn");
    let most = sent.iter().map(|from| sent.iter().filter(|at| (0.0..10.0).contains(&(**at - from))).count());
    assert!(most.max().is_some_and(|most| (10..20).contains(&most)));
}

fn confirms(now: Seconds, proxies: &[u16], mark: BarrierId) -> EventBatch {
    let confirmed = proxies.iter().map(|n| BarrierAck { proxy: ProxyId(*n), barrier: mark }).collect();
    EventBatch { barrier_acks: confirmed, ..turn(now) }
}

fn leaves(now: Seconds, proxy: u16) -> EventBatch {
    EventBatch { proxy_streams: vec![ProxyStreamEvent::Disconnected(ProxyId(proxy))], ..turn(now) }
}

/// Rounds until the next line with a weight, a turn a second; when that is.
fn named_at(steward: &mut Controller, from: Seconds) -> Seconds {
    (0..60)
        .map(|k| from + f64::from(k))
        .find(|now| {
            let mut written = Written::default();
            steward.handle_batch(&turn(*now), &mut written);
            written.lines.iter().any(|line| line.2 > 0.0)
        })
        .expect("named at last")
}

#[test]
fn a_single_owners_heir_is_named_once_no_write_to_the_former_owner_can_be_in_hand() {
    let mut steward = steward(ControllerConfig { single_owner: true, ..terms() });
    let mut written = Written::default();
    steward.handle_batch(&news(120.0, vec![listed(1, Phase::Draining, None)]), &mut written);
    let emptied: Vec<_> = (0..3).map(|k| (SliceId(4 * k), host(1), 0.0)).collect();
    assert_eq!(written.lines, emptied, "the drain is kept at once, nobody is named");
    let mark = *written.marks.last().expect("marked");
    // One proxy has applied it; the other knows nothing yet and may go on writing to the former owner.
    steward.handle_batch(&confirms(121.0, &[0], mark), &mut written);
    (122..130).for_each(|now| steward.handle_batch(&turn(f64::from(now)), &mut written));
    assert_eq!(written.lines.len(), 3, "still nobody");
    steward.handle_batch(&confirms(130.0, &[1], mark), &mut written);
    assert_eq!(named_at(&mut steward, 130.5), 133.5, "a write's life after the last proxy knows");
    assert!(steward
        .slices
        .values()
        .all(|slice| slice.written.len() == 1 && slice.written[0].host != host(1)));
}

#[test]
fn a_proxy_that_left_with_an_owners_line_is_waited_for_by_its_lease() {
    let mut steward = steward(ControllerConfig { single_owner: true, ..terms() });
    let mut written = Written::default();
    steward.handle_batch(&news(120.0, vec![listed(1, Phase::Draining, None)]), &mut written);
    let mark = *written.marks.last().expect("marked");
    steward.handle_batch(&confirms(121.0, &[0], mark), &mut written);
    steward.handle_batch(&leaves(122.0, 1), &mut written);
    // It may write until 126, and that write lasts until 129.
    assert_eq!(named_at(&mut steward, 122.5), 129.5);
}

#[test]
fn a_single_owners_table_that_comes_empty_may_have_just_been_emptied() {
    let mut steward = steward(ControllerConfig { single_owner: true, ..terms() });
    let charge = SliceAssignment::Assigned { slice: SliceId(2), entries: Vec::new() };
    let mut written = Written::default();
    steward.handle_batch(&EventBatch { assignments: vec![charge], ..turn(140.0) }, &mut written);
    assert!(written.lines.is_empty());
    let mark = *written.marks.last().expect("all are asked whether they know");
    steward.handle_batch(&confirms(141.0, &[0, 1], mark), &mut written);
    assert_eq!(
        named_at(&mut steward, 141.5),
        147.5,
        "the lease of those that stand nowhere, and a write's life"
    );
    // Nobody answers: after a while all are asked anew.
    let charge = SliceAssignment::Assigned { slice: SliceId(3), entries: Vec::new() };
    let mut written = Written::default();
    steward.handle_batch(&EventBatch { assignments: vec![charge], ..turn(150.0) }, &mut written);
    (151..175).for_each(|now| steward.handle_batch(&turn(f64::from(now)), &mut written));
    assert_eq!((written.lines.len(), written.marks.len()), (0, 2));
}

#[test]
fn lost_confirmations_are_asked_for_by_a_mark_alone() {
    let mut steward = steward(terms());
    let mut written = Written::default();
    (0..3).for_each(|k| steward.handle_batch(&turn(101.0 + f64::from(k)), &mut written));
    let (marks, waits) = (written.marks.len(), steward.channel.updates().len());
    assert!(waits > 0, "nobody confirmed the first tables");
    let stands = (0..2).map(|k| ProxyStreamEvent::Connected(ProxyId(k))).collect();
    steward.handle_batch(&EventBatch { proxy_streams: stands, ..turn(110.0) }, &mut written);
    (0..3).for_each(|k| steward.handle_batch(&turn(111.0 + f64::from(k)), &mut written));
    assert_eq!((written.marks.len(), steward.channel.updates().len()), (marks + 1, waits + 1), "once");
}
