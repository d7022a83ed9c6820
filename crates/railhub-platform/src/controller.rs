//! Gathers what came in into rounds, runs the module on them, and keeps what it orders until the relay took it.
//! The snapshot that a subscription begins with replaces what the module believed of proxies, charges and lines.
use crate::assignment::{Names, NodeConfig};
use crate::discovery::EndpointPage;
use crate::orders::{put, Call, Command, CommandBatch, PendingCommands, WEIGHT_TOLERANCE};
use crate::relay_events::{CallResponse, RelayEvent, SubscriptionId};
use railhub::{
    Controller, EndpointList, EventBatch, HealthCheckOutcome, HealthCheckResult, HostId, HostLoadReport,
    Phase, ProxyId, ProxyStreamEvent, Seconds, SliceAssignment, SliceId, SliceLoadReport, TimerId,
    WeightedHost,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Seconds without a word after which what stands has been told whole, unless a sign of life says so sooner: at the
/// first telling, when what comes late is only added, and at later ones, when what is missing counts as lost.
const FIRST_SNAPSHOT_IDLE_TIMEOUT: Seconds = 0.1;
const SNAPSHOT_IDLE_TIMEOUT: Seconds = 1.5;
/// Seconds without a word after which a slice that was given has all its lines: they follow at once.
const ASSIGNMENT_IDLE_TIMEOUT: Seconds = 0.02;
/// Commands accepted while a subscription has not told what stands: past them it is asked for anew.
const MAX_ACCEPTED_SINCE_SNAPSHOT: usize = 20_000;
/// Seconds a list may be late: what discovery has to tell counts as told by then.
const GENERATION_RESET_TIMEOUT: Seconds = 6.0;
/// Sums that a round may hold; further ones are dropped, as the next say more.
const MAX_LOAD_REPORTS_PER_BATCH: usize = 8192;

/// What the relay tells to stand, while it tells it.
#[derive(Default)]
struct Snapshot {
    proxies: BTreeMap<ProxyId, bool>,
    charges: BTreeMap<SliceId, Vec<(HostId, f64)>>,
    told_at: Seconds,
    source: SubscriptionId,
}

/// A probe of a host as the list had it then: where, and since when it ran.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Probe {
    pub host: HostId,
    pub address: SocketAddr,
    started: Option<Seconds>,
}

/// What the controller asks of the sockets after a round, and tells the log.
#[derive(Debug, Default)]
pub struct Effects {
    pub probes: Vec<Probe>,
    pub notes: Vec<String>,
    /// It ran a round.
    pub rounds: u64,
    /// Seconds by which a turn came late.
    pub late: Vec<Seconds>,
}

pub struct PlatformController {
    steward: Controller,
    names: Names,
    tick: Seconds,
    single_owner: bool,
    round: EventBatch,
    ran_at: Seconds,
    /// Something came since the last round.
    news: bool,
    snapshot: Option<Snapshot>,
    /// The subscription whose news counts, and the newest that was asked for.
    source: SubscriptionId,
    asked: SubscriptionId,
    /// Subscriptions asked for whose snapshot is not taken in, one a follower until its line ends; and the orders that
    /// the relay took meanwhile, each with the newest of them: the snapshot may have been told before they were taken.
    untold: BTreeSet<SubscriptionId>,
    taken: Vec<(SubscriptionId, Command)>,
    /// A call has no known end: only a subscription asked for after this one shows it, and no call leaves before.
    doubt: Option<SubscriptionId>,
    ask_anew: Option<&'static str>,
    /// The relay has told once what stands: until then nothing is ordered.
    informed: bool,
    charges_at: Seconds,
    charges: Vec<SliceAssignment>,
    timers: Vec<(Seconds, TimerId)>,
    generation: u64,
    listed_at: Seconds,
    /// Where each listed host is, and since when it runs.
    addresses: BTreeMap<HostId, (SocketAddr, Option<Seconds>)>,
    proxies: BTreeSet<ProxyId>,
    waiting: PendingCommands,
    /// When the oldest orders were given that the relay has not taken.
    pending_since: Option<Seconds>,
    calling: bool,
    pub load_reports_dropped: u64,
    /// Probes whose host was another by the time they ended.
    pub probes_outdated: u64,
}

fn to_lines(table: &[WeightedHost]) -> Vec<(HostId, f64)> {
    table.iter().map(|entry| (entry.host, entry.weight)).collect()
}

fn to_assignment(slice: SliceId, lines: Vec<(HostId, f64)>) -> SliceAssignment {
    SliceAssignment::Assigned { slice, entries: lines.into_iter().map(WeightedHost::from).collect() }
}

impl PlatformController {
    pub fn new(assignment: &NodeConfig) -> PlatformController {
        let mut controller = PlatformController {
            steward: Controller::new(assignment.terms.clone()),
            names: assignment.names.clone(),
            tick: assignment.tick,
            single_owner: assignment.terms.single_owner,
            round: EventBatch::default(),
            ran_at: 0.0,
            news: true,
            snapshot: None,
            source: SubscriptionId::default(),
            asked: SubscriptionId::default(),
            untold: BTreeSet::new(),
            taken: Vec::new(),
            doubt: None,
            ask_anew: None,
            informed: false,
            charges_at: 0.0,
            charges: Vec::new(),
            timers: Vec::new(),
            generation: 0,
            listed_at: 0.0,
            addresses: BTreeMap::new(),
            proxies: BTreeSet::new(),
            waiting: PendingCommands::new(&assignment.terms),
            pending_since: None,
            calling: false,
            load_reports_dropped: 0,
            probes_outdated: 0,
        };
        controller.on_endpoint_page(0.0, &assignment.known);
        controller
    }

    /// The list's version that the module knows.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// A page that is older than what is known, or known already, says nothing. A whole list under a lower number that
    /// comes when nothing newer has for long is no late one: discovery began anew, and its old numbers with it.
    pub fn on_endpoint_page(&mut self, now: Seconds, page: &EndpointPage) -> bool {
        let late = page.generation < self.generation
            && !(page.whole && now - self.listed_at >= GENERATION_RESET_TIMEOUT);
        if late || page.generation == self.generation && !page.whole {
            return false;
        }
        self.listed_at = now;
        // What was invalid is told again under the same number.
        if page.invalid.is_empty() {
            self.generation = page.generation;
        }
        if page.whole {
            self.addresses.clear();
        }
        for entry in &page.entries {
            if entry.listed.phase == Phase::Gone {
                self.addresses.remove(&entry.listed.host);
            } else {
                self.addresses.insert(entry.listed.host, (entry.address, entry.listed.started_at));
            }
        }
        fold(&mut self.round.endpoint_lists, page.list());
        self.news = true;
        true
    }

    pub fn on_host_load(&mut self, sum: HostLoadReport) {
        let kept = push(&mut self.round.host_loads, sum);
        self.count_sum(kept);
    }

    pub fn on_slice_load(&mut self, sum: SliceLoadReport) {
        let kept = push(&mut self.round.slice_loads, sum);
        self.count_sum(kept);
    }

    fn count_sum(&mut self, kept: bool) {
        self.news |= kept;
        self.load_reports_dropped += u64::from(!kept);
    }

    /// How a probe ended says nothing of a host that is gone, moved or started anew since it was asked for.
    pub fn on_probe_result(&mut self, probe: &Probe, end: HealthCheckOutcome) {
        if self.addresses.get(&probe.host) == Some(&(probe.address, probe.started)) {
            self.round.health_checks.push(HealthCheckResult { host: probe.host, outcome: end });
            self.news = true;
        } else {
            self.probes_outdated += 1;
        }
    }

    /// A subscription is about to be asked for: to be told before the relay can know.
    pub fn on_subscription_requested(&mut self, source: SubscriptionId) {
        self.asked = self.asked.max(source);
        self.untold.insert(source);
    }

    /// Its line is no more. What it was just telling to stand was not told whole and counts for nothing.
    pub fn on_subscription_ended(&mut self, source: SubscriptionId) {
        self.snapshot = self.snapshot.take().filter(|snapshot| snapshot.source != source);
        self.untold.remove(&source);
        self.drop_taken();
    }

    /// Only the newest subscription counts, whatever an older one still says.
    pub fn on_relay_event(&mut self, now: Seconds, source: SubscriptionId, news: RelayEvent) {
        if news == RelayEvent::Subscribed && source > self.source {
            self.source = source;
            self.snapshot = Some(Snapshot { told_at: now, source, ..Snapshot::default() });
            if self.doubt.is_some_and(|doubt| source <= doubt) {
                self.ask_anew = Some("it was asked for before a call ended that has no known end");
            }
        }
        if news == RelayEvent::Subscribed || source != self.source {
            return;
        }
        if let Some(snapshot) = &mut self.snapshot {
            if news == RelayEvent::Heartbeat {
                return self.take_snapshot();
            }
            snapshot.told_at = now;
            match news {
                RelayEvent::ProxyJoined { proxy, first } => _ = snapshot.proxies.insert(proxy, first),
                RelayEvent::ProxyLeft(proxy) => _ = snapshot.proxies.remove(&proxy),
                RelayEvent::SliceAssigned { slice, on } => {
                    // Told before in what stands, it changed hands since.
                    let changed = snapshot.charges.remove(&slice).is_some();
                    if on {
                        snapshot.charges.insert(slice, Vec::new());
                    }
                    if changed {
                        self.taken
                            .retain(|(_, order)| !matches!(order, Command::Line(of, ..) if *of == slice));
                        self.forget(slice, on);
                    }
                }
                RelayEvent::StoredEntry { slice, host, weight } => {
                    snapshot.charges.entry(slice).or_default().push((host, weight));
                }
                RelayEvent::BarrierAcked(confirmed) => self.round.barrier_acks.push(confirmed),
                RelayEvent::Subscribed | RelayEvent::Heartbeat => {}
            }
            return;
        }
        self.news |= news != RelayEvent::Heartbeat;
        match news {
            RelayEvent::ProxyJoined { proxy, first } => self.stream(proxy, true, first),
            RelayEvent::ProxyLeft(proxy) => self.stream(proxy, false, false),
            RelayEvent::BarrierAcked(confirmed) => self.round.barrier_acks.push(confirmed),
            RelayEvent::SliceAssigned { slice, on } => {
                self.charges_at = now;
                self.forget(slice, on);
                self.charges.push(match on {
                    true => SliceAssignment::Assigned { slice, entries: Vec::new() },
                    false => SliceAssignment::Revoked { slice },
                });
            }
            RelayEvent::StoredEntry { slice, host, weight } => {
                self.charges_at = now;
                self.hold(slice, host, weight);
            }
            RelayEvent::Subscribed | RelayEvent::Heartbeat => {}
        }
    }

    /// Commands that still wait are about the table as it was before, and so are those which are out: when they are
    /// carried out, before or after it was given, only the relay can tell.
    fn forget(&mut self, slice: SliceId, given: bool) {
        if self.waiting.forget(slice) && given {
            self.doubt("a slice was given while a call about it was out");
        }
    }

    fn doubt(&mut self, why: &'static str) {
        (self.doubt, self.ask_anew) = (Some(self.asked), Some(why));
    }

    /// A line of a table that was given: just now, or so long ago that the module knows the slice already.
    fn hold(&mut self, slice: SliceId, host: HostId, weight: f64) {
        let single_owner = self.single_owner;
        let pending = self.round.assignments.iter_mut().chain(&mut self.charges);
        let told = WeightedHost { host, weight };
        // Where a slice has one owner, the line told last is the table.
        let put = |entries: &mut Vec<WeightedHost>| {
            entries.retain(|entry| entry.host != host && !single_owner);
            entries.push(told);
        };
        match pending.filter(|charge| charge.slice() == slice).last() {
            Some(SliceAssignment::Revoked { .. }) => {}
            Some(SliceAssignment::Assigned { entries, .. }) => put(entries),
            None => {
                let mut tables = self.steward.assigned_tables();
                let Some((_, believed)) = tables.find(|(id, _)| *id == slice) else { return };
                let mut entries = believed.to_vec();
                put(&mut entries);
                self.charges.push(SliceAssignment::Assigned { slice, entries });
            }
        }
    }

    fn stream(&mut self, proxy: ProxyId, up: bool, first: bool) {
        if up {
            self.proxies.insert(proxy);
        } else {
            self.proxies.remove(&proxy);
        }
        self.round.proxy_streams.push(match (up, first) {
            (true, true) => ProxyStreamEvent::Connected(proxy),
            (true, false) => ProxyStreamEvent::Reconnected(proxy),
            (false, _) => ProxyStreamEvent::Disconnected(proxy),
        });
    }

    /// What the relay told to stand replaces what was believed.
    fn take_snapshot(&mut self) {
        self.settle_call();
        let Some(mut snapshot) = self.snapshot.take() else { return };
        for (asked, order) in &self.taken {
            let Command::Line(slice, host, weight) = order else { continue };
            if let Some(lines) = snapshot.charges.get_mut(slice).filter(|_| snapshot.source <= *asked) {
                put(lines, *host, *weight, self.single_owner);
            }
        }
        self.untold.retain(|source| *source > snapshot.source);
        self.drop_taken();
        self.informed = true;
        self.news = true;
        // Charges told before this subscription are part of what stands; that a proxy left before it is not.
        self.charges.clear();
        self.round.assignments.clear();
        let absent: Vec<ProxyId> =
            self.proxies.iter().copied().filter(|proxy| !snapshot.proxies.contains_key(proxy)).collect();
        absent.into_iter().for_each(|proxy| self.stream(proxy, false, false));
        // One that is believed joined may have left and come back unheard: it counts as joined anew.
        snapshot.proxies.iter().for_each(|(proxy, first)| self.stream(*proxy, true, *first));
        let mut believed: BTreeMap<SliceId, Vec<(HostId, f64)>> =
            self.steward.assigned_tables().map(|(slice, table)| (slice, to_lines(table))).collect();
        for (slice, stored) in snapshot.charges {
            let lines = self.waiting.settled(slice, &stored);
            let belief = believed.remove(&slice);
            if !belief.is_some_and(|belief| same_lines(&belief, &lines)) {
                self.round.assignments.push(to_assignment(slice, lines));
            }
        }
        let taken = believed.into_keys().map(|slice| SliceAssignment::Revoked { slice });
        self.round.assignments.extend(taken);
    }

    /// What stands shows how a call ended that has no known end, if it was asked for since.
    fn settle_call(&mut self) {
        let Some(charges) = self.shows_call().map(|snapshot| snapshot.charges.clone()) else { return };
        self.waiting.settle(&charges);
        self.doubt = None;
    }

    fn shows_call(&self) -> Option<&Snapshot> {
        let doubt = self.doubt.filter(|_| !self.calling)?;
        self.snapshot.as_ref().filter(|snapshot| snapshot.source > doubt)
    }

    /// Before all of it is told: a slice that is not told yet must not pass for one that is held no more.
    fn shows_call_early(&self) -> Option<&Snapshot> {
        self.shows_call().filter(|snapshot| self.waiting.is_out_about(&snapshot.charges))
    }

    fn drop_taken(&mut self) {
        if self.untold.is_empty() {
            self.taken.clear();
        }
    }

    fn snapshot_quiet(&self) -> Seconds {
        if self.informed {
            SNAPSHOT_IDLE_TIMEOUT
        } else {
            FIRST_SNAPSHOT_IDLE_TIMEOUT
        }
    }

    /// When [`PlatformController::poll`] has something to do, if nothing comes in before.
    pub fn next_deadline(&self) -> Option<Seconds> {
        let snapshot = self.snapshot.as_ref().map(|snapshot| snapshot.told_at + self.snapshot_quiet());
        let settled = self.shows_call_early().map(|snapshot| snapshot.told_at + FIRST_SNAPSHOT_IDLE_TIMEOUT);
        let charges = (!self.charges.is_empty()).then_some(self.charges_at + ASSIGNMENT_IDLE_TIMEOUT);
        let timer = self.timers.iter().map(|(at, _)| *at).min_by(f64::total_cmp);
        let news = self.news.then_some(self.ran_at + self.tick);
        let running = [charges, timer, news].into_iter().flatten().filter(|_| self.informed);
        running.chain(snapshot).chain(settled).min_by(f64::total_cmp)
    }

    /// Runs a round if one is due.
    pub fn poll(&mut self, now: Seconds) -> Effects {
        let mut effects = Effects::default();
        let quiet = self.snapshot_quiet();
        if self.snapshot.as_ref().is_some_and(|snapshot| now - snapshot.told_at >= quiet) {
            self.take_snapshot();
        }
        if self
            .shows_call_early()
            .is_some_and(|snapshot| now - snapshot.told_at >= FIRST_SNAPSHOT_IDLE_TIMEOUT)
        {
            self.settle_call();
        }
        if !self.charges.is_empty() && now - self.charges_at >= ASSIGNMENT_IDLE_TIMEOUT {
            self.round.assignments.append(&mut self.charges);
            self.news = true;
        }
        let due = self.timers.iter().any(|(at, _)| *at <= now);
        if !self.informed || !(due || self.news && now - self.ran_at >= self.tick) {
            return effects;
        }
        let (rung, left) = self.timers.drain(..).partition(|(at, _)| *at <= now);
        self.timers = left;
        effects.late.extend(rung.iter().map(|(at, _): &(Seconds, TimerId)| now - at));
        let mut round = std::mem::take(&mut self.round);
        round.timers.extend(rung.into_iter().map(|(_, timer)| timer));
        round.now = now;
        self.pending_since = self.pending_since.filter(|_| self.waiting.count() > 0);
        round.oldest_pending_at = self.pending_since;
        (self.ran_at, self.news) = (now, false);
        let mut batch = CommandBatch {
            waiting: &mut self.waiting,
            probes: Vec::new(),
            wakes: Vec::new(),
            notes: Vec::new(),
        };
        self.steward.handle_batch(&round, &mut batch);
        let CommandBatch { probes, wakes, notes, .. } = batch;
        if self.waiting.count() > 0 {
            self.pending_since.get_or_insert(now);
        }
        self.timers.extend(wakes.into_iter().map(|(after, timer)| (now + after, timer)));
        let addresses = &self.addresses;
        let probe = |host: HostId| {
            let (address, started) = *addresses.get(&host)?;
            Some(Probe { host, address, started })
        };
        effects.probes = probes.into_iter().filter_map(probe).collect();
        (effects.notes, effects.rounds) = (notes, 1);
        effects
    }

    /// The next call to the relay, if none is out: the caller must bring back how it ended.
    pub fn next_call(&mut self) -> Option<Call> {
        if self.calling || self.doubt.is_some() {
            return None;
        }
        let call = self.waiting.call(&self.names.classes);
        self.calling = call.is_some();
        call
    }

    /// How the call ended; `None`: not known, so that what stands must show it. Tells the log what was dropped.
    pub fn on_call_ended(&mut self, answer: Option<CallResponse>) -> Option<String> {
        self.calling = false;
        if self.doubt.is_some() {
            self.doubt("a call ended while it was in doubt what stands");
        }
        match answer {
            None => {
                self.doubt("a call has no known end");
                None
            }
            Some(CallResponse::Rejected) => None,
            Some(CallResponse::Malformed) => {
                let count = self.waiting.drop_call();
                Some(format!("the relay cannot read a call: {count} orders are dropped"))
            }
            Some(CallResponse::Accepted(count)) => {
                let (taken, stopped) = self.waiting.taken(count);
                if !self.untold.is_empty() {
                    let asked = self.asked;
                    self.taken.extend(taken.into_iter().map(|order| (asked, order)));
                }
                if self.taken.len() > MAX_ACCEPTED_SINCE_SNAPSHOT {
                    self.taken.clear();
                    self.doubt("a subscription takes long to tell what stands");
                }
                stopped.map(|order| format!("the relay does not take an order, which is dropped: {order:?}"))
            }
        }
    }

    /// Why what the relay holds must be asked for anew, if it must: by a new subscription.
    pub fn take_resubscribe_reason(&mut self) -> Option<&'static str> {
        let overflowed = std::mem::take(&mut self.waiting.overflowed);
        self.ask_anew.take().or(overflowed.then_some("orders were dropped for want of room"))
    }

    pub fn is_synchronized(&self) -> bool {
        self.informed
    }

    pub fn proxies_joined(&self) -> usize {
        self.proxies.len()
    }

    pub fn hosts_listed(&self) -> usize {
        self.addresses.len()
    }

    pub fn commands_pending(&self) -> usize {
        self.waiting.count()
    }

    pub fn commands_folded(&self) -> u64 {
        self.waiting.folded
    }

    pub fn commands_unnamed(&self) -> u64 {
        self.waiting.unnamed
    }
}

/// Whether there was room.
fn push<T>(sums: &mut Vec<T>, sum: T) -> bool {
    let room = sums.len() < MAX_LOAD_REPORTS_PER_BATCH;
    if room {
        sums.push(sum);
    }
    room
}

/// One list a round, whatever comes before the module may act: a whole one replaces what came before, changes
/// replace the entries that they are about. So it holds each host once, however long the relay is away.
fn fold(lists: &mut Vec<EndpointList>, newer: EndpointList) {
    match lists.last_mut() {
        Some(list) if !newer.complete => {
            let told_anew: BTreeSet<HostId> = newer.entries.iter().map(|entry| entry.host).collect();
            list.entries.retain(|entry| !told_anew.contains(&entry.host));
            // In a whole list, one that is gone is one that is lacking.
            list.entries
                .extend(newer.entries.into_iter().filter(|new| !list.complete || new.phase != Phase::Gone));
        }
        _ => *lists = vec![newer],
    }
}

fn same_lines(believed: &[(HostId, f64)], stored: &[(HostId, f64)]) -> bool {
    let alike = |a: f64, b: f64| (a - b).abs() <= WEIGHT_TOLERANCE;
    believed.len() == stored.len()
        && believed.iter().all(|(host, weight)| stored.iter().any(|(h, w)| h == host && alike(*w, *weight)))
}

#[cfg(test)]
mod tests;
