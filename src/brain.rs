//! All of a steward's decisions. Make a `Steward` from its `Terms`, then call `Steward::round` with all that
//! came in; decisions go straight into the `Orders` passed along. Both are defined in `interface`.
//! A round takes in the news. Once a second it is also a turn, which judges hosts and moves slices.
//! List news and health verdicts act at once. What changed leaves as one delta at the end.
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Seconds between turns, and the design's epoch.
const EPOCH: Seconds = 1.0;
/// Failures over tries that count as heavy degradation; the paper's figure.
const RATIO_THRESH: f64 = 0.1;
/// Seconds without failure that take a score from 100 to 1: short, as troubles last tens of seconds.
const MIN_TTR: Seconds = 12.0;
/// Seconds of scores a host is judged on: short for the same reason.
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
/// Seconds over which a host's speed is averaged: long, since it decides most.
const SPEED_MEMORY: Seconds = 10.0;
/// Times the middle latency at which a host lags.
const LAG: f64 = 1.25;
/// Turns a host lags before a slice leaves it: rides out one noisy report.
const LAG_TURNS: u32 = 2;
/// Share of the lag a move must take away to be worth cold keys.
const WORTH_MOVING: f64 = 0.1;
/// Moves in one turn: latencies are stale by a report, so only a few at a time.
const MOVES_PER_TURN: usize = 6;
/// Seconds a moved slice stays put: until reports show the effect.
const REST: Seconds = 6.0;
/// Moves a slice may make in a second on average, 5000 a day: the design's cap on latency-led moves.
const MOVES_A_SECOND: f64 = 0.058;
/// Times its usual work that a slice costs a host that has not met its keys.
const COLD_KEYS: f64 = 1.5;
/// Operations that the usual speed counts for in a host's own: about what it completes in half a second.
const USUAL_COUNTS: f64 = 5.0;
/// Share of the remembered core time at which a host without failures is seen to have recovered, and what is
/// then kept of the memory, in one turn: two or three such turns end it.
const RECOVERED: f64 = 0.8;
const FORGOTTEN: f64 = 0.3;
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
/// Times its present demand for which a host's latency is expected: demand swings, and a fast host that is
/// nearly full is only fast until then.
const SWING: f64 = 1.3;
/// Past this utilisation the latency curve goes on as a line of this slope, close to its own, to stay finite.
const STEEP: f64 = 0.95;
const STEEPNESS: f64 = 10.0;
/// Probes without answer that count as proof, when the process can't be reached or when it is silent.
const SILENT_PROBES: u32 = 3;
const UNREACHED_PROBES: u32 = 2;
/// Seconds without a completed operation in any sum that go with silent probes: longer than a report's gap.
const SILENT_SUMS: Seconds = 2.0;
/// Share of the listed hosts that may be judged down: if most fail, the fault is elsewhere.
const MOST_DOWN: f64 = 0.5;
/// Utilisation of all hosts together at which levels begin to fall.
const OVERLOAD: f64 = 0.7;
/// While levels are down: the most of what hosts can do that is let in, how fast it grows in a turn, and the
/// share of failed tries at which it shrinks again, well before scores would rise to a withdrawal.
const PACKED: f64 = 0.9;
const PACKING: f64 = 0.02;
const PACKING_ENDS: f64 = 0.01;
/// Most a level falls or rises in one turn: falls in a few seconds, rises slowly.
const LEVEL_FALL: f64 = 0.3;
const LEVEL_RISE: f64 = 0.05;
/// Least change of a level that is worth an order to all proxies.
const LEVEL_STEP: f64 = 0.02;
/// Messages of the allowance kept back for urgent deltas.
const URGENT_MESSAGES: usize = 6;
/// Share of its usual pace the channel is trusted to drain at: it may be several times slower.
const SLOW_CHANNEL: f64 = 0.125;
/// Share of the backlog limit that is used.
const BACKLOG_USE: f64 = 0.7;

/// A decaying sum, brought up to date when it is read.
#[derive(Clone, Copy, Default)]
struct Sum {
    value: f64,
    at: Seconds,
}

impl Sum {
    fn read(&self, now: Seconds, memory: Seconds) -> f64 {
        self.value * (-(now - self.at).max(0.0) / memory).exp()
    }
    fn add(&mut self, now: Seconds, amount: f64, memory: Seconds) {
        *self = Sum { value: self.read(now, memory) + amount, at: now };
    }
}

/// The design's AIMD score of a host as one zone's proxies see it.
struct Pair {
    score: f64,
    tries: f64,
    failed: f64,
    time: Seconds,
    span: Seconds,
    window: Vec<(Seconds, f64)>,
}

impl Pair {
    fn new() -> Pair {
        Pair { score: 1.0, tries: 0.0, failed: 0.0, time: 0.0, span: 0.0, window: Vec::new() }
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
        (self.tries, self.failed, self.time, self.span) = (0.0, 0.0, 0.0, 0.0);
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

fn percentile(mut scores: Vec<f64>) -> f64 {
    scores.sort_by(f64::total_cmp);
    let place = (scores.len() as f64 * PERCENTILE) as usize;
    scores.get(place).copied().unwrap_or(1.0)
}

impl ClassTerms {
    /// The widest way of trying again that can't take effect twice: a keyed operation only where every host
    /// drops the repeat, and with time to spare in the window that the first try opened.
    fn may_repeat(&self, first_wait: f64) -> SecondTry {
        match self.repeat {
            Repeat::Safe => SecondTry::AfterFailure,
            Repeat::KeyedEverywhere(window) if window >= KEY_SLACK * first_wait * self.contract_time => {
                SecondTry::AfterFailure
            }
            Repeat::KeyedEverywhere(_) | Repeat::KeyedNearby | Repeat::Never => SecondTry::IfNeverRan,
        }
    }
}

fn middle(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// The one host whose score stands a gap above all others.
fn outlier(scores: &[(HostId, f64)]) -> Option<HostId> {
    let top = scores.iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
    let next = scores.iter().filter(|s| s.0 != top.0).map(|s| s.1).fold(1.0, f64::max);
    (scores.len() > 1 && top.1 - next >= GAP).then_some(top.0)
}

struct Host {
    phase: Phase,
    weight: f64,
    kind: KindId,
    /// When it began to warm up: its last start, or the end of a silence.
    cold_since: Option<Seconds>,
    started: Option<Seconds>,
    pairs: BTreeMap<ZoneId, Pair>,
    core_time: Sum,
    completed: Sum,
    busy: Option<f64>,
    last_good: Seconds,
    misses: u32,
    unreached: bool,
    down: bool,
    lag_turns: u32,
}

impl Host {
    fn new(listed: &Listed) -> Host {
        Host {
            phase: listed.phase,
            weight: listed.weight,
            kind: listed.kind,
            cold_since: listed.started,
            started: listed.started,
            pairs: BTreeMap::new(),
            core_time: Sum::default(),
            completed: Sum::default(),
            busy: None,
            last_good: 0.0,
            misses: 0,
            unreached: false,
            down: false,
            lag_turns: 0,
        }
    }

    fn usable(&self) -> bool {
        self.phase == Phase::Ready && !self.down
    }

    /// What it can do now, as a share of what it can do warm.
    fn warmth(&self, now: Seconds, terms: &Terms) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let grown = (now - since).max(0.0) / terms.warm_within.max(EPOCH);
        (terms.cold_from + (1.0 - terms.cold_from) * grown).clamp(0.01, 1.0)
    }

    /// Time one operation holds a core, without waiting. What is usual counts for a few operations: a host
    /// that jammed and lost its slices would otherwise look slow for ever, as nothing new is heard of it.
    fn service_time(&self, now: Seconds, usual: Seconds) -> Seconds {
        let core_time = self.core_time.read(now, SPEED_MEMORY) + USUAL_COUNTS * usual;
        core_time / (self.completed.read(now, SPEED_MEMORY) + USUAL_COUNTS)
    }

    /// Core time of an operation: the core seconds of an epoch over what it completed. With u operations in
    /// hand a unit of present size, the busy share is close to u / sqrt(1 + u^2) for machines of a few cores;
    /// where hosts report it, it needs no guess.
    fn learn_speed(&mut self, now: Seconds, short: bool, warmth: f64, contract_time: Seconds) {
        let span = self.pairs.values().map(|pair| pair.span).fold(0.0, f64::max);
        let busy = self.busy.take();
        if span <= 0.0 {
            return;
        }
        let total = |part: fn(&Pair) -> f64| self.pairs.values().map(part).sum::<f64>();
        let failed = total(|pair| pair.failed);
        let size = self.weight.max(0.01) * warmth;
        let in_hand = (total(|pair| pair.time) + failed * contract_time) / span / size;
        let busy = busy.map_or(in_hand / in_hand.hypot(1.0), |reported| reported.clamp(0.01, 1.0));
        let (core_time, completed) = (busy * size * span, total(|pair| pair.tries) - failed);
        // Guards against the memory of a jam, in which cores were busy with what nobody waited for any more.
        if short && failed == 0.0 && core_time < RECOVERED * completed * self.service_time(now, 0.0) {
            self.core_time.value *= FORGOTTEN;
            self.completed.value *= FORGOTTEN;
        }
        self.core_time.add(now, core_time, SPEED_MEMORY);
        self.completed.add(now, completed, SPEED_MEMORY);
    }
}

struct Slice {
    owner: Option<HostId>,
    /// The host it was taken from and goes back to.
    home: Option<HostId>,
    /// A second line of next to no weight, for further tries when the owner refuses or can't be reached.
    standby: Option<HostId>,
    written: Vec<(HostId, f64)>,
    demand: Vec<Sum>,
    rests_until: Seconds,
}

impl Slice {
    fn new(stored: Vec<(HostId, f64)>, classes: usize) -> Slice {
        let owner = stored.iter().max_by(|a, b| a.1.total_cmp(&b.1)).map(|line| line.0);
        let demand = vec![Sum::default(); classes];
        Slice { owner, home: None, standby: None, written: stored, demand, rests_until: 0.0 }
    }

    /// Takes over the wanted lines and gives those to write, new ones first: no table is empty between.
    fn change(&mut self, wanted: Vec<(HostId, f64)>) -> Vec<(HostId, f64)> {
        let mut lines: Vec<_> = wanted.iter().copied().filter(|line| !self.written.contains(line)).collect();
        let old = self.written.iter().filter(|line| wanted.iter().all(|kept| kept.0 != line.0));
        lines.extend(old.map(|line| (line.0, 0.0)));
        self.written = wanted;
        lines
    }
}

/// What a turn goes by: each usable host's demand, speed and present capacity.
#[derive(Clone, Copy)]
struct Load {
    demand: f64,
    service: Seconds,
    capacity: f64,
    /// Utilisation it may be filled to, and past which slices leave it.
    fill: f64,
    shed: f64,
    cold: bool,
}

impl Load {
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

pub struct Steward {
    terms: Terms,
    started: bool,
    hosts: BTreeMap<HostId, Host>,
    slices: BTreeMap<SliceId, Slice>,
    proxies: BTreeSet<ProxyId>,
    withdrawn: Option<HostId>,
    levels: Vec<f64>,
    packed: f64,
    fail_ratio: f64,
    levels_written: Vec<(f64, SecondTry)>,
    moves: f64,
    moves_at: Seconds,
    /// Seconds that the sums heard so far cover, decaying like them: a sum over this is a rate.
    heard: Sum,
    heard_at: Option<Seconds>,
    sent: Vec<Seconds>,
    backlog: f64,
    backlog_at: Seconds,
}

impl Steward {
    pub fn new(terms: Terms) -> Steward {
        Steward {
            started: false,
            hosts: BTreeMap::new(),
            slices: BTreeMap::new(),
            proxies: BTreeSet::new(),
            withdrawn: None,
            packed: OVERLOAD,
            fail_ratio: 0.0,
            levels: vec![1.0; terms.classes.len()],
            levels_written: vec![(1.0, SecondTry::IfNeverRan); terms.classes.len()],
            moves: f64::from(terms.slices),
            moves_at: 0.0,
            heard: Sum::default(),
            heard_at: None,
            sent: Vec::new(),
            backlog: 0.0,
            backlog_at: 0.0,
            terms,
        }
    }

    pub fn round(&mut self, round: &Round, orders: &mut impl Orders) {
        let now = round.now;
        let turn = !std::mem::replace(&mut self.started, true) || !round.timers.is_empty();
        round.lists.iter().for_each(|list| self.hear_list(list));
        round.charges.iter().for_each(|charge| self.take_charge(charge));
        let spans = round.tries.iter().map(|sum| sum.span).chain(round.demand.iter().map(|sum| sum.span));
        if let Some(span) = spans.reduce(f64::max) {
            self.heard.add(now, self.heard_at.map_or(span, |at| now - at), MEMORY);
            self.heard_at = Some(now);
        }
        round.tries.iter().for_each(|sum| self.hear_tries(now, sum));
        round.demand.iter().for_each(|sum| self.hear_demand(now, sum));
        let verdicts = round.probes.iter().filter(|probe| self.hear_probe(now, probe, orders)).count();
        for change in &round.streams {
            self.proxies.remove(&change.proxy);
            self.proxies.extend(change.up.then_some(change.proxy));
        }
        let urgent = verdicts > 0 || !round.lists.is_empty() || !round.charges.is_empty();
        if self.terms.slices == 0 {
            self.one_table(now, round, orders);
        } else if turn || urgent {
            if turn {
                self.judge(now, orders);
            }
            let mut loads = self.loads(now);
            self.hand_over(now, &mut loads, orders);
            if turn {
                self.take_back(now, &mut loads);
                self.follow_latency(now, &mut loads);
                self.set_levels(now, &loads);
            }
            self.stand_by(&loads);
            self.flush(now, urgent, orders);
        }
        if turn {
            if self.terms.may_probe {
                let open = self.hosts.iter().filter(|(_, host)| host.phase == Phase::Ready);
                open.for_each(|(id, _)| orders.probe(*id));
            }
            orders.wake(EPOCH, TimerId(0));
        }
    }

    fn hear_list(&mut self, list: &HostList) {
        if list.whole {
            let kept: BTreeSet<HostId> = list.entries.iter().map(|entry| entry.host).collect();
            for (_, host) in self.hosts.iter_mut().filter(|(id, _)| !kept.contains(id)) {
                host.phase = Phase::Gone;
            }
        }
        for entry in &list.entries {
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host::new(entry));
            (host.phase, host.weight) = (entry.phase, entry.weight);
            host.started = entry.started;
            if entry.started > host.cold_since {
                host.cold_since = entry.started;
            }
        }
    }

    fn take_charge(&mut self, charge: &Charge) {
        self.slices.remove(&charge.slice);
        if charge.given {
            let slice = Slice::new(charge.lines.clone(), self.terms.classes.len());
            self.slices.insert(charge.slice, slice);
        }
    }

    fn hear_tries(&mut self, now: Seconds, sum: &TrySum) {
        let Some(host) = self.hosts.get_mut(&sum.host) else { return };
        let good = (sum.tries - sum.failed).max(0.0);
        if good > 0.0 {
            host.last_good = now;
        }
        host.busy = sum.busy.or(host.busy);
        let pair = host.pairs.entry(sum.zone).or_insert_with(Pair::new);
        pair.tries += sum.tries;
        pair.failed += sum.failed;
        pair.time += good * sum.mean_time;
        pair.span += sum.span;
    }

    fn hear_demand(&mut self, now: Seconds, sum: &DemandSum) {
        let slice = self.slices.get_mut(&sum.slice);
        if let Some(demand) = slice.and_then(|slice| slice.demand.get_mut(usize::from(sum.class.0))) {
            demand.add(now, sum.operations, MEMORY);
        }
    }

    /// Guards against hosts that died or hang, which the score is slow to see: a host that probes don't
    /// reach, or that is silent to them and in the sums, counts as gone. Tells whether a verdict changed.
    fn hear_probe(&mut self, now: Seconds, probe: &ProbeResult, orders: &mut impl Orders) -> bool {
        let ready = || self.hosts.values().filter(|host| host.phase == Phase::Ready);
        let (listed, down) = (ready().count(), ready().filter(|host| host.down).count());
        let Some(host) = self.hosts.get_mut(&probe.host) else { return false };
        match probe.end {
            ProbeEnd::TurnedAway => return false,
            ProbeEnd::Answered => {
                host.misses = 0;
                if !host.down {
                    return false;
                }
                host.down = false;
                host.cold_since = if host.unreached { Some(now) } else { host.cold_since };
                orders.note(&format!("host {} answers again", probe.host.0));
                return true;
            }
            ProbeEnd::Failed | ProbeEnd::Unreachable => host.misses += 1,
        }
        host.unreached = probe.end == ProbeEnd::Unreachable;
        let silent = host.misses >= SILENT_PROBES && now - host.last_good > SILENT_SUMS;
        let proven = silent || host.unreached && host.misses >= UNREACHED_PROBES;
        if host.down || !proven || (down + 1) as f64 > MOST_DOWN * listed as f64 {
            if host.unreached && host.misses < UNREACHED_PROBES {
                orders.probe(probe.host);
            }
            return false;
        }
        host.down = true;
        orders.note(&format!("host {} is down: probes fail", probe.host.0));
        true
    }

    fn rate(&self, now: Seconds, slice: &Slice) -> f64 {
        let by_class = slice.demand.iter().zip(&self.levels);
        let admitted: f64 = by_class.map(|(sum, level)| sum.read(now, MEMORY) * level).sum();
        admitted / self.heard.read(now, MEMORY).max(0.01)
    }

    /// The middle service time among hosts of a kind, or else among all.
    fn usual_service(&self, now: Seconds, kind: KindId) -> Seconds {
        let known = |alike: bool| {
            let some = self.hosts.values().filter(|host| !alike || host.kind == kind);
            let heard = some.filter(|host| host.completed.read(now, SPEED_MEMORY) > USUAL_COUNTS);
            middle(heard.map(|host| host.service_time(now, 0.0)).collect())
        };
        known(true).or_else(|| known(false)).unwrap_or(UNKNOWN_SERVICE)
    }

    fn loads(&self, now: Seconds) -> BTreeMap<HostId, Load> {
        let multiple = self.terms.fall_multiple;
        let usable = self.hosts.iter().filter(|(_, host)| host.usable());
        let load = |(id, host): (&HostId, &Host)| {
            let warmth = host.warmth(now, &self.terms);
            let usual = self.usual_service(now, host.kind);
            let service = host.service_time(now, usual);
            let capacity = host.weight.max(0.01) * warmth;
            let warm = Load { demand: 0.0, service, capacity, fill: FULL, shed: f64::MAX, cold: false };
            // A host that has just started has met no keys, and its first reports flatter it.
            let (fill, shed) = (FULL.min(COLD_FILL * multiple), COLD_SHED * multiple);
            let cold = Load { service: service.max(usual), fill, shed, cold: true, ..warm };
            (*id, if warmth < 1.0 { cold } else { warm })
        };
        let mut loads: BTreeMap<HostId, Load> = usable.map(load).collect();
        for slice in self.slices.values() {
            if let Some(load) = slice.owner.and_then(|owner| loads.get_mut(&owner)) {
                load.demand += self.rate(now, slice);
            }
        }
        loads
    }

    /// The next on the hash that has room; if none has, the one with the lowest expected latency, but
    /// no cold one: in a great loss what is left over would push it over.
    fn heir(&self, id: SliceId, more: f64, loads: &BTreeMap<HostId, Load>) -> Option<HostId> {
        let open = || loads.iter().filter(|(host, _)| Some(**host) != self.withdrawn);
        let on_hash = |host: &HostId| rendezvous(id, *host, self.hosts[host].weight);
        let roomy = open().filter(|(_, load)| load.holds(more * COLD_KEYS));
        let next = roomy.max_by(|a, b| on_hash(a.0).total_cmp(&on_hash(b.0)));
        let warm = open().filter(|(_, load)| !load.cold);
        let fast = || warm.min_by(|a, b| a.1.latency(more).total_cmp(&b.1.latency(more)));
        next.or_else(fast).map(|(host, _)| *host)
    }

    fn move_to(&mut self, now: Seconds, id: SliceId, to: Option<HostId>, loads: &mut BTreeMap<HostId, Load>) {
        let more = self.rate(now, &self.slices[&id]);
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
    fn slices_of(&self, now: Seconds, host: HostId) -> Vec<SliceId> {
        let held = self.slices.iter().filter(|(_, slice)| slice.owner == Some(host));
        let mut found: Vec<_> = held.map(|(id, slice)| (self.rate(now, slice), *id)).collect();
        found.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        found.into_iter().map(|(_, id)| id).collect()
    }

    /// Every slice whose host drains, is gone, down or withdrawn gets an heir, and a cold host hands over its
    /// hottest slices until the rest fits what it can do.
    fn hand_over(&mut self, now: Seconds, loads: &mut BTreeMap<HostId, Load>, orders: &mut impl Orders) {
        let mut moved = 0;
        let homeless: Vec<SliceId> = (self.slices.iter())
            .filter(|(_, s)| s.owner.is_none_or(|o| !loads.contains_key(&o) || Some(o) == self.withdrawn))
            .map(|(id, _)| *id)
            .collect();
        let mut cold = Vec::new();
        for (host, load) in loads.iter().filter(|(_, load)| load.utilisation(0.0) > load.shed) {
            let mut left = *load;
            cold.extend(self.slices_of(now, *host).into_iter().take_while(|id| {
                let over = !left.holds(0.0);
                left.demand -= self.rate(now, &self.slices[id]);
                over
            }));
        }
        for id in homeless.into_iter().chain(cold) {
            let slice = &self.slices[&id];
            let (owner, home) = (slice.owner, slice.home.or(slice.owner));
            let heir = self.heir(id, self.rate(now, slice), loads);
            // A table may be empty only while every listed host is cold: what they can't hold is refused.
            let warm = |at: Seconds| now - at >= self.terms.warm_within;
            let ready = |h: &Host| h.phase == Phase::Ready && h.started.is_none_or(warm);
            let proven = |id: &HostId| self.hosts.get(id).is_some_and(ready);
            let heir = heir.or(owner.filter(proven)).or_else(|| self.hosts.keys().copied().find(proven));
            if heir != owner {
                self.move_to(now, id, heir, loads);
                self.slices.get_mut(&id).expect("known above").home = home;
                moved += 1;
            }
        }
        if moved > 0 {
            orders.note(&format!("{moved} slices handed over"));
        }
    }

    /// The design's epoch: scores, the outlier test, and at most one host withdrawn, but none while levels
    /// are down: its heirs would have no room, and a poor host is better than a jam.
    fn judge(&mut self, now: Seconds, orders: &mut impl Orders) {
        let mut scores = Vec::new();
        let classes = &self.terms.classes;
        let total: Seconds = classes.iter().map(|class| class.contract_time).sum();
        let contract_time = total / classes.len().max(1) as f64;
        let pairs = self.hosts.values().flat_map(|host| host.pairs.values());
        let sums = pairs.fold((1.0, 0.0), |sums, pair| (sums.0 + pair.tries, sums.1 + pair.failed));
        self.fail_ratio = sums.1 / sums.0;
        let short = self.levels.iter().any(|level| *level < 1.0);
        for (id, host) in &mut self.hosts {
            host.learn_speed(now, short, host.warmth(now, &self.terms), contract_time);
            let withdrawn = self.withdrawn == Some(*id);
            host.pairs.values_mut().for_each(|pair| pair.epoch(now, withdrawn));
            let window = host.pairs.values().flat_map(|pair| pair.window.iter().map(|(_, score)| *score));
            scores.extend(host.usable().then(|| (*id, percentile(window.collect()))));
        }
        if let Some(host) = self.withdrawn {
            let worst = self.hosts[&host].pairs.values().map(|pair| pair.score).fold(1.0, f64::max);
            if worst <= RETURN_SCORE || !self.hosts[&host].usable() {
                self.withdrawn = None;
                orders.note(&format!("withdrawal of {} ends", host.0));
            }
        } else if let Some(host) = outlier(&scores).filter(|_| !short) {
            self.withdrawn = Some(host);
            orders.note(&format!("host {} is the outlier: withdrawn", host.0));
        }
    }

    /// Slices go back a few per turn, where they will be served faster than now.
    fn take_back(&mut self, now: Seconds, loads: &mut BTreeMap<HostId, Load>) {
        let mut left = RETURNS_PER_TURN;
        let away: Vec<_> = self.slices.iter().filter_map(|(id, slice)| Some((*id, slice.home?))).collect();
        for (id, home) in away {
            let slice = &self.slices[&id];
            let more = self.rate(now, slice) * COLD_KEYS;
            let owner = slice.owner.and_then(|owner| loads.get(&owner));
            let here = owner.map_or(f64::INFINITY, |load| load.latency(0.0));
            let better = loads.get(&home).is_some_and(|load| load.holds(more) && load.latency(more) < here);
            if better && left > 0 && self.withdrawn != Some(home) && now >= slice.rests_until {
                left -= 1;
                self.move_to(now, id, Some(home), loads);
            }
        }
    }

    /// The design's placement: the hottest slice of a host that lags for several turns goes to the host with
    /// the lowest latency; a cooler one if that would only carry the lag along.
    fn follow_latency(&mut self, now: Seconds, loads: &mut BTreeMap<HostId, Load>) {
        let full = f64::from(self.terms.slices);
        self.moves = (self.moves + (now - self.moves_at) * MOVES_A_SECOND * full).min(full);
        self.moves_at = now;
        let Some(middle) = middle(loads.values().map(|load| load.latency(0.0)).collect()) else { return };
        let mut lagging = Vec::new();
        for (id, load) in loads.iter() {
            let host = self.hosts.get_mut(id).expect("loads are of known hosts");
            host.lag_turns = if load.latency(0.0) > LAG * middle { host.lag_turns + 1 } else { 0 };
            if host.lag_turns >= LAG_TURNS {
                lagging.push((load.latency(0.0), *id));
            }
        }
        lagging.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (latency, from) in lagging.into_iter().take(MOVES_PER_TURN) {
            for id in self.slices_of(now, from) {
                let slice = &self.slices[&id];
                let more = self.rate(now, slice);
                if now < slice.rests_until || self.moves < 1.0 {
                    continue;
                }
                let others = loads.iter().filter(|(id, _)| **id != from && Some(**id) != self.withdrawn);
                let open = others.filter(|(_, load)| !load.cold || load.holds(more * COLD_KEYS));
                let after = |load: &Load| load.latency(more * COLD_KEYS);
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
    fn set_levels(&mut self, now: Seconds, loads: &BTreeMap<HostId, Load>) {
        if !self.terms.levels_by_share {
            return;
        }
        let capacity: f64 = loads.values().map(|load| load.capacity / load.service).sum();
        let heard = self.heard.read(now, MEMORY).max(0.01);
        let offered = |k: usize| -> f64 {
            self.slices.values().map(|slice| slice.demand[k].read(now, MEMORY) / heard).sum()
        };
        let mut order: Vec<usize> = (0..self.terms.classes.len()).collect();
        let worth = |k: &usize| self.terms.classes[*k].gain / self.terms.classes[*k].contract_time.max(0.001);
        order.sort_by(|a, b| worth(b).total_cmp(&worth(a)));
        // Fewer operations leave colder keys and so less capacity: while few tries fail, fill hosts more.
        let short = self.levels.iter().any(|level| *level < 1.0);
        let step = if self.fail_ratio > PACKING_ENDS { -PACKING } else { PACKING };
        self.packed = if short { (self.packed + step).clamp(OVERLOAD, PACKED) } else { OVERLOAD };
        let mut room = capacity * self.packed;
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
    fn stand_by(&mut self, loads: &BTreeMap<HostId, Load>) {
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

    /// Writes what differs from the standing tables, within the message allowance and the backlog.
    fn flush(&mut self, now: Seconds, urgent: bool, orders: &mut impl Orders) {
        self.sent.retain(|at| *at >= now - self.terms.messages_span);
        let cap = if self.terms.message_cap == 0 { usize::MAX } else { self.terms.message_cap as usize };
        let kept = if urgent { 1 } else { URGENT_MESSAGES };
        if self.sent.len() + kept >= cap {
            return;
        }
        let drained = (now - self.backlog_at) * self.terms.channel_pace * SLOW_CHANNEL;
        (self.backlog, self.backlog_at) = ((self.backlog - drained).max(0.0), now);
        let proxies = self.proxies.len().max(1) as f64;
        let empty = self.backlog + proxies * (self.terms.message_cost + self.levels.len() as f64);
        let mut backlog = empty;
        // Further tries would feed an overload, so they end with the first level that falls.
        let calm = self.levels.iter().all(|level| *level == 1.0);
        for (k, written) in self.levels_written.iter_mut().enumerate() {
            let again = self.terms.classes[k].may_repeat(self.terms.first_wait);
            let wanted = (self.levels[k], if calm { again } else { SecondTry::Never });
            if *written != wanted {
                backlog += proxies;
                orders.set_level(ClassId(k as u8), wanted.0, wanted.1);
                *written = wanted;
            }
        }
        for (id, slice) in &mut self.slices {
            let mut wanted: Vec<(HostId, f64)> = slice.owner.iter().map(|owner| (*owner, 1.0)).collect();
            if !self.terms.single_owner {
                wanted.extend(slice.standby.filter(|_| slice.owner.is_some()).map(|host| (host, STANDBY)));
            }
            if wanted == slice.written {
                continue;
            }
            let cost = proxies * (wanted.len() + slice.written.len()) as f64;
            if backlog + cost > self.terms.backlog * BACKLOG_USE {
                break;
            }
            backlog += cost;
            // A single-owner table has one line: a new owner takes the old one's place by itself.
            let removes = !self.terms.single_owner;
            let changed = slice.change(wanted).into_iter().filter(|line| removes || line.1 > 0.0);
            changed.for_each(|line| orders.set_line(*id, line.0, line.1));
        }
        if backlog > empty {
            self.sent.push(now);
            self.backlog = backlog;
        }
    }

    /// Without slices: one table of all usable hosts, handed to each proxy that joins.
    fn one_table(&mut self, now: Seconds, round: &Round, orders: &mut impl Orders) {
        let table = SliceId(0);
        let weight =
            |host: &Host| (10.0 * host.weight * host.warmth(now, &self.terms)).max(0.1).ceil() / 10.0;
        let usable = self.hosts.iter().filter(|(_, host)| host.usable());
        let mut wanted: Vec<_> = usable.map(|(id, host)| (*id, weight(host))).collect();
        if wanted.is_empty() {
            let listed = self.hosts.iter().filter(|(_, host)| host.phase == Phase::Ready);
            wanted = listed.map(|(id, host)| (*id, weight(host))).collect();
        }
        let slice = self.slices.entry(table).or_insert_with(|| Slice::new(Vec::new(), 0));
        slice.change(wanted).into_iter().for_each(|line| orders.set_line(table, line.0, line.1));
        let joined = round.streams.iter().filter(|change| change.up && self.proxies.contains(&change.proxy));
        joined.for_each(|change| orders.hand_table(table, change.proxy));
    }
}

/// Weighted rendezvous hash: fixed, so that every steward and every restart agrees.
fn rendezvous(slice: SliceId, host: HostId, weight: f64) -> f64 {
    let address = match host.0.ip() {
        std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
        std::net::IpAddr::V6(ip) => u128::from(ip) as u64,
    };
    let mut bits = address ^ (u64::from(host.0.port()) << 32) ^ (u64::from(slice.0) << 48);
    for _ in 0..2 {
        bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^= bits >> 31;
    }
    let unit = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight.max(0.01) / unit.ln()
}
