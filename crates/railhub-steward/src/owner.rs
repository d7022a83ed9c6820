//! The one owner of the decisions' state: a thread that takes in words, runs rounds and carries them out.
use crate::claims::{claim, Claim};
use crate::inbox::{Inbox, StreamId, Word};
use crate::installation::Installation;
use crate::intake::Intake;
use crate::outbox::Publication;
use crate::pace::may_join;
use crate::probes::Probes;
use crate::store::StoreWriter;
use crate::streams::Door;
use crate::tables::{Change, Tables};
use hdrhistogram::Histogram;
use railhub::{
    ClassId, Confirmed, HostId, MarkId, Orders, Phase, ProxyId, Round, SecondTry, Seconds, SliceId, Steward,
    StreamChange, TimerId,
};
use railhub_net::{now, seconds};
use railhub_proto::Subscribe;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

/// Seconds the owner sleeps at most, so that joins that wait for room and stuck proxies are seen.
const LONGEST_SLEEP: Seconds = 0.01;
/// Seconds between looks for proxies that owe a word for too long.
const STUCK_LOOK: Seconds = 0.5;
/// Seconds for words on deltas to gather before the owner looks again: they come by the hundred at once, and
/// nothing hangs on one of them.
const GATHER: Seconds = 0.0001;
/// Words taken in for one round: a round must end.
const WORDS_A_ROUND: usize = 4096;

/// What the owner has done so far; times are seconds.
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
struct Member {
    stream: StreamId,
    process: u64,
    subscribe: Subscribe,
    door: Arc<Door>,
    /// It has been given its snapshot, and the decisions know of it.
    joined: bool,
    table: Option<SliceId>,
}

/// What one round decided.
#[derive(Default)]
struct Draft {
    change: Change,
    mark: Option<MarkId>,
    handed: Vec<(SliceId, ProxyId)>,
    probes: Vec<HostId>,
    wakes: Vec<(Seconds, TimerId)>,
    notes: Vec<String>,
}

impl Orders for Draft {
    fn set_line(&mut self, slice: SliceId, host: HostId, weight: f64) {
        self.change.lines.insert((slice, host), weight);
    }
    fn hand_table(&mut self, table: SliceId, proxy: ProxyId) {
        self.handed.push((table, proxy));
    }
    fn set_level(&mut self, class: ClassId, share: f64, second_try: SecondTry) {
        self.change.levels.insert(class, (share, second_try));
    }
    fn shut_out(&mut self, host: HostId, out: bool) {
        self.change.shut.insert(host, out);
    }
    fn mark(&mut self, mark: MarkId) {
        self.mark = Some(mark);
    }
    fn probe(&mut self, host: HostId) {
        self.probes.push(host);
    }
    fn wake(&mut self, after: Seconds, timer: TimerId) {
        self.wakes.push((after, timer));
    }
    fn note(&mut self, text: &str) {
        self.notes.push(text.to_owned());
    }
}

pub struct Owner {
    installation: Installation,
    brain: Steward,
    inbox: Arc<Inbox>,
    probes: Probes,
    store: Option<StoreWriter>,
    tables: Tables,
    /// This process; a version is of one of them.
    incarnation: u64,
    members: BTreeMap<ProxyId, Member>,
    /// Proxies that wait for their snapshot, in the order they came.
    joining: VecDeque<(ProxyId, StreamId)>,
    /// Proxies that had a stream to this process before.
    met: BTreeSet<ProxyId>,
    intake: Intake,
    flushed_at: Seconds,
    timers: Vec<(Seconds, TimerId)>,
    round: Round,
    /// The last look brought nothing but words on deltas.
    only_acks: bool,
    listed: bool,
    charged: bool,
    looked_at: Seconds,
    /// Proxies that owe a word on something, and when the oldest of it was ordered.
    owing: BTreeSet<ProxyId>,
    ordered_at: Seconds,
    lateness: Histogram<u64>,
    spread: Histogram<u64>,
    figures: Figures,
    shown: Arc<Mutex<Figures>>,
}

impl Owner {
    pub fn new(
        installation: Installation,
        inbox: Arc<Inbox>,
        probes: Probes,
        store: Option<StoreWriter>,
        shown: Arc<Mutex<Figures>>,
    ) -> Owner {
        let now = now();
        Owner {
            brain: Steward::new(installation.terms.clone()),
            inbox,
            probes,
            charged: store.is_none(),
            store,
            tables: Tables::default(),
            incarnation: (now * 1e9) as u64,
            members: BTreeMap::new(),
            joining: VecDeque::new(),
            met: BTreeSet::new(),
            intake: Intake::default(),
            flushed_at: now,
            timers: Vec::new(),
            round: Round::default(),
            only_acks: false,
            listed: false,
            looked_at: now,
            owing: BTreeSet::new(),
            ordered_at: now,
            lateness: Histogram::new(3).expect("three digits are allowed"),
            spread: Histogram::new(3).expect("three digits are allowed"),
            figures: Figures::default(),
            shown,
            installation,
        }
    }

    /// Runs until it is told to stop.
    pub fn run(mut self) {
        self.inbox.own();
        loop {
            self.sleep();
            let (mut acks, mut others) = (0, 0);
            for _ in 0..WORDS_A_ROUND {
                match self.inbox.next_word() {
                    Some(Word::Stop) => return,
                    Some(word) => {
                        *(if matches!(word, Word::Ack { .. }) { &mut acks } else { &mut others }) += 1;
                        self.hear(word);
                    }
                    None => break,
                }
            }
            self.only_acks = acks > 0 && others == 0;
            // Before list and tables are known there is nothing to decide and nothing to give to a proxy.
            if self.listed && self.charged {
                self.let_in();
                self.ring();
                self.act();
                self.look_for_stuck();
            }
        }
    }

    fn sleep(&self) {
        let now = now();
        let due = self.timers.iter().map(|timer| timer.0).fold(now + LONGEST_SLEEP, f64::min);
        if !self.owing.is_empty() && self.only_acks && due > now {
            std::thread::sleep(seconds(GATHER.min(due - now)));
        } else if self.inbox.is_quiet() && due > now {
            std::thread::park_timeout(seconds(due - now));
        }
    }

    fn hear(&mut self, word: Word) {
        match word {
            Word::List(list) => {
                let draining = list.entries.iter().filter(|entry| entry.phase == Phase::Draining).count();
                let gone = list.entries.iter().filter(|entry| entry.phase == Phase::Gone).count();
                let (hosts, whole) = (list.entries.len(), list.whole);
                tracing::info!(hosts, whole, draining, gone, "the host list has news");
                self.listed = true;
                self.round.lists.push(list);
            }
            Word::Charges(charges) => {
                tracing::info!(slices = charges.len(), "slices are in charge, with their tables");
                self.charged = true;
                charges.iter().for_each(|charge| self.tables.take_stored(charge.slice, &charge.lines));
                self.round.charges.extend(charges);
            }
            Word::Probe(result) => self.round.probes.push(result),
            Word::Joins { stream, subscribe, door } => self.join(stream, subscribe, door),
            Word::Leaves { stream, proxy, why } => self.leave(stream, proxy, &why),
            Word::Ack { stream, proxy, nonce } => {
                self.settle(proxy, stream, nonce, false);
            }
            Word::Refusal { stream, proxy, nonce, reason } => {
                if self.settle(proxy, stream, nonce, true) {
                    self.figures.refused += 1;
                    tracing::error!(proxy = proxy.0, version = nonce, reason, "a version is refused");
                }
            }
            Word::Stop => {}
        }
    }

    /// A proxy's word on a delta; whether it is about one that was in flight. What was refused has left the
    /// channel as well, which is all that the decisions go by.
    fn settle(&mut self, proxy: ProxyId, stream: StreamId, nonce: u64, refused: bool) -> bool {
        let Some(member) = self.members.get(&proxy).filter(|member| member.stream == stream) else {
            return false;
        };
        let Some(mark) = member.door.settle(nonce, refused) else { return false };
        if member.door.is_idle() {
            self.in_step(proxy);
        }
        self.round.confirmed.extend(mark.map(|mark| Confirmed { proxy, mark }));
        true
    }

    /// One proxy less owes a word; with the last one a change has reached all.
    fn in_step(&mut self, proxy: ProxyId) {
        if self.owing.remove(&proxy) && self.owing.is_empty() {
            let spread = now() - self.ordered_at;
            self.figures.spread_last = spread;
            let _ = self.spread.record((spread * 1e6) as u64);
        }
    }

    fn join(&mut self, stream: StreamId, subscribe: Subscribe, door: Arc<Door>) {
        let proxy = ProxyId(subscribe.proxy as u16);
        let holder = self.members.get(&proxy);
        match claim(holder.map(|member| member.process), subscribe.process) {
            Claim::Taken => {
                tracing::warn!(proxy = proxy.0, "a second process claims to be this proxy: turned away");
                door.close("another process speaks for this proxy");
                return;
            }
            Claim::Replaces => {
                let old = holder.map(|member| (member.stream, member.door.clone()));
                if let Some((old, old_door)) = old {
                    old_door.close("a newer stream of this proxy is open");
                    self.leave(old, proxy, "replaced by a newer stream");
                }
            }
            Claim::Free => {}
        }
        let process = subscribe.process;
        let member = Member { stream, process, subscribe, door, joined: false, table: None };
        self.members.insert(proxy, member);
        self.joining.push_back((proxy, stream));
    }

    fn leave(&mut self, stream: StreamId, proxy: ProxyId, why: &str) {
        if self.members.get(&proxy).is_none_or(|member| member.stream != stream) {
            return;
        }
        let member = self.members.remove(&proxy).expect("found above");
        self.in_step(proxy);
        self.figures.folded += member.door.folded();
        if member.joined {
            tracing::info!(proxy = proxy.0, why, "a proxy leaves");
            self.round.streams.push(StreamChange { proxy, up: false, first: false });
        }
    }

    fn lines_waiting(&self) -> f64 {
        let cost = self.installation.terms.message_cost;
        self.members.values().map(|member| member.door.lines(cost)).sum()
    }

    /// Gives proxies that came what they lack, as room allows.
    fn let_in(&mut self) {
        if self.joining.is_empty() {
            return;
        }
        let terms = &self.installation.terms;
        let (backlog, message_cost, no_slices) = (terms.backlog, terms.message_cost, terms.slices == 0);
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
            let change = if no_slices { change.without_lines() } else { change };
            let cost = change.cost() as f64 + message_cost;
            if !may_join(waiting, cost, backlog) {
                return;
            }
            waiting += cost;
            self.joining.pop_front();
            self.welcome(proxy, change);
        }
    }

    fn welcome(&mut self, proxy: ProxyId, change: Change) {
        let version = self.tables.version;
        let publication = Publication::new(change, self.incarnation, version, now(), None);
        let ordered_at = publication.ordered_at;
        let member = self.members.get_mut(&proxy).expect("it joins now");
        member.joined = true;
        member.door.push(Arc::new(publication));
        self.owes(proxy, ordered_at);
        let member = &self.members[&proxy];
        // A stream to an earlier process counts too: the proxy still holds what that one ordered.
        let first = member.subscribe.version == 0 && self.met.insert(proxy);
        self.met.insert(proxy);
        self.round.streams.push(StreamChange { proxy, up: true, first });
    }

    fn owes(&mut self, proxy: ProxyId, ordered_at: Seconds) {
        if self.owing.is_empty() {
            self.ordered_at = ordered_at;
        }
        self.owing.insert(proxy);
    }

    /// Takes in the timers that are due, and with them the sums.
    fn ring(&mut self) {
        let now = now();
        let due: Vec<(Seconds, TimerId)> = self.timers.iter().copied().filter(|t| t.0 <= now).collect();
        if due.is_empty() && self.figures.rounds > 0 {
            return;
        }
        self.timers.retain(|timer| timer.0 > now);
        for (at, timer) in due {
            let _ = self.lateness.record(((now - at) * 1e6) as u64);
            self.round.timers.push(timer);
            self.figures.turns += 1;
        }
        let joined = self.members.values().filter(|member| member.joined).count();
        while let Some(report) = self.inbox.next_report() {
            let known =
                self.members.get(&report.proxy).is_some_and(|m| m.stream == report.stream && m.joined);
            if known {
                self.intake.add(report.zone, &report.sums, joined);
            }
        }
        let (tries, demand) = self.intake.flush(now - self.flushed_at, self.installation.reports_a_second);
        self.flushed_at = now;
        self.round.tries.extend(tries);
        self.round.demand.extend(demand);
        self.show(joined);
    }

    /// Runs a round if anything came, and carries out what it decided.
    fn act(&mut self) {
        let round = &self.round;
        let has_news = !round.lists.is_empty()
            || !round.charges.is_empty()
            || !round.streams.is_empty()
            || !round.probes.is_empty()
            || !round.confirmed.is_empty()
            || !round.timers.is_empty();
        if !has_news {
            return;
        }
        let began = now();
        let mut round = std::mem::take(&mut self.round);
        round.now = began;
        let mut draft = Draft::default();
        self.brain.round(&round, &mut draft);
        self.figures.rounds += 1;
        self.figures.longest_round = self.figures.longest_round.max(now() - began);
        self.carry_out(draft);
    }

    fn carry_out(&mut self, draft: Draft) {
        let at = now();
        self.timers.extend(draft.wakes.iter().map(|(after, timer)| (at + after, *timer)));
        draft.probes.iter().for_each(|host| self.probes.ask(*host));
        if !draft.change.is_empty() || draft.mark.is_some() {
            let change = Arc::new(draft.change);
            self.publish(&change, draft.mark, at);
            self.tell_of(&change);
        }
        draft.notes.iter().for_each(|note| tracing::info!(cause = note, "decision"));
        for (table, proxy) in draft.handed {
            let change = self.tables.handing(table);
            let version = self.tables.version;
            if let Some(member) = self.members.get_mut(&proxy).filter(|member| member.joined) {
                member.table = Some(table);
                member.door.push(Arc::new(Publication::new(change, self.incarnation, version, at, None)));
                self.owes(proxy, at);
            }
        }
    }

    fn publish(&mut self, change: &Arc<Change>, mark: Option<MarkId>, at: Seconds) {
        let version = self.tables.apply(change.clone());
        let bare = (self.installation.terms.slices == 0).then(|| change.without_lines());
        let whole = Arc::new(Publication::new(change.clone(), self.incarnation, version, at, mark));
        let bare = bare.map(|change| Arc::new(Publication::new(change, self.incarnation, version, at, mark)));
        if self.owing.is_empty() {
            self.ordered_at = at;
        }
        for (proxy, member) in self.members.iter().filter(|(_, member)| member.joined) {
            let own = bare.as_ref().filter(|_| member.table.is_none()).unwrap_or(&whole);
            if mark.is_some() || !own.change.is_empty() {
                member.door.push(own.clone());
                self.owing.insert(*proxy);
            }
        }
        if let Some(store) = &self.store {
            let touched: BTreeSet<SliceId> = whole.change.lines.keys().map(|key| key.0).collect();
            touched.into_iter().for_each(|slice| store.put(slice, self.tables.lines_of(slice)));
        }
        tracing::debug!(version, lines = whole.change.cost(), "a delta leaves");
    }

    /// Levels and shut-outs have no note of their own.
    fn tell_of(&self, change: &Change) {
        for (class, (share, again)) in &change.levels {
            let name = self.installation.class_names.get(usize::from(class.0)).map_or("", String::as_str);
            tracing::info!(class = name, share, again = ?again, cause = "a level changes", "decision");
        }
        for (host, out) in &change.shut {
            let cause = if *out { "host is shut out of all tables" } else { "host is let in again" };
            tracing::info!(host = %host.0, cause, "decision");
        }
    }

    /// Cuts off proxies that owe a word for too long: what waits for them would count for ever.
    fn look_for_stuck(&mut self) {
        let now = now();
        if now - self.looked_at < STUCK_LOOK {
            return;
        }
        self.looked_at = now;
        let limit = self.installation.stuck_after;
        let stuck: Vec<(ProxyId, StreamId)> = (self.members.iter())
            .filter(|(_, member)| member.door.owing_since().is_some_and(|since| now - since > limit))
            .map(|(proxy, member)| (*proxy, member.stream))
            .collect();
        for (proxy, stream) in stuck {
            self.figures.cut_off += 1;
            tracing::warn!(proxy = proxy.0, after = limit, "a proxy does not confirm: its stream is ended");
            self.members[&proxy].door.close("no word on a version for too long");
            self.leave(stream, proxy, "it does not confirm");
        }
    }

    fn show(&mut self, joined: usize) {
        let figures = &mut self.figures;
        let at = |times: &Histogram<u64>, share: f64| times.value_at_quantile(share) as f64 / 1e6;
        (figures.late_half, figures.late_99) = (at(&self.lateness, 0.5), at(&self.lateness, 0.99));
        (figures.spread_half, figures.spread_99) = (at(&self.spread, 0.5), at(&self.spread, 0.99));
        figures.late_most = self.lateness.max() as f64 / 1e6;
        (figures.joined, figures.versions) = (joined, self.tables.version);
        figures.sums_dropped = self.inbox.sums_dropped.load(Ordering::Relaxed) + self.intake.dropped;
        figures.probes_dropped = self.probes.dropped();
        *self.shown.lock().expect("no holder panics") = figures.clone();
    }
}
