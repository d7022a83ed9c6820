//! All of a steward's decisions. Make a `Controller` from its `ControllerConfig`, then call `Controller::handle_batch` with all that
//! came in; decisions go straight into the `CommandSink` passed along. Both are defined in `interface`.
//! A round takes in the news. Once a second it is also a turn, which judges hosts and moves slices.
//! List news and health verdicts act at once. What changed leaves as one delta at the end.
use crate::decaying::{at_share, DecayingRate, DecayingSum};
use crate::interface::*;
use crate::update_backlog::{Update, UpdateBacklog};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Seconds between turns, and the design's epoch.
const EPOCH: Seconds = 1.0;
/// Failures over tries that count as heavy degradation; the paper's figure.
const RATIO_THRESH: f64 = 0.1;
/// Seconds without failure that take a score from 100 to 1, and seconds of scores a host is judged on: short,
/// as troubles last tens of seconds.
const MIN_TTR: Seconds = 12.0;
const WINDOW: Seconds = 5.0;
/// Share of the windowed scores below the representative one; the paper's figure.
const PERCENTILE: f64 = 0.3;
/// Points an outlier stands above the next; the design's start.
const GAP: f64 = 30.0;
/// Score at which a withdrawn host is trusted again: under the gap, or it would be the outlier again at once.
const RETURN_SCORE: f64 = 25.0;
/// Slices that return in one turn: a few, so that a relapse costs little.
const RETURNS_PER_TURN: usize = 2;
/// Seconds over which demand and times are averaged: some tens of operations a host.
const MEMORY: Seconds = 4.0;
/// Seconds a slice that was given may be unheard of and count as usual: its first report comes within them.
const UNHEARD: Seconds = 4.0;
/// Seconds from the end of what a report covers to its coming, and the least it can cover: reports are
/// gathered each second and take as long on their way.
const REPORT_AGE: Seconds = 1.0;
const LEAST_SPAN: Seconds = 0.5;
/// Seconds over which a host's speed is averaged: long, since it decides most.
const SPEED_MEMORY: Seconds = 10.0;
/// Times the middle latency at which a host lags.
const LAG: f64 = 1.25;
/// Turns a host lags before a slice leaves it: rides out one noisy report.
const LAG_TURNS: u32 = 2;
/// Share of the lag a move must take away to be worth cold keys.
const WORTH_MOVING: f64 = 0.1;
/// Share of the hosts that may give up a slice in one turn: latencies are stale by a report, so not all.
const MOVES_PER_TURN: f64 = 0.3;
/// Seconds a moved slice stays put: until reports show the effect.
const REST: Seconds = 6.0;
/// Moves a slice may make in a second on average, 5000 a day: the design's cap on latency-led moves.
const MOVES_A_SECOND: f64 = 0.058;
/// Times its usual work that a slice costs a host that has not met its keys.
const COLD_KEYS: f64 = 1.5;
/// Operations that the usual speed counts for in a host's own: about what it completes in half a second.
const USUAL_COUNTS: f64 = 5.0;
/// Seconds an operation is taken to need before anything is known: too small to stop any placing.
const UNKNOWN_SERVICE: Seconds = 0.01;
/// Times the wait before a second try that a key's window must last: the first try may end late.
const KEY_SLACK: f64 = 3.0;
/// Weight of a standby's line beside the owner's 1: too small to draw first tries.
const STANDBY: f64 = 0.0001;
/// Share of a host's capacity an heir may be filled to before the next on the hash is asked.
const FULL: f64 = 0.75;
/// Parts of the multiple that fells a cold host: what it is given of its present capacity, and past what it
/// hands slices over again. Its work is misjudged by half at times; between the two nothing goes to and fro.
const COLD_FILL: f64 = 0.3;
const COLD_SHED: f64 = 0.4;
/// Times its present demand for which a host's latency is expected: demand swings, and nearly full hosts tip.
const SWING: f64 = 1.3;
/// Past this utilisation the latency curve goes on as a line of this slope, close to its own, to stay finite.
const STEEP: f64 = 0.95;
const STEEPNESS: f64 = 10.0;
/// Probes without answer that count as proof, when the process can't be reached or when it is silent.
const SILENT_PROBES: u32 = 3;
const UNREACHED_PROBES: u32 = 2;
/// Seconds without a completed operation, while sums show failed ones, that go with silent probes.
const SILENT_SUMS: Seconds = 2.0;
/// Seconds after which a host that is gone is forgotten: its speed is a rumour by then.
const FORGET_AFTER: Seconds = 20.0;
/// Share of the listed hosts that ever served that may be judged down: if most fail, the fault is elsewhere.
const MOST_DOWN: f64 = 0.5;
/// Utilisation of all hosts together at which levels begin to fall.
const OVERLOAD: f64 = 0.7;
/// Utilisation up to which tries that may have run are followed: past it they take room that others need.
const RETRY_ROOM: f64 = 0.5;
/// Most a level falls (in seconds) or rises (slowly) in one turn, and the least change worth an order to all.
const LEVEL_FALL: f64 = 0.3;
const LEVEL_RISE: f64 = 0.1;
const LEVEL_STEP: f64 = 0.02;
/// Share of the allowance of messages past which deltas leave once a turn: with a span of some ten turns, the
/// rest then lasts until the first of them count no more, and none waits longer than a turn.
const AT_ONCE: f64 = 0.45;
/// Messages of the allowance kept back for urgent deltas.
const URGENT_MESSAGES: usize = 6;
/// Seconds after which a delta that nobody confirmed does not count as waiting: confirmations get lost, and a
/// full backlog takes some two seconds, on a channel at an eighth of its pace under this.
const MARK_LOST: Seconds = 20.0;
/// Seconds without an acknowledgement of the oldest update after which it has left the channel: longer than
/// the gap between two proxies where most were lost, half of a full backlog at an eighth of the pace.
const STALLED: Seconds = 8.0;
/// Share of the backlog limit that deltas may fill, and ordinary ones: what is urgent must not wait long.
const BACKLOG_USE: f64 = 0.9;
const ORDINARY_USE: f64 = 0.75;

/// The design's AIMD score of a host as one zone's proxies see it.
#[derive(Default)]
struct ZoneHealthScore {
    score: f64,
    tries: f64,
    failed: f64,
    span: Seconds,
    /// Operations in hand at the host for this zone, as last heard.
    in_hand: f64,
    heard: Seconds,
    window: Vec<(Seconds, f64)>,
}

impl ZoneHealthScore {
    fn untried() -> ZoneHealthScore {
        ZoneHealthScore { score: 1.0, ..ZoneHealthScore::default() }
    }

    /// One epoch. Without a report there is no evidence; a report over several epochs counts for each.
    fn epoch(&mut self, now: Seconds, withdrawn: bool) {
        if withdrawn {
            self.score = additive(self.score, 1.0);
        } else if self.tries > 0.0 {
            self.score = next_score(self.score, self.tries, self.failed, (self.span / EPOCH).max(1.0));
        }
        if withdrawn || self.tries > 0.0 {
            self.window.push((now, self.score));
        }
        (self.tries, self.failed, self.span) = (0.0, 0.0, 0.0);
        self.window.retain(|(at, _)| *at >= now - WINDOW);
    }
}

fn additive(score: f64, epochs: f64) -> f64 {
    (score - 100.0 * EPOCH * epochs / MIN_TTR).clamp(1.0, 100.0)
}

fn next_score(prev: f64, tries: f64, failed: f64, epochs: f64) -> f64 {
    if failed <= 0.0 {
        return additive(prev, epochs);
    }
    let near_thresh = (failed / tries).min(RATIO_THRESH) / RATIO_THRESH;
    (prev * (1.0 + near_thresh).powf(epochs)).clamp(1.0, 100.0)
}

impl ClassConfig {
    /// The widest way of trying again that can't take effect twice: a keyed operation only where every host
    /// drops the repeat, and with time to spare in the window that the first try opened.
    fn may_repeat(&self, first_wait: f64) -> RetryPolicy {
        let long = KEY_SLACK * first_wait * self.contract_time;
        match self.idempotency {
            Idempotency::Safe => RetryPolicy::AfterFailure,
            Idempotency::IdempotencyKeyGlobal(window) if window >= long => RetryPolicy::AfterFailure,
            Idempotency::IdempotencyKeyGlobal(_) | Idempotency::IdempotencyKeyLocal | Idempotency::Never => {
                RetryPolicy::IfNotExecuted
            }
        }
    }
}

/// Guards estimates after slices were given: a first report may reach back to before that, when nothing came,
/// and would tell of a fraction of the demand, or of a host with little in hand.
fn covered(now: Seconds, given_at: Seconds, span: Seconds) -> Seconds {
    span.min((now - given_at - REPORT_AGE).max(LEAST_SPAN))
}

/// The one host whose score stands a gap above all others.
fn outlier(scores: &[(HostId, f64)]) -> Option<HostId> {
    let top = scores.iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
    let next = scores.iter().filter(|s| s.0 != top.0).map(|s| s.1).fold(1.0, f64::max);
    (scores.len() > 1 && top.1 - next >= GAP).then_some(top.0)
}

#[derive(Default)]
struct Host {
    phase: Phase,
    weight: f64,
    kind: KindId,
    /// When it began to warm up: its last start, or the end of a silence.
    cold_since: Option<Seconds>,
    started: Option<Seconds>,
    pairs: BTreeMap<ZoneId, ZoneHealthScore>,
    core_time: DecayingSum,
    completed: DecayingSum,
    last_good: Seconds,
    last_bad: Seconds,
    misses: u32,
    unreached: bool,
    down: bool,
    dropped: bool,
    gone_at: Seconds,
    lag_turns: u32,
}

impl Host {
    fn new(listed: &EndpointEntry) -> Host {
        let EndpointEntry { phase, started_at: started, weight, kind, .. } = *listed;
        Host { phase, weight, kind, started, cold_since: started, ..Host::default() }
    }

    /// The list no longer has it.
    fn drop_out(&mut self, now: Seconds, may_stay: bool) {
        self.dropped = may_stay && self.usable();
        self.gone_at = if self.phase == Phase::Gone { self.gone_at } else { now };
        self.phase = if self.dropped { Phase::Ready } else { Phase::Gone };
    }

    fn usable(&self) -> bool {
        self.phase == Phase::Ready && !self.down
    }

    fn is_long_gone(&self, now: Seconds) -> bool {
        self.phase == Phase::Gone && now - self.gone_at > FORGET_AFTER
    }

    /// The least it can do now, as a share of what it can do warm; its square root is likely.
    fn warmth(&self, now: Seconds, terms: &ControllerConfig) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let grown = (now - since).max(0.0) / terms.warm_up_time.max(EPOCH);
        (terms.cold_capacity_fraction + (1.0 - terms.cold_capacity_fraction) * grown).clamp(0.01, 1.0)
    }

    /// Time one operation holds a core, without waiting. What is usual counts for a few operations: a host
    /// that jammed and lost its slices would otherwise look slow for ever, as nothing new is heard of it.
    fn service_time(&self, now: Seconds, usual: Seconds) -> Seconds {
        let core_time = self.core_time.read(now, SPEED_MEMORY) + USUAL_COUNTS * usual;
        core_time / (self.completed.read(now, SPEED_MEMORY) + USUAL_COUNTS)
    }

    /// Core time of an operation: core seconds over completions. With u operations in hand a unit of present
    /// size, the busy share is close to u / sqrt(1 + u^2) for machines of a few cores; where hosts report it,
    /// it needs no guess. Zones report apart and share it by what they have in hand.
    fn learn_speed(&mut self, now: Seconds, sum: &HostLoadReport, size: f64, contract_time: Seconds) {
        let good = (sum.attempts - sum.failed).max(0.0);
        let in_hand = (good * sum.mean_latency + sum.failed * contract_time) / sum.span.max(0.01);
        let pair = self.pairs.entry(sum.zone).or_insert_with(ZoneHealthScore::untried);
        (pair.in_hand, pair.heard) = (in_hand, now);
        let recent = self.pairs.values().filter(|pair| now - pair.heard <= SPEED_MEMORY);
        let all = recent.map(|pair| pair.in_hand).sum::<f64>().max(1e-6);
        let busy = sum
            .cpu_utilization
            .map_or((all / size) / (all / size).hypot(1.0), |reported| reported.clamp(0.01, 1.0));
        self.core_time.add(now, busy * size * sum.span * in_hand / all, SPEED_MEMORY);
        self.completed.add(now, good, SPEED_MEMORY);
    }
}

struct Slice {
    owner: Option<HostId>,
    /// The host it was taken from and goes back to.
    home: Option<HostId>,
    /// A second line of next to no weight, for further tries when the owner refuses or can't be reached.
    standby: Option<HostId>,
    written: Vec<WeightedHost>,
    demand: Vec<DecayingRate>,
    given_at: Seconds,
    /// With one owner: when no write to a former one can be in hand. `None`: some may still hold its line.
    free_at: Option<Seconds>,
    /// Operations a second it is taken to have until it is heard of.
    presumed: f64,
    rests_until: Seconds,
}

impl Slice {
    /// The standby stays as stored too: to choose anew would rewrite every table.
    fn new(now: Seconds, stored: Vec<WeightedHost>, classes: usize) -> Slice {
        let owner = stored.iter().max_by(|a, b| a.weight.total_cmp(&b.weight)).map(|line| line.host);
        let standby = stored.iter().map(|line| line.host).find(|host| Some(*host) != owner);
        let demand = vec![DecayingRate::default(); classes];
        let (home, given_at, free_at, presumed, rests_until) = (None, now, None, 0.0, 0.0);
        Slice { owner, home, standby, written: stored, demand, given_at, free_at, presumed, rests_until }
    }

    fn is_heard(&self) -> bool {
        self.demand.iter().any(|class| class.span.value > 0.0)
    }

    /// The lines that differ from those written, new ones first: no table is empty between. A store may tell
    /// weights in few decimals, a standby's as 0: that is no difference.
    fn changes(&self, wanted: &[WeightedHost]) -> Vec<WeightedHost> {
        let same =
            |a: &WeightedHost, b: &WeightedHost| a.host == b.host && (a.weight - b.weight).abs() <= STANDBY;
        let stands = |line: &WeightedHost| self.written.iter().any(|written| same(written, line));
        let mut lines: Vec<_> = wanted.iter().copied().filter(|line| !stands(line)).collect();
        let old = self.written.iter().filter(|line| wanted.iter().all(|kept| kept.host != line.host));
        lines.extend(old.map(|line| WeightedHost { host: line.host, weight: 0.0 }));
        lines
    }
}

/// What a turn goes by: each usable host's demand, speed and present capacity.
#[derive(Clone, Copy)]
struct HostLoad {
    demand: f64,
    service: Seconds,
    capacity: f64,
    /// Utilisation it may be filled to, and past which slices leave it.
    fill: f64,
    shed: f64,
    cold: bool,
}

impl HostLoad {
    fn utilisation(&self, more: f64) -> f64 {
        (self.demand + more).max(0.0) * self.service / self.capacity
    }
    /// Expected latency with so much more demand, should it swing up.
    fn latency(&self, more: f64) -> Seconds {
        let busy = SWING * self.utilisation(more);
        let full = busy.min(STEEP);
        self.service / (1.0 - full * full).sqrt() * (1.0 + STEEPNESS * (busy - full))
    }
    fn holds(&self, more: f64) -> bool {
        self.utilisation(more) <= self.fill
    }
}

#[derive(Default)]
pub struct Controller {
    terms: ControllerConfig,
    started: bool,
    hosts: BTreeMap<HostId, Host>,
    slices: BTreeMap<SliceId, Slice>,
    /// When it was given slices and had none.
    charged_at: Seconds,
    proxies: BTreeSet<ProxyId>,
    /// When a proxy left last: it may go on writing by the tables that it had.
    left_at: Seconds,
    withdrawn: Option<HostId>,
    levels: Vec<f64>,
    /// Part of what hosts can do that is asked for.
    filled: f64,
    levels_written: Vec<(f64, RetryPolicy)>,
    moves: f64,
    moves_at: Seconds,
    sent: Vec<Seconds>,
    channel: UpdateBacklog,
    /// Confirmations may have gone unheard: one more mark asks for them, as it confirms all before it.
    unsure: bool,
    mark: u16,
    /// Hosts once shut out of all tables, and whether they are now; `None`: some proxy may not know.
    shut: BTreeMap<HostId, Option<bool>>,
}

impl Controller {
    pub fn new(terms: ControllerConfig) -> Controller {
        let classes = terms.classes.len();
        Controller {
            levels: vec![1.0; classes],
            levels_written: vec![(1.0, RetryPolicy::IfNotExecuted); classes],
            moves: f64::from(terms.slice_count),
            terms,
            ..Controller::default()
        }
    }

    /// The slices in charge, and the lines that it believes each one's table has.
    pub fn assigned_tables(&self) -> impl Iterator<Item = (SliceId, &[WeightedHost])> {
        self.slices.iter().map(|(id, slice)| (*id, slice.written.as_slice()))
    }

    pub fn handle_batch(&mut self, round: &EventBatch, orders: &mut impl CommandSink) {
        let now = round.now;
        self.left_at = if self.started { self.left_at } else { now };
        let turn = !std::mem::replace(&mut self.started, true) || !round.timers.is_empty();
        round.endpoint_lists.iter().for_each(|list| self.hear_list(now, list, orders));
        let usual = if round.assignments.is_empty() { 0.0 } else { self.usual_demand() };
        round.assignments.iter().for_each(|charge| self.take_charge(now, charge, usual));
        round.host_loads.iter().for_each(|sum| self.hear_tries(now, sum));
        round.slice_loads.iter().for_each(|sum| self.hear_demand(now, sum));
        let verdicts = round.health_checks.iter().filter(|probe| self.hear_probe(now, probe, orders)).count();
        for change in &round.proxy_streams {
            let (proxy, up) = (change.proxy(), change.is_connected());
            if up {
                // It missed orders, and a steward that has restarted does not know its own.
                let restarted = matches!(change, ProxyStreamEvent::Reconnected(_)) && self.proxies.is_empty();
                self.shut.extend(self.hosts.keys().filter(|_| restarted).map(|host| (*host, None)));
                self.shut.values_mut().for_each(|state| *state = None);
            }
            let stood = self.proxies.remove(&proxy);
            self.proxies.extend(up.then_some(proxy));
            self.left_at = if stood && !up { now } else { self.left_at };
            // What waits for one that stood all along still does, or was confirmed unheard.
            self.unsure |= up && stood;
            if !(up && stood) {
                self.channel.remove_proxy(proxy);
            }
            if let (true, Some(since)) = (up, round.oldest_pending_at) {
                self.channel.add_recipient(since, proxy);
                self.unsure = true;
            }
        }
        round.barrier_acks.iter().for_each(|confirmed| self.hear_confirmed(now, confirmed));
        self.end_deltas(now);
        if self.terms.slice_count == 0 {
            self.one_table(now, round, orders);
        } else if turn || verdicts > 0 || !round.endpoint_lists.is_empty() || !round.assignments.is_empty() {
            if turn {
                self.judge(now, orders);
            }
            let heard = |s: &Slice| s.is_heard() || now - s.given_at >= UNHEARD;
            self.slices.values_mut().filter(|s| heard(s)).for_each(|s| s.presumed = 0.0);
            let mut loads = self.loads(now);
            self.hand_over(now, &mut loads, orders);
            // With one owner a move stops a slice for seconds: only hosts that must be left lose theirs.
            if turn && !self.terms.single_owner {
                self.take_back(now, &mut loads);
                self.follow_latency(now, &mut loads);
            }
            if turn {
                self.set_levels(&loads);
            }
            self.stand_by(&loads);
            self.flush(now, turn, orders);
        }
        if turn {
            if self.terms.health_checks_allowed {
                let open = self.hosts.iter().filter(|(_, host)| host.phase == Phase::Ready);
                open.for_each(|(id, _)| orders.check_health(*id));
            }
            self.forget(now);
            orders.set_timer(EPOCH, TimerId(0));
        }
    }

    /// Guards against a list that lies. A host it drops keeps its slices while it answers, unless it drained;
    /// one it adds or brings back gets none before it has answered a probe.
    fn hear_list(&mut self, now: Seconds, list: &EndpointList, orders: &mut impl CommandSink) {
        let kept: BTreeSet<HostId> = list.entries.iter().map(|entry| entry.host).collect();
        let lacked = self.hosts.iter_mut().filter(|(id, _)| list.complete && !kept.contains(id));
        lacked.for_each(|(_, host)| host.drop_out(now, self.terms.delisted_may_serve));
        for entry in &list.entries {
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host::new(entry));
            if entry.phase == Phase::Gone {
                host.drop_out(now, self.terms.delisted_may_serve);
                continue;
            }
            let trusted = host.usable() && host.last_good > 0.0;
            if self.terms.health_checks_allowed && entry.phase == Phase::Ready && !trusted {
                host.down = true;
                orders.check_health(entry.host);
            }
            (host.phase, host.weight, host.dropped) = (entry.phase, entry.weight, false);
            host.started = entry.started_at;
            if entry.started_at > host.cold_since {
                host.cold_since = entry.started_at;
            }
        }
    }

    /// Guards memory where new hosts replace old ones all day. A host that is shut out is let in again first,
    /// as proxies may meet its id anew; no table names it by then.
    fn forget(&mut self, now: Seconds) {
        let gone = self.hosts.iter().filter(|(_, host)| host.is_long_gone(now));
        let lost: Vec<HostId> = gone.map(|(id, _)| *id).collect();
        for id in lost {
            let named = |s: &Slice| s.owner == Some(id) || s.written.iter().any(|line| line.host == id);
            let shut = self.shut.get(&id).is_some_and(|out| *out != Some(false));
            if !shut && self.withdrawn != Some(id) && !self.slices.values().any(named) {
                self.hosts.remove(&id);
                self.shut.remove(&id);
                self.slices.values_mut().for_each(|s| s.home = s.home.filter(|home| *home != id));
            }
        }
    }

    /// A host that the store names has served: it needs no probe to be trusted.
    fn take_charge(&mut self, now: Seconds, charge: &SliceAssignment, presumed: f64) {
        self.charged_at = if self.slices.is_empty() { now } else { self.charged_at };
        self.slices.remove(&charge.slice());
        self.channel.forget_slice(charge.slice());
        if let SliceAssignment::Assigned { slice: id, entries } = charge {
            for entry in entries {
                let unheard = self.hosts.get_mut(&entry.host).filter(|host| host.last_good == 0.0);
                unheard.into_iter().for_each(|host| (host.down, host.last_good) = (false, now));
            }
            let slice = Slice::new(now, entries.clone(), self.terms.classes.len());
            self.slices.insert(*id, Slice { presumed, ..slice });
        }
    }

    /// What the next one in charge of a slice is told.
    pub fn slice_handoff(&self, now: Seconds, slice: SliceId) -> Option<SliceHandoff> {
        let slice = self.slices.get(&slice)?;
        let (rate, rests) = (self.rate(slice), (slice.rests_until - now).max(0.0));
        Some(SliceHandoff { rate, pinned_for: rests, preferred_host: slice.home })
    }

    /// Takes that in, so long after it was saved. What a slice brought is presumed until it is heard of.
    pub fn apply_handoff(&mut self, now: Seconds, slice: SliceId, state: &SliceHandoff, age: Seconds) {
        let known = self.slices.get_mut(&slice).filter(|slice| age <= UNHEARD && !slice.is_heard());
        let Some(slice) = known else { return };
        slice.presumed = state.rate;
        slice.rests_until = now + (state.pinned_for - age).max(0.0);
        slice.home = state.preferred_host;
    }

    fn hear_tries(&mut self, now: Seconds, sum: &HostLoadReport) {
        let size = self.hosts.get(&sum.host).map_or(0.0, |host| self.part_of(now, host));
        let sum = &HostLoadReport { span: covered(now, self.charged_at, sum.span), ..sum.clone() };
        let Some(host) = self.hosts.get_mut(&sum.host) else { return };
        *(if sum.attempts > sum.failed { &mut host.last_good } else { &mut host.last_bad }) = now;
        let classes = &self.terms.classes;
        let total: Seconds = classes.iter().map(|class| class.contract_time).sum();
        host.learn_speed(now, sum, size, total / classes.len().max(1) as f64);
        let pair = host.pairs.get_mut(&sum.zone).expect("learnt from above");
        pair.tries += sum.attempts;
        pair.failed += sum.failed;
        pair.span += sum.span;
    }

    fn hear_demand(&mut self, now: Seconds, sum: &SliceLoadReport) {
        let Some(slice) = self.slices.get_mut(&sum.slice) else { return };
        let span = covered(now, slice.given_at, sum.span);
        if let Some(demand) = slice.demand.get_mut(usize::from(sum.class.0)) {
            demand.add(now, sum.operations, span, MEMORY);
        }
    }

    /// The part of a host's present capacity that falls to this steward: others send there too, in
    /// proportion to the slices in their charge.
    fn part_of(&self, now: Seconds, host: &Host) -> f64 {
        let part = self.slices.len() as f64 / f64::from(self.terms.slice_count.max(1));
        (host.weight * host.warmth(now, &self.terms).sqrt() * part).max(0.001)
    }

    /// Guards against hosts that died or hang, which the score is slow to see: probes don't reach them, or go
    /// unanswered while sums show only failures. Missing sums prove nothing. Tells who must be left now.
    fn hear_probe(&mut self, now: Seconds, probe: &HealthCheckResult, orders: &mut impl CommandSink) -> bool {
        let served = || self.hosts.values().filter(|host| host.phase == Phase::Ready && host.last_good > 0.0);
        let (all, down) = (served().count(), served().filter(|host| host.down).count());
        let Some(host) = self.hosts.get_mut(&probe.host) else { return false };
        match probe.outcome {
            HealthCheckOutcome::Rejected => return false,
            HealthCheckOutcome::Passed => {
                (host.misses, host.last_good) = (0, now);
                if host.down {
                    host.down = false;
                    host.cold_since = if host.unreached { Some(now) } else { host.cold_since };
                    orders.report(DecisionEvent::HealthCheckPassed(probe.host));
                }
                return false;
            }
            HealthCheckOutcome::Failed | HealthCheckOutcome::Unreachable => host.misses += 1,
        }
        host.unreached = probe.outcome == HealthCheckOutcome::Unreachable;
        let bad_sums = host.last_bad > host.last_good && now - host.last_good > SILENT_SUMS;
        let silent = host.misses >= SILENT_PROBES && bad_sums;
        let proven = silent || host.unreached && host.misses >= UNREACHED_PROBES;
        let most = !host.dropped && (down + 1) as f64 > MOST_DOWN * all as f64;
        if host.down || !proven || most {
            if host.unreached && host.misses < UNREACHED_PROBES {
                orders.check_health(probe.host);
            }
            return false;
        }
        host.down = true;
        (host.phase, host.gone_at) =
            if host.dropped { (Phase::Gone, now) } else { (host.phase, host.gone_at) };
        orders.report(DecisionEvent::HealthChecksFailed(probe.host));
        true
    }

    fn hear_confirmed(&mut self, now: Seconds, confirmed: &BarrierAck) {
        self.channel.acknowledge(now, confirmed.proxy, confirmed.barrier);
        self.end_deltas(now);
    }

    /// Guards single owners: all proxies that stand know that a table is empty, those that left write for a
    /// lease at most; the last write to the former owner ends a life after that.
    fn end_deltas(&mut self, now: Seconds) {
        for id in self.channel.take_acknowledged().iter().flat_map(|update| &update.emptied) {
            let Some(slice) = self.slices.get_mut(id) else { continue };
            let stopped = now.max(self.left_at.max(slice.given_at) + self.terms.write_lease);
            slice.free_at = Some(stopped + self.terms.max_write_duration);
        }
    }

    /// Guards hosts where slices come from another steward: until its first report, each counts as the mean
    /// of those heard of. Else their owners would seem idle, and be given what they cannot hold.
    fn usual_demand(&self) -> f64 {
        let heard = || self.slices.values().filter(|slice| slice.is_heard());
        let all: f64 = heard().flat_map(|slice| slice.demand.iter().map(DecayingRate::read)).sum();
        all / heard().count().max(1) as f64
    }

    fn rate(&self, slice: &Slice) -> f64 {
        let heard = slice.demand.iter().zip(&self.levels).map(|(class, level)| class.read() * level);
        slice.presumed + heard.sum::<f64>()
    }

    /// The middle service time among hosts of a kind, or else among all.
    fn usual_service(&self, now: Seconds, kind: KindId) -> Seconds {
        let known = |alike: bool| {
            let some = self.hosts.values().filter(|host| !alike || host.kind == kind);
            let heard = some.filter(|host| host.completed.read(now, SPEED_MEMORY) > USUAL_COUNTS);
            at_share(heard.map(|host| host.service_time(now, 0.0)).collect(), 0.5)
        };
        known(true).or_else(|| known(false)).unwrap_or(UNKNOWN_SERVICE)
    }

    fn loads(&self, now: Seconds) -> BTreeMap<HostId, HostLoad> {
        let usable = self.hosts.iter().filter(|(_, host)| host.usable());
        let mut usual = BTreeMap::new();
        let load = |(id, host): (&HostId, &Host)| {
            let warmth = host.warmth(now, &self.terms);
            let fells = self.terms.overload_multiple * warmth.sqrt();
            let usual = *usual.entry(host.kind).or_insert_with(|| self.usual_service(now, host.kind));
            let service = host.service_time(now, usual);
            let capacity = self.part_of(now, host);
            let warm = HostLoad { demand: 0.0, service, capacity, fill: FULL, shed: f64::MAX, cold: false };
            // A host that has just started has met no keys, and its first reports flatter it.
            let (fill, shed) = (FULL.min(COLD_FILL * fells), COLD_SHED * fells);
            let cold = HostLoad { service: service.max(usual), fill, shed, cold: true, ..warm };
            (*id, if warmth < 1.0 { cold } else { warm })
        };
        let mut loads: BTreeMap<HostId, HostLoad> = usable.map(load).collect();
        for slice in self.slices.values() {
            if let Some(load) = slice.owner.and_then(|owner| loads.get_mut(&owner)) {
                load.demand += self.rate(slice);
            }
        }
        loads
    }

    /// The replica, else the next on the hash, if it has room; else the fastest warm one: cold ones fall.
    fn heir(&self, id: SliceId, more: f64, loads: &BTreeMap<HostId, HostLoad>) -> Option<HostId> {
        let open = || loads.iter().filter(|(host, _)| Some(**host) != self.withdrawn);
        let spare = |host: &HostId| self.slices[&id].standby == Some(*host);
        let rank = |host: &HostId| (spare(host), rendezvous(id, *host, self.hosts[host].weight));
        let roomy = open().filter(|(_, load)| load.holds(more * COLD_KEYS));
        let next = roomy.max_by(|a, b| rank(a.0).partial_cmp(&rank(b.0)).expect("finite"));
        let warm = open().filter(|(_, load)| !load.cold);
        let fast = || warm.min_by(|a, b| a.1.latency(more).total_cmp(&b.1.latency(more)));
        next.or_else(fast).map(|(host, _)| *host)
    }

    fn move_to(
        &mut self,
        now: Seconds,
        id: SliceId,
        to: Option<HostId>,
        loads: &mut BTreeMap<HostId, HostLoad>,
    ) {
        let more = self.rate(&self.slices[&id]);
        let slice = self.slices.get_mut(&id).expect("a slice in charge");
        if let Some(load) = slice.owner.and_then(|owner| loads.get_mut(&owner)) {
            load.demand -= more;
        }
        if let Some(load) = to.and_then(|host| loads.get_mut(&host)) {
            load.demand += more;
        }
        (slice.owner, slice.home) = (to, None);
        slice.rests_until = now + REST;
    }

    /// Slices of a host, the hottest first.
    fn slices_of(&self, host: HostId) -> Vec<SliceId> {
        let held = self.slices.iter().filter(|(_, slice)| slice.owner == Some(host));
        let mut found: Vec<_> = held.map(|(id, slice)| (self.rate(slice), *id)).collect();
        found.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        found.into_iter().map(|(_, id)| id).collect()
    }

    /// Heirs for the slices of hosts that drain, are gone, down or withdrawn, and of overfilled cold ones.
    fn hand_over(
        &mut self,
        now: Seconds,
        loads: &mut BTreeMap<HostId, HostLoad>,
        orders: &mut impl CommandSink,
    ) {
        let mut moved = 0;
        let homeless: Vec<SliceId> = (self.slices.iter())
            .filter(|(_, s)| s.owner.is_none_or(|o| !loads.contains_key(&o) || Some(o) == self.withdrawn))
            .map(|(id, _)| *id)
            .collect();
        let mut cold = Vec::new();
        for (host, load) in loads.iter().filter(|(_, load)| load.utilisation(0.0) > load.shed) {
            let mut left = *load;
            cold.extend(self.slices_of(*host).into_iter().take_while(|id| {
                let over = !left.holds(0.0);
                left.demand -= self.rate(&self.slices[id]);
                over
            }));
        }
        for id in homeless.into_iter().chain(cold) {
            let slice = &self.slices[&id];
            let (owner, home) = (slice.owner, slice.home.or(slice.owner));
            let heir = self.heir(id, self.rate(slice), loads);
            // A table may be empty only while every listed host is cold: what they can't hold is refused.
            let warm = |h: &Host| h.started.is_none_or(|at| now - at >= self.terms.warm_up_time);
            let proven = |id: &HostId| self.hosts.get(id).is_some_and(|h| h.phase == Phase::Ready && warm(h));
            let heir = heir.or(owner.filter(proven)).or_else(|| self.hosts.keys().copied().find(proven));
            if heir != owner {
                self.move_to(now, id, heir, loads);
                self.slices.get_mut(&id).expect("known above").home = home;
                moved += 1;
            }
        }
        if moved > 0 {
            orders.report(DecisionEvent::SlicesFailedOver(moved));
        }
    }

    /// The design's epoch. Nobody is withdrawn while levels are down: a poor host is better than a jam.
    fn judge(&mut self, now: Seconds, orders: &mut impl CommandSink) {
        let mut scores = Vec::new();
        let short = self.levels.iter().any(|level| *level < 1.0);
        for (id, host) in &mut self.hosts {
            let withdrawn = self.withdrawn == Some(*id);
            host.pairs.values_mut().for_each(|pair| pair.epoch(now, withdrawn));
            let window = host.pairs.values().flat_map(|pair| pair.window.iter().map(|(_, score)| *score));
            scores
                .extend(host.usable().then(|| (*id, at_share(window.collect(), PERCENTILE).unwrap_or(1.0))));
        }
        if let Some(host) = self.withdrawn {
            let worst = self.hosts[&host].pairs.values().map(|pair| pair.score).fold(1.0, f64::max);
            if worst <= RETURN_SCORE || !self.hosts[&host].usable() {
                self.withdrawn = None;
                orders.report(DecisionEvent::EjectionEnded(host));
            }
        } else if let Some(host) = outlier(&scores).filter(|_| !short) {
            self.withdrawn = Some(host);
            orders.report(DecisionEvent::OutlierEjected(host));
        }
    }

    /// Slices go back a few per turn, where they will be served faster than now.
    fn take_back(&mut self, now: Seconds, loads: &mut BTreeMap<HostId, HostLoad>) {
        let mut left = RETURNS_PER_TURN;
        let away: Vec<_> = self.slices.iter().filter_map(|(id, slice)| Some((*id, slice.home?))).collect();
        for (id, home) in away {
            let slice = &self.slices[&id];
            let more = self.rate(slice) * COLD_KEYS;
            let here = slice.owner.and_then(|id| loads.get(&id)).map_or(f64::INFINITY, |l| l.latency(0.0));
            let better = loads.get(&home).is_some_and(|load| load.holds(more) && load.latency(more) < here);
            if better && left > 0 && self.withdrawn != Some(home) && now >= slice.rests_until {
                left -= 1;
                self.move_to(now, id, Some(home), loads);
            }
        }
    }

    /// The design's placement: the hottest slice of a host that lags for several turns goes to the host with
    /// the lowest latency; a cooler one if that would only carry the lag along.
    fn follow_latency(&mut self, now: Seconds, loads: &mut BTreeMap<HostId, HostLoad>) {
        let full = f64::from(self.terms.slice_count);
        self.moves = (self.moves + (now - self.moves_at) * MOVES_A_SECOND * full).min(full);
        self.moves_at = now;
        let Some(middle) = at_share(loads.values().map(|load| load.latency(0.0)).collect(), 0.5) else {
            return;
        };
        let mut lagging = Vec::new();
        for (id, load) in loads.iter() {
            let host = self.hosts.get_mut(id).expect("loads are of known hosts");
            host.lag_turns = if load.latency(0.0) > LAG * middle { host.lag_turns + 1 } else { 0 };
            if host.lag_turns >= LAG_TURNS {
                lagging.push((load.latency(0.0), *id));
            }
        }
        lagging.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (latency, from) in lagging.into_iter().take((MOVES_PER_TURN * loads.len() as f64) as usize + 1) {
            for id in self.slices_of(from) {
                let slice = &self.slices[&id];
                let more = self.rate(slice);
                if now < slice.rests_until || self.moves < 1.0 {
                    continue;
                }
                let others = loads.iter().filter(|(id, _)| **id != from && Some(**id) != self.withdrawn);
                let open = others.filter(|(_, load)| !load.cold || load.holds(more * COLD_KEYS));
                let after = |load: &HostLoad| load.latency(more * COLD_KEYS);
                let best = open.min_by(|a, b| after(a.1).total_cmp(&after(b.1)));
                let Some((to, load)) = best else { continue };
                let worst = after(load).max(loads[&from].latency(-more));
                if worst < latency * (1.0 - WORTH_MOVING) {
                    let to = *to;
                    self.moves -= 1.0;
                    self.move_to(now, id, Some(to), loads);
                    break;
                }
            }
        }
    }

    /// Under overload, the class with the least gain per work is let in less, as far as is needed.
    fn set_levels(&mut self, loads: &BTreeMap<HostId, HostLoad>) {
        if !self.terms.admission_by_fraction {
            return;
        }
        let speed = |load: &HostLoad| load.capacity / load.service;
        let heard = |k: usize| -> f64 { self.slices.values().map(|slice| slice.demand[k].read()).sum() };
        let all: f64 = (0..self.terms.classes.len()).map(heard).sum();
        // What slices are presumed to bring falls on the classes as the rest does.
        let presumed: f64 = self.slices.values().map(|slice| slice.presumed).sum();
        let offered = |k: usize| heard(k) * (1.0 + presumed / all.max(0.01));
        let mut order: Vec<usize> = (0..self.terms.classes.len()).collect();
        let worth = |k: &usize| {
            self.terms.classes[*k].priority_weight / self.terms.classes[*k].contract_time.max(0.001)
        };
        order.sort_by(|a, b| worth(b).total_cmp(&worth(a)));
        let demand: f64 = (0..self.terms.classes.len()).map(offered).sum();
        self.filled = demand / loads.values().map(speed).sum::<f64>().max(0.01);
        let mut room: f64 = loads.values().map(|load| load.fill.min(OVERLOAD) * speed(load)).sum();
        for k in order {
            let wanted = if room >= offered(k) { 1.0 } else { room / offered(k) };
            room = (room - offered(k)).max(0.0);
            let now = self.levels[k];
            let level = wanted.clamp(now - LEVEL_FALL, now + LEVEL_RISE).clamp(0.0, 1.0);
            if (level - now).abs() > LEVEL_STEP || level == 1.0 {
                self.levels[k] = level;
            }
        }
    }

    /// Guards operations against a host that died or turns them away, until the steward hears of it: each
    /// table has the next warm host on the hash as a second line, which only further tries meet.
    fn stand_by(&mut self, loads: &BTreeMap<HostId, HostLoad>) {
        let open = |host: &HostId| loads.get(host).is_some_and(|l| !l.cold) && Some(*host) != self.withdrawn;
        for (id, slice) in &mut self.slices {
            if slice.standby.is_some_and(|host| open(&host) && Some(host) != slice.owner) {
                continue;
            }
            let others = loads.keys().copied().filter(|host| open(host) && Some(*host) != slice.owner);
            let on_hash = |host: &HostId| rendezvous(*id, *host, self.hosts[host].weight);
            slice.standby = others.max_by(|a, b| on_hash(a).total_cmp(&on_hash(b)));
        }
    }

    fn is_usable(&self, host: HostId) -> bool {
        self.hosts.get(&host).is_some_and(Host::usable)
    }

    /// What a slice's table should say, and how soon: 0 if it names no usable host, 1 for a new owner.
    fn wanted(&self, slice: &Slice) -> (u8, Vec<WeightedHost>) {
        let served = slice.written.iter().any(|line| self.is_usable(line.host));
        let owned = slice
            .owner
            .is_some_and(|owner| slice.written.contains(&WeightedHost { host: owner, weight: 1.0 }));
        let mut lines: Vec<WeightedHost> =
            slice.owner.iter().map(|owner| WeightedHost { host: *owner, weight: 1.0 }).collect();
        let spare = slice.standby.filter(|_| slice.owner.is_some() && !self.terms.single_owner);
        lines.extend(spare.map(|host| WeightedHost { host, weight: STANDBY }));
        (u8::from(served) + u8::from(served && owned), lines)
    }

    /// Hosts to shut out of all tables at once, one line a proxy, and those to open again: standbys serve
    /// until the tables are rewritten. Guards a great loss against the channel, and drains against the grace.
    fn shut_out(&self, now: Seconds) -> Vec<(HostId, bool)> {
        let kept: BTreeSet<HostId> = self.slices.values().filter_map(|slice| slice.owner).collect();
        let named: BTreeSet<HostId> =
            self.slices.values().flat_map(|slice| slice.written.iter().map(|line| line.host)).collect();
        let lost = |host: &HostId| {
            self.hosts.get(host).is_none_or(|host| host.is_long_gone(now)) && !named.contains(host)
        };
        let out = |host: &HostId| {
            !self.is_usable(*host) && !kept.contains(host) && !self.terms.single_owner && !lost(host)
        };
        let named = named.iter().copied();
        let back = self.shut.keys().copied().filter(|host| !out(host));
        let all: BTreeSet<HostId> = back.chain(named.filter(out)).collect();
        let differs = |host: &HostId| self.shut.get(host) != Some(&Some(out(host)));
        all.into_iter().filter(differs).map(|host| (host, out(&host))).collect()
    }

    /// Writes what differs from the standing tables, the most urgent first, within the message allowance and
    /// the backlog. What waits in the channel is known from marks: it may be several times slower than usual.
    fn flush(&mut self, now: Seconds, turn: bool, orders: &mut impl CommandSink) {
        let one = self.terms.single_owner;
        let may = |s: &Slice| !one || !s.written.is_empty() || s.free_at.is_some_and(|at| at <= now);
        let mut due: Vec<_> = (self.slices.iter())
            .map(|(id, slice)| (self.wanted(slice), *id))
            .filter(|((_, wanted), id)| *wanted != self.slices[id].written && may(&self.slices[id]))
            .collect();
        due.sort_by_key(|((haste, _), id)| (*haste, *id));
        let shut = self.shut_out(now);
        let urgent =
            shut.iter().any(|(_, out)| *out) || due.first().is_some_and(|((haste, _), _)| *haste == 0);
        self.sent.retain(|at| *at >= now - self.terms.message_quota_window);
        let cap = if self.terms.message_quota == 0 { usize::MAX } else { self.terms.message_quota as usize };
        let kept = if urgent { 1 } else { URGENT_MESSAGES };
        // Guards drains against a rush of verdicts, each a delta of its own, that leaves no message for them.
        let rushed = !turn && self.sent.len() as f64 >= cap as f64 * AT_ONCE;
        if rushed || self.sent.len() + kept >= cap {
            return;
        }
        let proxies = self.proxies.len().max(1) as f64;
        self.channel.expire(now, MARK_LOST);
        let waiting = self.channel.waiting_lines(now, STALLED);
        let fits = |lines: f64, share: f64| waiting + proxies * lines <= self.terms.backlog_limit * share;
        // Each message bears the mark and all levels besides its lines.
        let empty = self.terms.message_overhead + 1.0 + self.levels.len() as f64;
        let mut lines = empty;
        // Further tries would feed an overload: only proven ones go on, and none once a level falls.
        let calm = self.levels.iter().all(|level| *level == 1.0);
        let most = if calm { RetryPolicy::IfNotExecuted } else { RetryPolicy::Never };
        for (k, written) in self.levels_written.iter_mut().enumerate() {
            let again = self.terms.classes[k].may_repeat(self.terms.first_attempt_timeout_multiple);
            let wanted = (self.levels[k], if calm && self.filled < RETRY_ROOM { again } else { most });
            if *written != wanted && fits(lines + 1.0, BACKLOG_USE) {
                lines += 1.0;
                orders.set_admission_rate(ClassId(k as u8), wanted.0, wanted.1);
                *written = wanted;
            }
        }
        for (host, out) in shut {
            if fits(lines + 1.0, BACKLOG_USE) {
                lines += 1.0;
                match out {
                    true => orders.exclude_host(host),
                    false => orders.readmit_host(host),
                }
                self.shut.insert(host, Some(out));
            }
        }
        for ((haste, wanted), id) in due {
            let slice = self.slices.get_mut(&id).expect("due above");
            let mut changed = slice.changes(&wanted);
            // One owner's writes must end before another is named: until then the table is empty.
            let leaves = one && changed.iter().any(|line| line.weight == 0.0);
            changed.retain(|line| !leaves || line.weight == 0.0);
            let used = if haste == 0 { BACKLOG_USE } else { ORDINARY_USE };
            if !fits(lines + changed.len() as f64, used) {
                break;
            }
            lines += changed.len() as f64;
            changed.into_iter().for_each(|line| orders.set_weight(id, line.host, line.weight));
            slice.written = if leaves { Vec::new() } else { wanted };
            slice.free_at = slice.free_at.filter(|_| !leaves);
        }
        let asked = self.channel.emptied_slices();
        let bare = |id: &SliceId, s: &Slice| {
            one && s.written.is_empty() && s.free_at.is_none() && !asked.contains(id)
        };
        let emptied: Vec<_> = self.slices.iter().filter(|(id, s)| bare(id, s)).map(|(id, _)| *id).collect();
        self.unsure = !emptied.is_empty() || self.unsure && !self.channel.is_empty();
        let asks = self.unsure && fits(empty, 1.0);
        if lines > empty || asks {
            self.unsure = false;
            self.mark = self.mark.wrapping_add(1);
            orders.set_barrier(BarrierId(self.mark));
            self.sent.push(now);
            let update = Update::new(now, BarrierId(self.mark), lines, self.proxies.clone());
            self.channel.send(Update { emptied, ..update });
        }
    }

    /// Without slices: one table of all usable hosts, or else of all listed, handed to each proxy that joins.
    fn one_table(&mut self, now: Seconds, round: &EventBatch, orders: &mut impl CommandSink) {
        let table = SliceId(0);
        let weight = |h: &Host| (10.0 * h.weight * h.warmth(now, &self.terms)).max(0.1).ceil() / 10.0;
        let lines = |open: fn(&Host) -> bool| -> Vec<WeightedHost> {
            self.hosts
                .iter()
                .filter(|(_, host)| open(host))
                .map(|(id, host)| WeightedHost { host: *id, weight: weight(host) })
                .collect()
        };
        let usable = lines(Host::usable);
        let wanted = if usable.is_empty() { lines(|host| host.phase == Phase::Ready) } else { usable };
        let slice = self.slices.entry(table).or_insert_with(|| Slice::new(now, Vec::new(), 0));
        slice.changes(&wanted).into_iter().for_each(|line| orders.set_weight(table, line.host, line.weight));
        slice.written = wanted;
        let joined = round
            .proxy_streams
            .iter()
            .filter(|change| change.is_connected() && self.proxies.contains(&change.proxy()));
        joined.for_each(|change| orders.assign_table(table, change.proxy()));
    }
}

/// Weighted rendezvous hash: fixed, so that every steward and every restart agrees.
fn rendezvous(slice: SliceId, host: HostId, weight: f64) -> f64 {
    let mut bits = host.hash() ^ (u64::from(slice.0) << 48);
    for _ in 0..2 {
        bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^= bits >> 31;
    }
    let unit = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight.max(0.01) / unit.ln()
}
