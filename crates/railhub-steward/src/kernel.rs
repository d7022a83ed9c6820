//! All that a steward is, but for its sockets, its threads and its clock: the decisions, the tables, who is
//! joined, what each proxy owes. The running steward and the model of a fleet drive the same kernel; each passes
//! in the time, a [`ProxyChannel`] for each proxy and the [`Environment`].
use crate::claims::{claim, RegistrationOutcome};
use crate::decides::DecisionEngine;
use crate::draft::DeltaBuilder;
use crate::inbox::StreamId;
use crate::installation::Installation;
use crate::intake::ReportAggregator;
use crate::outbox::Publication;
use crate::pace::may_join;
use crate::standing::PublishedState;
use crate::tables::{Change, Tables};
use hdrhistogram::Histogram;
use railhub::{
    BarrierAck, BarrierId, Controller, EndpointList, EventBatch, HealthCheckResult, HostId, ProxyId,
    ProxyStreamEvent, Seconds, SliceAssignment, SliceHandoff, SliceId, TimerId, ZoneId,
};
use railhub_proto::{LoadReport, Subscribe};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Seconds between looks for proxies that owe a word for too long.
const STUCK_LOOK: Seconds = 0.5;

/// Where a proxy's deltas go: its outbox, and what empties it.
pub trait ProxyChannel {
    fn push(&self, publication: Arc<Publication>);
    /// The proxy's word on a delta: the latest mark that it settles, if it settles anything.
    fn settle(&self, nonce: u64, refused: bool) -> Option<Option<BarrierId>>;
    fn is_idle(&self) -> bool;
    fn lines(&self, message_cost: f64) -> f64;
    fn owing_since(&self) -> Option<Seconds>;
    fn folded(&self) -> u64;
    fn close(&self, reason: &str);
}

/// A slice that has come into charge.
#[derive(Clone, Debug)]
pub struct SliceAcquired {
    pub charge: SliceAssignment,
    pub epoch: u64,
    /// What the former steward told of it, and how long ago, if it did.
    pub state: Option<(SliceHandoff, Seconds)>,
}

/// What the kernel asks of the world besides its proxies, and tells it.
pub trait Environment {
    fn probe(&mut self, host: HostId);
    /// `epoch`: under which the slice is in charge; 0 where this steward is alone.
    fn store(&mut self, slice: SliceId, epoch: u64, lines: Vec<(HostId, f64)>);
    /// A slice is given up: its table as it stands, and what its heir is told of it.
    fn hand_on(&mut self, _slice: SliceId, _epoch: u64, _lines: Vec<(HostId, f64)>, _state: SliceHandoff) {}
    /// All that was to be written of these slices is told of: they may be released.
    fn given_up(&mut self, _slices: &[SliceId]) {}
    /// A decision with its cause.
    fn decided(&mut self, cause: &str);
    fn published(&mut self, change: &Change, version: u64);
    /// Something about a proxy that operators want to know.
    fn proxy(&mut self, proxy: ProxyId, what: &str, why: &str);
}

/// What the kernel has done so far; times are seconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub rounds: u64,
    pub turns: u64,
    pub versions: u64,
    pub joined: usize,
    pub refused: u64,
    pub cut_off: u64,
    pub folded: u64,
    pub sums_dropped: u64,
    pub probes_dropped: u64,
    /// Reports that did not get into the traffic file.
    pub traffic_dropped: u64,
    /// How late turns were: half of them, 99 of 100, the latest.
    pub late_half: Seconds,
    pub late_99: Seconds,
    pub late_most: Seconds,
    pub longest_round: Seconds,
    /// From the decision to the last proxy's word: half of the changes, 99 of 100, the latest one.
    pub spread_half: Seconds,
    pub spread_99: Seconds,
    pub spread_last: Seconds,
}

/// A proxy with a stream.
struct ProxySession<G> {
    stream: StreamId,
    process: u64,
    subscribe: Subscribe,
    gate: G,
    /// It has been given its snapshot, and the decisions know of it.
    joined: bool,
    table: Option<SliceId>,
}

pub struct ControllerCore<G> {
    installation: Installation,
    brain: Box<dyn DecisionEngine + Send>,
    tables: Tables,
    /// This process; a version is of one of them.
    incarnation: u64,
    members: BTreeMap<ProxyId, ProxySession<G>>,
    /// Proxies that wait for their snapshot, in the order they came.
    joining: VecDeque<(ProxyId, StreamId)>,
    /// Proxies that had a stream to this process before.
    met: BTreeSet<ProxyId>,
    intake: ReportAggregator,
    flushed_at: Seconds,
    timers: Vec<(Seconds, TimerId)>,
    round: EventBatch,
    listed: bool,
    charged: bool,
    /// Stewards share the slices: they come and go, each under an epoch.
    shares: bool,
    /// Slices that have come into charge and that proxies have not been told of.
    opened: BTreeSet<SliceId>,
    /// What is told of slices that have come, and when it was saved.
    restoring: BTreeMap<SliceId, (SliceHandoff, Seconds)>,
    /// Slices whose leases are over, and whom the decisions have shut out.
    standing: PublishedState,
    shut_out: BTreeSet<HostId>,
    looked_at: Seconds,
    /// Proxies that owe a word on something, and when the oldest of it was ordered.
    owing: BTreeSet<ProxyId>,
    ordered_at: Seconds,
    lateness: Histogram<u64>,
    spread: Histogram<u64>,
    figures: Figures,
}

/// The lines of an assignment's table as it is stored; none of a slice that is revoked.
fn lines_of(assignment: &SliceAssignment) -> Vec<(HostId, f64)> {
    match assignment {
        SliceAssignment::Assigned { entries, .. } => entries.iter().map(|e| (e.host, e.weight)).collect(),
        SliceAssignment::Revoked { .. } => Vec::new(),
    }
}

impl<G: ProxyChannel> ControllerCore<G> {
    /// `incarnation`: tells this process from every other one.
    pub fn new(installation: Installation, incarnation: u64, now: Seconds) -> ControllerCore<G> {
        let brain = Box::new(Controller::new(installation.terms.clone()));
        ControllerCore::led_by(brain, installation, incarnation, now)
    }

    /// With decisions that come from elsewhere than the module in this program.
    pub fn led_by(
        brain: Box<dyn DecisionEngine + Send>,
        installation: Installation,
        incarnation: u64,
        now: Seconds,
    ) -> ControllerCore<G> {
        let times = || Histogram::new(3).expect("three digits are allowed");
        let shares = installation.shares();
        ControllerCore {
            brain,
            // Where stewards share, one that is in charge of nothing yet serves its proxies all the same.
            charged: installation.terms.slice_count == 0 || shares,
            shares,
            opened: BTreeSet::new(),
            restoring: BTreeMap::new(),
            standing: PublishedState::default(),
            shut_out: BTreeSet::new(),
            tables: Tables::default(),
            incarnation,
            members: BTreeMap::new(),
            joining: VecDeque::new(),
            met: BTreeSet::new(),
            intake: ReportAggregator::default(),
            flushed_at: now,
            timers: Vec::new(),
            round: EventBatch::default(),
            listed: false,
            looked_at: now,
            owing: BTreeSet::new(),
            ordered_at: now,
            lateness: times(),
            spread: times(),
            figures: Figures::default(),
            installation,
        }
    }

    pub fn hear_list(&mut self, list: EndpointList) {
        self.listed = true;
        if self.shares {
            self.standing.hear(&list);
        }
        self.round.endpoint_lists.push(list);
    }

    pub fn hear_charges(&mut self, charges: Vec<SliceAssignment>) {
        self.charged = true;
        for assignment in &charges {
            self.tables.take_stored(assignment.slice(), &lines_of(assignment));
        }
        self.round.assignments.extend(charges);
    }

    /// Slices come into charge under epochs, with their tables as the store has them, and go. What has gone is not
    /// ordered any more; proxies keep what they hold until the next one in charge tells them.
    pub fn hear_grants(
        &mut self,
        now: Seconds,
        gained: Vec<SliceAcquired>,
        lost: &[SliceId],
        lapsed: &[SliceId],
        around: &mut impl Environment,
    ) {
        for slice in lapsed {
            let hosts = self.tables.lines_of(*slice).into_iter().map(|line| line.0);
            self.standing.stands(*slice, hosts.collect());
        }
        for slice in lost {
            self.standing.is_settled(*slice);
            if let (Some(epoch), Some(state)) = (self.tables.epoch(*slice), self.brain.save(now, *slice)) {
                around.hand_on(*slice, epoch, self.tables.lines_of(*slice), state);
            }
        }
        around.given_up(lost);
        for slice in lost.iter().chain(lapsed) {
            self.tables.give_up(*slice);
            self.opened.remove(slice);
            self.restoring.remove(slice);
            self.round.assignments.push(SliceAssignment::Revoked { slice: *slice });
        }
        for SliceAcquired { charge, epoch, state } in gained {
            let slice = charge.slice();
            self.standing.is_settled(slice);
            self.tables.take_charge(slice, epoch, &lines_of(&charge));
            self.opened.insert(slice);
            self.restoring.extend(state.map(|(state, age)| (slice, (state, now - age))));
            self.round.assignments.push(charge);
        }
    }

    pub fn hear_probe(&mut self, result: HealthCheckResult) {
        self.round.health_checks.push(result);
    }

    /// Before list and tables are known there is nothing to decide and nothing to give to a proxy.
    pub fn is_ready(&self) -> bool {
        self.listed && self.charged
    }

    /// Some proxy owes a word on a change.
    pub fn is_owed(&self) -> bool {
        !self.owing.is_empty()
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Seconds> {
        self.timers.iter().map(|timer| timer.0).min_by(Seconds::total_cmp)
    }

    /// A proxy's word on a delta; whether it is about one that was in flight. What was refused has left the
    /// channel as well, which is all that the decisions go by.
    pub fn settle(
        &mut self,
        now: Seconds,
        proxy: ProxyId,
        stream: StreamId,
        nonce: u64,
        refused: bool,
    ) -> bool {
        let Some(member) = self.members.get(&proxy).filter(|member| member.stream == stream) else {
            return false;
        };
        let Some(mark) = member.gate.settle(nonce, refused) else { return false };
        if member.gate.is_idle() {
            self.in_step(now, proxy);
        }
        self.figures.refused += u64::from(refused);
        self.round.barrier_acks.extend(mark.map(|barrier| BarrierAck { proxy, barrier }));
        true
    }

    /// One proxy less owes a word; with the last one a change has reached all.
    fn in_step(&mut self, now: Seconds, proxy: ProxyId) {
        if self.owing.remove(&proxy) && self.owing.is_empty() {
            let spread = now - self.ordered_at;
            self.figures.spread_last = spread;
            let _ = self.spread.record((spread * 1e6) as u64);
        }
    }

    fn owes(&mut self, proxy: ProxyId, ordered_at: Seconds) {
        if self.owing.is_empty() {
            self.ordered_at = ordered_at;
        }
        self.owing.insert(proxy);
    }

    pub fn join(
        &mut self,
        now: Seconds,
        stream: StreamId,
        subscribe: Subscribe,
        gate: G,
        around: &mut impl Environment,
    ) {
        let proxy = ProxyId(subscribe.proxy as u16);
        let holder = self.members.get(&proxy);
        match claim(holder.map(|member| member.process), subscribe.process) {
            RegistrationOutcome::Taken => {
                around.proxy(proxy, "a second process claims to be this proxy: turned away", "");
                gate.close("another process speaks for this proxy");
                return;
            }
            RegistrationOutcome::Replaces => {
                if let Some(holder) = holder {
                    holder.gate.close("a newer stream of this proxy is open");
                    let old = holder.stream;
                    self.leave(now, old, proxy, "replaced by a newer stream", around);
                }
            }
            RegistrationOutcome::Free => {}
        }
        let process = subscribe.process;
        let member = ProxySession { stream, process, subscribe, gate, joined: false, table: None };
        self.members.insert(proxy, member);
        self.joining.push_back((proxy, stream));
    }

    pub fn leave(
        &mut self,
        now: Seconds,
        stream: StreamId,
        proxy: ProxyId,
        why: &str,
        around: &mut impl Environment,
    ) {
        if self.members.get(&proxy).is_none_or(|member| member.stream != stream) {
            return;
        }
        let member = self.members.remove(&proxy).expect("found above");
        self.in_step(now, proxy);
        self.figures.folded += member.gate.folded();
        if member.joined {
            around.proxy(proxy, "a proxy leaves", why);
            self.round.proxy_streams.push(ProxyStreamEvent::Disconnected(proxy));
        }
    }

    fn lines_waiting(&self) -> f64 {
        let cost = self.installation.terms.message_overhead;
        self.members.values().map(|member| member.gate.lines(cost)).sum()
    }

    /// Gives proxies that came what they lack, as room allows.
    pub fn let_in(&mut self, now: Seconds) {
        if self.joining.is_empty() {
            return;
        }
        let terms = &self.installation.terms;
        let (backlog, message_cost, no_slices) =
            (terms.backlog_limit, terms.message_overhead, terms.slice_count == 0);
        let mut waiting = self.lines_waiting();
        while let Some((proxy, stream)) = self.joining.front().copied() {
            let member = self.members.get(&proxy).filter(|member| member.stream == stream);
            let Some(subscribe) = member.map(|member| &member.subscribe) else {
                self.joining.pop_front();
                continue;
            };
            let ours = subscribe.incarnation == self.incarnation;
            let lacking = ours.then(|| self.tables.since(subscribe.version)).flatten();
            let change = lacking.unwrap_or_else(|| self.tables.whole());
            let mut change = if no_slices { change.without_lines() } else { change };
            if self.shares {
                self.tables.stamp(&mut change);
            }
            let cost = change.cost() as f64 + message_cost;
            if !may_join(waiting, cost, backlog) {
                return;
            }
            waiting += cost;
            self.joining.pop_front();
            self.welcome(now, proxy, change);
        }
    }

    fn welcome(&mut self, now: Seconds, proxy: ProxyId, change: Change) {
        let publication = Publication::new(change, self.incarnation, self.tables.version, now, None);
        let member = self.members.get_mut(&proxy).expect("it joins now");
        member.joined = true;
        member.gate.push(Arc::new(publication));
        // A stream to an earlier process counts too: the proxy still holds what that one ordered.
        let holds_nothing = member.subscribe.version == 0;
        let first = self.met.insert(proxy) && holds_nothing;
        self.owes(proxy, now);
        self.round.proxy_streams.push(match first {
            true => ProxyStreamEvent::Connected(proxy),
            false => ProxyStreamEvent::Reconnected(proxy),
        });
    }

    /// Takes in the timers that are due; whether there were any, or this is the first time: then sums are due
    /// as well.
    pub fn ring(&mut self, now: Seconds) -> bool {
        let due: Vec<(Seconds, TimerId)> = self.timers.iter().copied().filter(|t| t.0 <= now).collect();
        if due.is_empty() && self.figures.rounds > 0 {
            return false;
        }
        self.timers.retain(|timer| timer.0 > now);
        for (at, timer) in due {
            let _ = self.lateness.record(((now - at) * 1e6) as u64);
            self.round.timers.push(timer);
            self.figures.turns += 1;
        }
        true
    }

    /// Adds a report of a proxy that is joined by this stream.
    pub fn take_sums(&mut self, stream: StreamId, proxy: ProxyId, zone: ZoneId, sums: &LoadReport) {
        if self.members.get(&proxy).is_some_and(|m| m.stream == stream && m.joined) {
            self.intake.add(zone, sums, self.joined());
        }
    }

    /// Hands on what the rate lets in.
    pub fn flush_sums(&mut self, now: Seconds) {
        let (tries, demand) = self.intake.flush(now - self.flushed_at, self.installation.reports_a_second);
        self.flushed_at = now;
        self.round.host_loads.extend(tries);
        self.round.slice_loads.extend(demand);
    }

    pub fn joined(&self) -> usize {
        self.members.values().filter(|member| member.joined).count()
    }

    /// Runs a round if anything came, and carries out what it decided. `clock`: the time it is then.
    pub fn act(&mut self, now: Seconds, clock: impl Fn() -> Seconds, around: &mut impl Environment) {
        let round = &self.round;
        let has_news = !round.endpoint_lists.is_empty()
            || !round.assignments.is_empty()
            || !round.proxy_streams.is_empty()
            || !round.health_checks.is_empty()
            || !round.barrier_acks.is_empty()
            || !round.timers.is_empty();
        if !has_news {
            return;
        }
        let mut round = std::mem::take(&mut self.round);
        round.now = now;
        let mut draft = DeltaBuilder::default();
        self.brain.round(&round, &mut draft);
        for (slice, (state, saved_at)) in std::mem::take(&mut self.restoring) {
            self.brain.restore(now, slice, &state, now - saved_at);
        }
        let at = clock();
        self.figures.rounds += 1;
        self.figures.longest_round = self.figures.longest_round.max(at - now);
        self.carry_out(draft, at, around);
    }

    fn carry_out(&mut self, mut draft: DeltaBuilder, at: Seconds, around: &mut impl Environment) {
        if self.shares {
            let mut change = self.tables.opening(&std::mem::take(&mut self.opened));
            change.fold(&draft.change);
            self.tables.stamp(&mut change);
            self.stand(&mut change);
            draft.change = change;
        }
        self.timers.extend(draft.wakes.iter().map(|(after, timer)| (at + after, *timer)));
        draft.probes.iter().for_each(|host| around.probe(*host));
        if !draft.change.is_empty() || draft.mark.is_some() {
            self.publish(&Arc::new(draft.change), draft.mark, at, around);
        }
        draft.notes.iter().for_each(|note| around.decided(note));
        for (table, proxy) in draft.handed {
            let change = self.tables.handing(table);
            let version = self.tables.version;
            if let Some(member) = self.members.get_mut(&proxy).filter(|member| member.joined) {
                member.table = Some(table);
                member.gate.push(Arc::new(Publication::new(change, self.incarnation, version, at, None)));
                self.owes(proxy, at);
            }
        }
    }

    /// Hosts that must be left though nothing may be ordered.
    fn stand(&mut self, change: &mut Change) {
        for (host, out) in &change.shut {
            match out {
                true => _ = self.shut_out.insert(*host),
                false => _ = self.shut_out.remove(host),
            }
        }
        let words = self.standing.words(self.installation.terms.delisted_may_serve, &self.shut_out);
        change.shut.retain(|host, out| *out || !self.standing.holds(host));
        change.shut.extend(words);
    }

    fn publish(
        &mut self,
        change: &Arc<Change>,
        mark: Option<BarrierId>,
        at: Seconds,
        around: &mut impl Environment,
    ) {
        let version = self.tables.apply(change.clone());
        let bare = (self.installation.terms.slice_count == 0).then(|| change.without_lines());
        let whole = Arc::new(Publication::new(change.clone(), self.incarnation, version, at, mark));
        let bare = bare.map(|change| Arc::new(Publication::new(change, self.incarnation, version, at, mark)));
        if self.owing.is_empty() {
            self.ordered_at = at;
        }
        for (proxy, member) in self.members.iter().filter(|(_, member)| member.joined) {
            let own = bare.as_ref().filter(|_| member.table.is_none()).unwrap_or(&whole);
            if mark.is_some() || !own.change.is_empty() {
                member.gate.push(own.clone());
                self.owing.insert(*proxy);
            }
        }
        let touched: BTreeSet<SliceId> = change.lines.keys().map(|key| key.0).collect();
        for slice in touched {
            around.store(slice, self.tables.epoch(slice).unwrap_or(0), self.tables.lines_of(slice));
        }
        around.published(change, version);
    }

    /// Cuts off proxies that owe a word for too long: what waits for them would count for ever.
    pub fn look_for_stuck(&mut self, now: Seconds, around: &mut impl Environment) {
        if now - self.looked_at < STUCK_LOOK {
            return;
        }
        self.looked_at = now;
        let limit = self.installation.stuck_after;
        let stuck: Vec<(ProxyId, StreamId)> = (self.members.iter())
            .filter(|(_, member)| member.gate.owing_since().is_some_and(|since| now - since > limit))
            .map(|(proxy, member)| (*proxy, member.stream))
            .collect();
        for (proxy, stream) in stuck {
            self.figures.cut_off += 1;
            around.proxy(proxy, "a proxy does not confirm: its stream is ended", "");
            self.members[&proxy].gate.close("no word on a version for too long");
            self.leave(now, stream, proxy, "it does not confirm", around);
        }
    }

    pub fn figures(&self) -> Figures {
        let at = |times: &Histogram<u64>, share: f64| times.value_at_quantile(share) as f64 / 1e6;
        Figures {
            late_half: at(&self.lateness, 0.5),
            late_99: at(&self.lateness, 0.99),
            late_most: self.lateness.max() as f64 / 1e6,
            spread_half: at(&self.spread, 0.5),
            spread_99: at(&self.spread, 0.99),
            joined: self.joined(),
            versions: self.tables.version,
            sums_dropped: self.intake.dropped,
            ..self.figures.clone()
        }
    }
}
