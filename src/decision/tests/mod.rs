use super::*;
use std::net::SocketAddr;

mod backlog;
mod rare;

#[derive(Default)]
struct Written {
    lines: Vec<(SliceId, HostId, f64)>,
    tables: usize,
    levels: Vec<(ClassId, f64, RetryPolicy)>,
    probes: Vec<HostId>,
    marks: Vec<BarrierId>,
    shut: Vec<(HostId, bool)>,
}

impl CommandSink for Written {
    fn set_weight(&mut self, slice: SliceId, host: HostId, weight: f64) {
        self.lines.push((slice, host, weight));
    }
    fn assign_table(&mut self, _: SliceId, _: ProxyId) {
        self.tables += 1;
    }
    fn set_admission_rate(&mut self, class: ClassId, rate: f64, retry_policy: RetryPolicy) {
        self.levels.push((class, rate, retry_policy));
    }
    fn exclude_host(&mut self, host: HostId) {
        self.shut.push((host, true));
    }
    fn readmit_host(&mut self, host: HostId) {
        self.shut.push((host, false));
    }
    fn set_barrier(&mut self, barrier: BarrierId) {
        self.marks.push(barrier);
    }
    fn check_health(&mut self, host: HostId) {
        self.probes.push(host);
    }
    fn set_timer(&mut self, _: Seconds, _: TimerId) {}
    fn report(&mut self, _: DecisionEvent) {}
}

fn host(n: u8) -> HostId {
    HostId::from(SocketAddr::from(([10, 0, 0, n], 80)))
}

fn class(repeat: Idempotency, gain: f64) -> ClassConfig {
    ClassConfig { contract_time: 1.0, priority_weight: gain, idempotency: repeat }
}

fn terms() -> ControllerConfig {
    ControllerConfig {
        classes: vec![class(Idempotency::Safe, 1.0), class(Idempotency::Never, 5.0)],
        slice_count: 12,
        single_owner: false,
        write_lease: 4.0,
        max_write_duration: 3.0,
        health_checks_allowed: true,
        delisted_may_serve: true,
        admission_by_fraction: true,
        cold_capacity_fraction: 0.2,
        warm_up_time: 10.0,
        overload_multiple: 2.5,
        backlog_limit: 100_000.0,
        message_overhead: 8.0,
        message_quota: 20,
        message_quota_window: 10.0,
        first_attempt_timeout_multiple: 1.0,
    }
}

fn listed(n: u8, phase: Phase, started: Option<Seconds>) -> EndpointEntry {
    EndpointEntry { host: host(n), phase, started_at: started, weight: 4.0, kind: KindId(0) }
}

fn news(now: Seconds, entries: Vec<EndpointEntry>) -> EventBatch {
    EventBatch {
        now,
        endpoint_lists: vec![EndpointList { complete: false, entries }],
        ..EventBatch::default()
    }
}

fn turn(now: Seconds) -> EventBatch {
    EventBatch { now, timers: vec![TimerId(0)], ..EventBatch::default() }
}

/// A steward at second 100 with four warm hosts, twelve slices dealt out in turn, and two proxies.
fn steward(terms: ControllerConfig) -> Controller {
    let mut steward = Controller::new(terms);
    let entries = (1..=4).map(|n| listed(n, Phase::Ready, None)).collect();
    let mut round = news(100.0, entries);
    round.assignments = (0..12)
        .map(|k| SliceAssignment::Assigned {
            slice: SliceId(k),
            entries: vec![(host(1 + k as u8 % 4), 1.0).into()],
        })
        .collect();
    round.proxy_streams = (0..2).map(|k| ProxyStreamEvent::Connected(ProxyId(k))).collect();
    steward.handle_batch(&round, &mut Written::default());
    steward
}

/// Gives each slice so many operations a second, and each owner the tries that go with it.
fn work(steward: &mut Controller, now: Seconds, each: f64, mean_time: Seconds) {
    for slice in steward.slices.values_mut() {
        slice.demand[0] = DecayingRate::default();
        slice.demand[0].add(now, each, 1.0, MEMORY);
    }
    for host in steward.hosts.values_mut() {
        (host.core_time, host.completed) =
            (DecayingSum { value: mean_time * 100.0, at: now }, DecayingSum { value: 100.0, at: now });
    }
}

fn owned(steward: &Controller, n: u8) -> usize {
    steward.slices.values().filter(|slice| slice.owner == Some(host(n))).count()
}

#[test]
fn score_rises_by_the_papers_examples_and_falls_by_the_step() {
    assert_eq!(next_score(32.0, 10.0, 5.0, 1.0), 64.0);
    assert!((next_score(32.0, 100.0, 1.0, 1.0) - 35.2).abs() < 1e-9);
    assert!((next_score(32.0, 10.0, 0.0, 1.0) - (32.0 - 100.0 / MIN_TTR)).abs() < 1e-9);
    assert_eq!(next_score(90.0, 10.0, 10.0, 1.0), 100.0);
    assert_eq!(next_score(2.0, 10.0, 0.0, 3.0), 1.0);
    assert_eq!(next_score(8.0, 10.0, 10.0, 2.0), 32.0);
}

#[test]
fn a_pair_without_report_keeps_its_score() {
    let mut pair = ZoneHealthScore { score: 40.0, ..ZoneHealthScore::untried() };
    pair.epoch(1.0, false);
    assert_eq!((pair.score, pair.window.len()), (40.0, 0));
}

#[test]
fn percentile_is_the_windowed_30th() {
    assert_eq!(at_share((1..=10).map(f64::from).collect(), PERCENTILE), Some(4.0));
    assert_eq!(at_share(Vec::new(), PERCENTILE), None);
}

#[test]
fn outlier_needs_the_gap_above_the_next() {
    assert_eq!(outlier(&[(host(1), 1.0), (host(2), 31.0)]), Some(host(2)));
    assert_eq!(outlier(&[(host(1), 50.0), (host(2), 79.0)]), None);
    assert_eq!(outlier(&[(host(1), 100.0), (host(2), 100.0)]), None);
    assert_eq!(outlier(&[(host(1), 100.0)]), None);
}

fn sum(n: u8, failed: f64) -> HostLoadReport {
    HostLoadReport {
        zone: ZoneId(0),
        host: host(n),
        attempts: 20.0,
        failed,
        mean_latency: 0.1,
        span: 1.0,
        cpu_utilization: None,
    }
}

fn failing(now: Seconds, n: u8) -> EventBatch {
    let tries = (1..=4).map(|k| sum(k, if k == n { 10.0 } else { 0.0 })).collect();
    EventBatch { host_loads: tries, ..turn(now) }
}

#[test]
fn a_failing_host_is_withdrawn_alone_and_returns_once_its_score_is_down() {
    let mut steward = steward(terms());
    (1..12).for_each(|k| steward.handle_batch(&failing(100.0 + f64::from(k), 2), &mut Written::default()));
    assert_eq!((steward.withdrawn, owned(&steward, 2)), (Some(host(2)), 0));
    steward.handle_batch(&failing(112.0, 3), &mut Written::default());
    assert_eq!(steward.withdrawn, Some(host(2)));
    // Withdrawn again a second after its return on norrland-portal rough-1: the score must be under the gap.
    let mut now = 113.0;
    while steward.withdrawn.is_some() {
        steward.handle_batch(&turn(now), &mut Written::default());
        now += 1.0;
    }
    assert!(steward.hosts[&host(2)].pairs[&ZoneId(0)].score < GAP);
}

#[test]
fn the_hash_is_fixed_and_moves_only_what_a_lost_host_held() {
    let best = |slice, hosts: std::ops::RangeInclusive<u8>| {
        hosts.max_by(|a, b| rendezvous(slice, host(*a), 4.0).total_cmp(&rendezvous(slice, host(*b), 4.0)))
    };
    for slice in (0..60).map(SliceId) {
        let before = best(slice, 1..=8).expect("some host");
        if before != 8 {
            assert_eq!(best(slice, 1..=7), Some(before));
        }
    }
    let held = (0..800).filter(|k| best(SliceId(*k), 1..=8) == Some(3)).count();
    assert!((60..140).contains(&held), "{held}");
}

#[test]
fn a_restarted_steward_keeps_the_stored_tables() {
    let steward = steward(terms());
    assert!((1..=4).all(|n| owned(&steward, n) == 3));
}

#[test]
fn nothing_new_writes_nothing() {
    let mut steward = steward(terms());
    let mut written = Written::default();
    steward.handle_batch(&turn(101.0), &mut written);
    assert!(written.lines.is_empty() && written.levels.is_empty());
}

#[test]
fn a_stored_table_is_not_rewritten_for_its_standby_though_the_store_tells_it_rounded() {
    let mut steward = steward(terms());
    let stored = |k: u16| vec![(host(4), 0.0).into(), (host(1 + (k % 3) as u8), 1.0).into()];
    let charges =
        (0..12).map(|k| SliceAssignment::Assigned { slice: SliceId(k), entries: stored(k) }).collect();
    let mut written = Written::default();
    steward.handle_batch(&EventBatch { assignments: charges, ..turn(101.0) }, &mut written);
    assert!(written.lines.is_empty(), "{:?}", written.lines);
    assert!(steward.slices.values().all(|slice| slice.standby == Some(host(4))));
}

#[test]
fn slices_from_another_steward_count_as_usual_until_they_are_heard_of() {
    let mut steward = steward(terms());
    work(&mut steward, 101.0, 2.0, 0.1);
    let given = |k| SliceAssignment::Assigned { slice: SliceId(k), entries: vec![(host(1), 1.0).into()] };
    let charges = (0..6).map(given).collect();
    steward.handle_batch(
        &EventBatch { now: 101.1, assignments: charges, ..EventBatch::default() },
        &mut Written::default(),
    );
    let rate = |steward: &Controller, k: u16| steward.rate(&steward.slices[&SliceId(k)]);
    assert_eq!((rate(&steward, 0), rate(&steward, 7)), (2.0, 2.0));
    let held = f64::from(owned(&steward, 1) as u16);
    assert_eq!(steward.loads(101.1)[&host(1)].demand, held * 2.0);
    let told = SliceLoadReport { slice: SliceId(0), class: ClassId(0), operations: 5.0, span: 1.0 };
    steward.handle_batch(&EventBatch { slice_loads: vec![told], ..turn(103.5) }, &mut Written::default());
    assert_eq!((rate(&steward, 0), rate(&steward, 1)), (5.0, 2.0));
    // One that is never heard of has no traffic.
    steward.handle_batch(&turn(101.1 + UNHEARD), &mut Written::default());
    assert_eq!(rate(&steward, 1), 0.0);
}

#[test]
fn reports_that_reach_back_to_before_a_slice_was_given_count_for_the_time_since() {
    let mut steward = steward(terms());
    let given = SliceAssignment::Assigned { slice: SliceId(0), entries: vec![(host(1), 1.0).into()] };
    steward.handle_batch(&EventBatch { assignments: vec![given], ..turn(110.0) }, &mut Written::default());
    // Six operations came in the second that this report can tell of, not in five; of another slice it tells all.
    let told = |k| SliceLoadReport { slice: SliceId(k), class: ClassId(0), operations: 6.0, span: 5.0 };
    steward.handle_batch(
        &EventBatch { slice_loads: vec![told(0), told(1)], ..turn(112.0) },
        &mut Written::default(),
    );
    let rate = |k: u16| steward.rate(&steward.slices[&SliceId(k)]);
    assert!((rate(0) - 6.0).abs() < 1e-9 && (rate(1) - 1.2).abs() < 1e-9, "{} {}", rate(0), rate(1));
    // The first report of a steward that has just started is no sign that the host had little in hand.
    assert_eq!(covered(103.0, steward.charged_at, 5.0), 2.0);
    assert_eq!(covered(100.3, steward.charged_at, 5.0), LEAST_SPAN);
}

#[test]
fn a_draining_host_leaves_every_table_at_once_and_its_heir_comes_first() {
    let (steward_before, mut steward) = (steward(terms()), steward(terms()));
    let mut written = Written::default();
    steward.handle_batch(&news(100.5, vec![listed(2, Phase::Draining, None)]), &mut written);
    assert!(steward.slices.values().all(|s| s.written.iter().all(|line| line.host != host(2))));
    for (k, line) in written.lines.iter().enumerate().filter(|(_, line)| line.1 == host(2)) {
        assert_eq!(line.2, 0.0);
        let owner = steward.slices[&line.0].owner.expect("an heir");
        let before = written.lines[..k].contains(&(line.0, owner, 1.0));
        assert!(before || steward_before.slices[&line.0].owner == Some(owner));
    }
}

#[test]
fn a_host_the_list_drops_stays_while_it_answers_if_it_did_not_drain() {
    // wrong_list on magnolia-main-later: live hosts were called gone and the rest jammed.
    for (may_stay, phase, slices) in
        [(true, Phase::Ready, 3), (true, Phase::Draining, 0), (false, Phase::Ready, 0)]
    {
        let mut steward = steward(ControllerConfig { delisted_may_serve: may_stay, ..terms() });
        steward.handle_batch(&news(100.2, vec![listed(4, phase, None)]), &mut Written::default());
        let entries = (1..=3).map(|n| listed(n, Phase::Ready, None)).collect();
        let round = EventBatch {
            now: 100.5,
            endpoint_lists: vec![EndpointList { complete: true, entries }],
            ..EventBatch::default()
        };
        steward.handle_batch(&round, &mut Written::default());
        assert_eq!(owned(&steward, 4), slices);
        (0..2).for_each(|_| {
            steward.handle_batch(&probed(101.0, 4, HealthCheckOutcome::Unreachable), &mut Written::default())
        });
        assert_eq!((owned(&steward, 4), steward.hosts[&host(4)].phase), (0, Phase::Gone));
    }
}

#[test]
fn a_host_the_list_adds_is_trusted_once_it_answers() {
    // Ghosts took slices since an unknown host looked as fast as the usual one, and filled the health limit.
    let mut steward = steward(terms());
    let mut written = Written::default();
    steward
        .handle_batch(&news(100.5, (5..=9).map(|n| listed(n, Phase::Ready, None)).collect()), &mut written);
    assert_eq!(written.probes.len(), 5);
    (0..2)
        .for_each(|_| steward.handle_batch(&probed(101.0, 2, HealthCheckOutcome::Unreachable), &mut written));
    assert!(steward.hosts[&host(2)].down && (5..=9).all(|n| !steward.hosts[&host(n)].usable()));
    steward.handle_batch(&probed(101.0, 5, HealthCheckOutcome::Passed), &mut written);
    assert!(steward.hosts[&host(5)].usable() && !steward.hosts[&host(6)].usable());
}

#[test]
fn a_cold_host_holds_no_more_than_its_fill_and_sheds_past_the_limit() {
    let mut steward = steward(terms());
    work(&mut steward, 101.0, 4.0, 0.1);
    steward.handle_batch(&news(101.0, vec![listed(1, Phase::Ready, Some(100.9))]), &mut Written::default());
    let load = steward.loads(101.0)[&host(1)];
    assert!(load.cold && load.utilisation(0.0) <= COLD_SHED * 2.5, "{}", load.utilisation(0.0));
    assert!(owned(&steward, 1) < 3);
}

#[test]
fn a_cold_host_is_believed_warmer_than_its_least_but_filled_by_the_least() {
    // hf799d7 on norrland-portal-later: given 0.35 of four times its least, a cold host fell over.
    let mut steward = steward(ControllerConfig { overload_multiple: 4.0, ..terms() });
    steward.handle_batch(&news(101.0, vec![listed(1, Phase::Ready, Some(100.9))]), &mut Written::default());
    for now in [101.0, 104.0, 108.0] {
        let load = steward.loads(now)[&host(1)];
        let least = 4.0 * steward.hosts[&host(1)].warmth(now, &steward.terms);
        assert!(load.capacity > least && load.fill <= FULL, "{now}");
        assert!(load.fill * load.capacity <= COLD_FILL * 4.0 * least + 1e-9, "{now}");
    }
}

#[test]
fn cold_hosts_alone_are_not_given_what_the_lost_ones_held() {
    // Two zone losses in a row on ishikari-labels: all that was left fell over.
    let mut steward = steward(ControllerConfig { delisted_may_serve: false, ..terms() });
    work(&mut steward, 101.0, 10.0, 0.1);
    let lost = (2..=4).map(|n| listed(n, Phase::Gone, None)).chain([listed(1, Phase::Ready, Some(100.9))]);
    steward.handle_batch(&news(101.0, lost.collect()), &mut Written::default());
    assert!(steward.slices.values().any(|slice| slice.owner.is_none()));
    assert!(steward.loads(101.0)[&host(1)].utilisation(0.0) <= COLD_SHED * 2.5);
}

#[test]
fn no_table_is_empty_while_a_warm_host_is_listed() {
    let mut steward = steward(terms());
    (1..=3).for_each(|n| steward.hosts.get_mut(&host(n)).expect("listed").down = true);
    steward.handle_batch(&news(101.0, vec![listed(4, Phase::Draining, None)]), &mut Written::default());
    assert!(steward.slices.values().all(|slice| !slice.written.is_empty()));
}

fn probed(now: Seconds, n: u8, end: HealthCheckOutcome) -> EventBatch {
    EventBatch {
        now,
        health_checks: vec![HealthCheckResult { host: host(n), outcome: end }],
        ..EventBatch::default()
    }
}

#[test]
fn an_unreachable_host_is_probed_again_and_then_left() {
    let mut steward = steward(terms());
    let mut written = Written::default();
    steward.handle_batch(&probed(101.0, 2, HealthCheckOutcome::Unreachable), &mut written);
    assert_eq!((written.probes, owned(&steward, 2)), (vec![host(2)], 3));
    steward.handle_batch(&probed(101.1, 2, HealthCheckOutcome::Unreachable), &mut Written::default());
    assert_eq!(owned(&steward, 2), 0);
}

#[test]
fn a_silent_host_that_completes_operations_is_only_full() {
    // Deep probes of saturated hosts time out: calling them down emptied them onto the rest.
    let mut steward = steward(terms());
    for k in 0..5 {
        let now = 101.0 + f64::from(k);
        steward.hosts.get_mut(&host(2)).expect("listed").last_good = now;
        steward.handle_batch(&probed(now, 2, HealthCheckOutcome::Failed), &mut Written::default());
    }
    assert!(!steward.hosts[&host(2)].down);
    // Incident i9b6696: with a report every few seconds, busy hosts were called down 94 times.
    let silence = |steward: &mut Controller, at| {
        (0..3).for_each(|k| {
            steward
                .handle_batch(&probed(at + k as f64, 2, HealthCheckOutcome::Failed), &mut Written::default())
        });
        steward.hosts[&host(2)].down
    };
    assert!(!silence(&mut steward, 108.0));
    steward.hear_tries(111.0, &sum(2, 20.0));
    assert!(silence(&mut steward, 112.0));
}

#[test]
fn if_most_hosts_fail_nobody_is_down() {
    let mut steward = steward(terms());
    for n in 1..=4 {
        for _ in 0..2 {
            steward.handle_batch(&probed(101.0, n, HealthCheckOutcome::Unreachable), &mut Written::default());
        }
    }
    assert_eq!(steward.hosts.values().filter(|host| host.down).count(), 2);
}

#[test]
fn the_hottest_slice_leaves_a_lagging_host_for_the_fastest() {
    let mut steward = steward(terms());
    work(&mut steward, 101.0, 5.0, 0.1);
    steward.slices.get_mut(&SliceId(0)).expect("given").demand[0].amount.value = 14.0;
    steward.slices.get_mut(&SliceId(4)).expect("given").demand[0].amount.value = 12.0;
    steward.hosts.get_mut(&host(3)).expect("listed").core_time.value = 5.0;
    steward.hosts.get_mut(&host(1)).expect("listed").lag_turns = LAG_TURNS;
    let mut loads = steward.loads(101.0);
    steward.follow_latency(101.0, &mut loads);
    assert_eq!(steward.slices[&SliceId(0)].owner, Some(host(3)));
    assert_eq!(steward.slices[&SliceId(4)].owner, Some(host(1)));
}

#[test]
fn moves_end_with_the_cap() {
    let mut steward = steward(terms());
    work(&mut steward, 101.0, 5.0, 0.1);
    steward.slices.get_mut(&SliceId(0)).expect("given").demand[0].amount.value = 28.0;
    steward.hosts.get_mut(&host(1)).expect("listed").lag_turns = LAG_TURNS;
    (steward.moves, steward.moves_at) = (0.5, 101.0);
    let mut loads = steward.loads(101.0);
    steward.follow_latency(101.0, &mut loads);
    assert_eq!(owned(&steward, 1), 3);
}

#[test]
fn overload_lowers_the_least_gain_first_and_stops_further_tries() {
    let mut steward = steward(terms());
    work(&mut steward, 101.0, 16.0, 0.1);
    let loads = steward.loads(101.0);
    steward.set_levels(&loads);
    assert!(steward.levels[0] < 1.0 && steward.levels[1] == 1.0);
    let mut written = Written::default();
    steward.flush(101.0, true, &mut written);
    assert!(written.levels.iter().all(|level| level.2 == RetryPolicy::Never));
}

#[test]
fn a_try_that_may_have_run_is_followed_only_while_hosts_have_room() {
    // Incident i9b6696: second tries took a growing fleet from two thirds of what it could do into a jam.
    for (each, way) in [(3.0, RetryPolicy::AfterFailure), (8.5, RetryPolicy::IfNotExecuted)] {
        let mut steward = steward(terms());
        work(&mut steward, 101.0, each, 0.1);
        steward.levels_written[0].1 = RetryPolicy::Never;
        let loads = steward.loads(101.0);
        steward.set_levels(&loads);
        let mut written = Written::default();
        steward.flush(101.0, true, &mut written);
        assert_eq!(written.levels[0], (ClassId(0), 1.0, way));
    }
}

#[test]
fn after_a_surge_all_are_let_in_again_within_seconds() {
    let mut steward = steward(terms());
    work(&mut steward, 101.0, 2.0, 0.1);
    steward.levels[0] = 0.4;
    let loads = steward.loads(101.0);
    let turns = (1..20).find(|_| {
        steward.set_levels(&loads);
        steward.levels[0] == 1.0
    });
    assert!(turns.is_some_and(|turns| (4..=8).contains(&turns)), "{turns:?}");
}

#[test]
fn slices_that_are_not_heard_of_yet_leave_no_room_for_further_tries() {
    // Eight operations a second for each of twelve slices, half of which have just come from another steward.
    let mut steward = steward(terms());
    work(&mut steward, 101.0, 8.0, 0.1);
    let given = |k| SliceAssignment::Assigned {
        slice: SliceId(k),
        entries: vec![(host(1 + k as u8 % 4), 1.0).into()],
    };
    let charges = (0..6).map(given).collect();
    steward.handle_batch(&EventBatch { assignments: charges, ..turn(101.0) }, &mut Written::default());
    assert!((steward.filled - 12.0 * 8.0 * 0.1 / 16.0).abs() < 0.05, "{}", steward.filled);
}

#[test]
fn repeats_that_could_take_effect_twice_are_never_ordered() {
    assert_eq!(class(Idempotency::Never, 1.0).may_repeat(1.0), RetryPolicy::IfNotExecuted);
    assert_eq!(class(Idempotency::IdempotencyKeyLocal, 1.0).may_repeat(1.0), RetryPolicy::IfNotExecuted);
    assert_eq!(
        class(Idempotency::IdempotencyKeyGlobal(1.5), 1.0).may_repeat(1.0),
        RetryPolicy::IfNotExecuted
    );
    assert_eq!(class(Idempotency::IdempotencyKeyGlobal(5.0), 1.0).may_repeat(1.0), RetryPolicy::AfterFailure);
}

#[test]
fn ordinary_deltas_leave_part_of_the_message_allowance() {
    let mut steward = steward(terms());
    steward.sent = (0..14).map(|_| 101.0).collect();
    steward.levels[0] = 0.5;
    let mut written = Written::default();
    steward.flush(101.0, true, &mut written);
    assert!(written.levels.is_empty());
    steward.hosts.get_mut(&host(1)).expect("listed").phase = Phase::Draining;
    steward.slices.values_mut().for_each(|slice| slice.owner = slice.owner.map(|o| o.max(host(2))));
    steward.flush(101.0, true, &mut written);
    assert_eq!(written.levels.len(), 2);
    steward.sent = (0..19).map(|_| 101.0).collect();
    steward.levels[0] = 0.4;
    steward.flush(101.0, true, &mut written);
    assert_eq!(written.levels.len(), 2);
}

#[test]
fn a_slow_channel_is_seen_by_its_marks_and_keeps_room_for_hosts_that_must_be_left() {
    // Counted as if it sent at an eighth of its pace, the channel starved a deploy on magnolia-main-later.
    let mut steward = steward(ControllerConfig { backlog_limit: 50.0, message_overhead: 0.0, ..terms() });
    let mut written = Written::default();
    steward.channel = UpdateBacklog::default();
    steward.slices.values_mut().for_each(|slice| slice.standby = Some(host(4)));
    steward.flush(200.0, true, &mut written);
    let ordinary = written.lines.len();
    assert!(ordinary < 16, "{ordinary}");
    steward.hosts.get_mut(&host(1)).expect("listed").phase = Phase::Draining;
    steward.slices.values_mut().for_each(|slice| slice.owner = slice.owner.map(|o| o.max(host(2))));
    steward.flush(201.0, true, &mut written);
    assert_eq!(written.shut, [(host(1), true)]);
    let mark = *written.marks.last().expect("marked");
    (0..2).for_each(|k| steward.hear_confirmed(200.0, &BarrierAck { proxy: ProxyId(k), barrier: mark }));
    assert!(steward.channel.is_empty());
}

#[test]
fn without_slices_all_hosts_are_one_table_and_each_proxy_gets_it() {
    let mut steward = Controller::new(ControllerConfig { slice_count: 0, ..terms() });
    let mut round = news(100.0, (1..=3).map(|n| listed(n, Phase::Ready, None)).collect());
    round.proxy_streams = vec![ProxyStreamEvent::Connected(ProxyId(4))];
    let mut written = Written::default();
    steward.handle_batch(&round, &mut written);
    assert_eq!((written.lines.len(), written.tables), (3, 1));
}

#[test]
fn what_the_steward_does_not_know_is_ignored() {
    let mut steward = steward(terms());
    let mut round = failing(101.0, 1);
    round.host_loads.iter_mut().for_each(|sum| sum.host = host(99));
    round.health_checks.push(HealthCheckResult { host: host(99), outcome: HealthCheckOutcome::Passed });
    round.slice_loads.push(SliceLoadReport {
        slice: SliceId(77),
        class: ClassId(9),
        operations: 1.0,
        span: 1.0,
    });
    round.assignments.push(SliceAssignment::Revoked { slice: SliceId(77) });
    round.proxy_streams.push(ProxyStreamEvent::Disconnected(ProxyId(9)));
    steward.handle_batch(&round, &mut Written::default());
    assert_eq!(steward.slices.len(), 12);
}

#[test]
fn zones_that_report_apart_teach_the_same_speed_as_together() {
    // With few report lines a second, a busy host looked twice as slow to reports that came one by one.
    let mut host = Host::new(&listed(1, Phase::Ready, None));
    for (k, zone) in [0, 1, 0, 1, 0, 1].into_iter().enumerate() {
        let report =
            HostLoadReport { zone: ZoneId(zone), span: 2.0, cpu_utilization: Some(0.5), ..sum(1, 0.0) };
        host.learn_speed(10.0 + k as f64, &report, 4.0, 1.0);
    }
    // Half of four cores over 20 operations a second.
    assert!((host.service_time(16.0, 0.1) - 0.1).abs() < 0.02, "{}", host.service_time(16.0, 0.1));
}

#[test]
fn a_slice_that_reports_seldom_has_the_rate_of_the_time_covered() {
    let mut demand = DecayingRate::default();
    demand.add(100.0, 10.0, 1.0, MEMORY);
    demand.add(106.0, 60.0, 6.0, MEMORY);
    assert!((demand.read() - 10.0).abs() < 1e-9);
}

#[test]
fn a_host_without_news_goes_back_to_the_usual_speed() {
    // Hosts that jammed at the start had no slices and no reports, and were left out for the day.
    let mut host = Host::new(&listed(1, Phase::Ready, None));
    host.core_time = DecayingSum { value: 50.0, at: 10.0 };
    host.completed = DecayingSum { value: 50.0, at: 10.0 };
    assert!(host.service_time(10.0, 0.1) > 0.9);
    assert!(host.service_time(10.0 + 6.0 * SPEED_MEMORY, 0.1) < 0.13);
}

#[test]
fn nobody_is_withdrawn_while_levels_are_down() {
    // A zone loss on ishikari-labels: the best of six hosts left was withdrawn and the rest jammed.
    let mut steward = steward(terms());
    (1..12).for_each(|k| {
        steward.levels[0] = 0.5;
        steward.handle_batch(&failing(100.0 + f64::from(k), 2), &mut Written::default());
        steward.levels[0] = 0.5;
    });
    assert_eq!(steward.withdrawn, None);
}

#[test]
fn a_lost_host_is_shut_out_at_once_and_opened_for_every_proxy_that_comes_back() {
    // A data hall lost on ishikari-labels-later: its tables took longer to rewrite than the grace lasts.
    let mut steward = steward(terms());
    let mut written = Written::default();
    (0..2)
        .for_each(|_| steward.handle_batch(&probed(101.0, 2, HealthCheckOutcome::Unreachable), &mut written));
    assert_eq!(written.shut, [(host(2), true)]);
    steward.handle_batch(&probed(103.0, 2, HealthCheckOutcome::Passed), &mut written);
    // On norrland-portal-later 13 hosts answering one by one used up the messages that a drain then lacked.
    assert_eq!(written.shut.len(), 1);
    steward.handle_batch(&turn(103.5), &mut written);
    assert_eq!(written.shut[1..], [(host(2), false)]);
    let back = ProxyStreamEvent::Reconnected(ProxyId(1));
    steward.handle_batch(&EventBatch { proxy_streams: vec![back], ..turn(104.0) }, &mut written);
    assert_eq!(written.shut[2..], [(host(2), false)]);
}

#[test]
fn a_proxy_that_joins_later_learns_who_is_shut_out_while_tables_name_them() {
    let mut steward =
        steward(ControllerConfig { message_quota: 0, backlog_limit: 40.0, message_overhead: 0.0, ..terms() });
    steward.channel = UpdateBacklog::default();
    let mut written = Written::default();
    (0..2)
        .for_each(|_| steward.handle_batch(&probed(101.0, 2, HealthCheckOutcome::Unreachable), &mut written));
    assert!(steward.slices.values().any(|slice| slice.written.iter().any(|line| line.host == host(2))));
    steward.channel = UpdateBacklog::default();
    let late = ProxyStreamEvent::Connected(ProxyId(9));
    steward.handle_batch(&EventBatch { proxy_streams: vec![late], ..turn(102.0) }, &mut written);
    assert_eq!(written.shut, [(host(2), true), (host(2), true)]);
    steward.slices.values_mut().for_each(|slice| slice.written = vec![(host(1), 1.0).into()]);
    steward.shut.insert(host(2), None);
    assert!(steward.shut_out(110.0).is_empty());
}

#[test]
fn heirs_are_replicas_that_have_room_first() {
    let mut steward = steward(terms());
    work(&mut steward, 101.0, 2.0, 0.1);
    let spares: Vec<_> =
        steward.slices_of(host(2)).iter().map(|id| (*id, steward.slices[id].standby)).collect();
    steward.handle_batch(&news(101.0, vec![listed(2, Phase::Draining, None)]), &mut Written::default());
    assert!(spares.iter().all(|(id, spare)| spare.is_some() && steward.slices[id].owner == *spare));
}

#[test]
fn hosts_that_are_gone_for_long_are_forgotten_and_shut_out_no_more() {
    let mut steward = steward(terms());
    steward.terms.delisted_may_serve = false;
    let mut written = Written::default();
    // A new host takes the first one's place every ten seconds, under an id of its own.
    for n in 1..=60 {
        let now = 100.0 + 10.0 * f64::from(n);
        let entries = vec![listed(n, Phase::Gone, None), listed(n + 4, Phase::Ready, Some(now))];
        steward.handle_batch(&news(now, entries), &mut written);
        let end = HealthCheckOutcome::Passed;
        let answer = HealthCheckResult { host: host(n + 4), outcome: end };
        steward.handle_batch(
            &EventBatch { now: now + 0.1, health_checks: vec![answer], ..EventBatch::default() },
            &mut written,
        );
        (1..10).for_each(|second| steward.handle_batch(&turn(now + f64::from(second)), &mut written));
        assert!(steward.hosts.len() <= 8 && steward.shut.len() <= 8, "{}", steward.hosts.len());
    }
    assert!(written.shut.contains(&(host(1), true)), "a host that is gone is shut out at once");
    let last = written.shut.iter().rev().find(|(id, _)| *id == host(1));
    assert_eq!(last, Some(&(host(1), false)), "its id may come back");
    assert!(steward
        .slices
        .values()
        .all(|slice| slice.owner.is_some_and(|id| steward.hosts.contains_key(&id))));
}
