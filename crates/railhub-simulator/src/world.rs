//! One run of a day in the model: its state, and the loop over what is due.
use crate::baseline::Baseline;
use crate::events::{Agenda, Due, HostAt, ProxyAt};
use crate::hosts::Host;
use crate::list::{Line, List};
use crate::operations::Op;
use crate::steward::Controller;
use railhub::Phase;
use railhub_controller::core::StreamId;
use railhub_controller::ControllerSettings;
use railhub_emulator::host::{HostConfig, SeenOperations};
use railhub_emulator::load_totals::LoadTotals;
use railhub_emulator::routing::RoutingState;
use railhub_emulator::OperationClass;
use railhub_external_engine::process::EngineErrorSlot;
use railhub_ini::Document;
use railhub_record::{Event, EventKind, Limits};
use railhub_scenario::controller_settings::controller_settings;
use railhub_scenario::draw::{self, Arrival};
use railhub_scenario::fault::FaultKind;
use railhub_scenario::initial_state::{initial_tables, proxy_config, Tables};
use railhub_scenario::Scenario;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Seconds between the opening of the fleet and the first operation, as the stand-ins have.
const JOIN_WITHIN: f64 = 2.0;
/// Seconds the fleet runs on after the last operation has ended.
const RUN_ON: f64 = 1.0;
/// Spreads a small number over all bits, so that no luck is near another.
const LUCK_MIX: u64 = 0x9e37_79b9_7f4a_7c15;
/// Ports of the model's hosts begin here: they are names, nothing listens.
const FIRST_PORT: u16 = 10_000;

/// Who steers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Policy {
    Controller,
    /// Tables stay as they were at the start.
    Fixed,
    Baseline(Baseline),
    /// Another version of the decisions: a program that speaks the adapter's protocol.
    Version(PathBuf),
}

/// What a machine adds to what a script says; a loopback record tells it. Seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingModel {
    /// A message between two processes, one way.
    pub message_latency: f64,
    /// How late work ends: timers are not exact.
    pub completion_delay: f64,
}

impl Default for TimingModel {
    /// What `railhub model fit` reads out of a loopback run of the first bad day on four cores.
    fn default() -> TimingModel {
        TimingModel { message_latency: 0.000_073, completion_delay: 0.000_21 }
    }
}

pub struct Proxy {
    pub zone: u32,
    pub held: RoutingState,
    pub totals: LoadTotals,
    pub chance: ChaCha8Rng,
    /// Tries out at each host.
    pub out: BTreeMap<SocketAddr, usize>,
    pub stream: Option<StreamId>,
    pub refuses_next: bool,
}

impl Proxy {
    pub fn random(&mut self) -> f64 {
        self.chance.random()
    }
}

pub struct World<'a> {
    pub day: &'a Scenario,
    pub policy: Policy,
    pub physics: TimingModel,
    pub controller_settings: ControllerSettings,
    pub began: f64,
    pub agenda: Agenda,
    pub classes: Vec<OperationClass>,
    pub arrivals: Vec<Arrival>,
    pub ops: Vec<Option<Op>>,
    pub under_way: usize,
    pub last_attempt: u64,
    pub hosts: Vec<Host>,
    pub places: BTreeMap<SocketAddr, HostAt>,
    pub repeated: SeenOperations,
    pub proxies: Vec<Proxy>,
    pub list: List,
    /// What a plain policy knows of the list.
    pub known: BTreeMap<SocketAddr, Line>,
    pub tables: Tables,
    pub store_away: bool,
    pub unstored: Tables,
    pub steward: Option<Controller>,
    pub incarnation: u64,
    pub last_stream: u64,
    pub waits_to_dial: Vec<ProxyAt>,
    pub channel_slower: f64,
    pub channel_free: f64,
    pub sums_later: f64,
    pub slow_links: BTreeSet<usize>,
    pub taken: BTreeSet<HostAt>,
    /// Whom each trouble struck.
    pub struck: Vec<Vec<HostAt>>,
    /// What went wrong with a version, if one steers.
    pub faults: Vec<EngineErrorSlot>,
    events: Vec<Event>,
}

/// Runs a day to its end; the record of it.
pub fn run(day: &Scenario, policy: &Policy, physics: TimingModel) -> Result<Vec<Event>, String> {
    run_with_proxy_seed(day, policy, physics, 0)
}

/// The same day with other luck: the same hosts, operations and troubles, other picks of the proxies and other
/// moments of their reports. What differs between two lucks is what two loopback runs of a day differ by.
pub fn run_with_proxy_seed(
    day: &Scenario,
    policy: &Policy,
    physics: TimingModel,
    luck: u64,
) -> Result<Vec<Event>, String> {
    if day.controllers > 1 {
        return Err("days with several stewards are played on loopback".into());
    }
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let document = Document::parse("the steward's settings", &controller_settings(day, nowhere, nowhere));
    let controller_settings =
        document.and_then(|document| ControllerSettings::read(&document)).map_err(|e| e.to_string())?;
    let mut world = World::new(day, policy.clone(), physics, controller_settings, luck);
    world.open();
    world.play();
    for place in &world.faults {
        if let Some(fault) = place.lock().expect("no holder panics").take() {
            return Err(fault.to_string());
        }
    }
    let mut events = world.events;
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(events)
}

impl World<'_> {
    fn new(
        day: &Scenario,
        policy: Policy,
        physics: TimingModel,
        controller_settings: ControllerSettings,
        luck: u64,
    ) -> World<'_> {
        let facts = draw::hosts(day, day.hosts, "hosts");
        let proxies = (0..day.proxies).map(|n| {
            let facts = proxy_config(day, n);
            Proxy {
                zone: facts.zone,
                held: RoutingState::default(),
                totals: LoadTotals::new(0.0),
                chance: ChaCha8Rng::seed_from_u64(facts.seed ^ luck.wrapping_mul(LUCK_MIX)),
                out: BTreeMap::new(),
                stream: None,
                refuses_next: false,
            }
        });
        let mut world = World {
            day,
            policy,
            physics,
            controller_settings,
            began: JOIN_WITHIN,
            agenda: Agenda::default(),
            classes: day.emulated_classes(),
            arrivals: draw::arrivals(day, draw::capacity(&facts)),
            ops: Vec::new(),
            under_way: 0,
            last_attempt: 0,
            hosts: Vec::new(),
            places: BTreeMap::new(),
            repeated: SeenOperations::default(),
            proxies: proxies.collect(),
            list: List::default(),
            known: BTreeMap::new(),
            tables: Tables::new(),
            store_away: false,
            unstored: Tables::new(),
            steward: None,
            incarnation: 0,
            last_stream: 0,
            waits_to_dial: Vec::new(),
            channel_slower: 1.0,
            channel_free: 0.0,
            sums_later: 0.0,
            slow_links: BTreeSet::new(),
            taken: BTreeSet::new(),
            struck: vec![Vec::new(); day.faults.len()],
            faults: Vec::new(),
            events: Vec::new(),
        };
        world.under_way = world.arrivals.len();
        for facts in &facts {
            world.place_host(facts.clone());
        }
        let addresses: Vec<SocketAddr> = world.hosts.iter().map(|host| host.address).collect();
        world.tables = initial_tables(day, &facts, &addresses);
        let held = RoutingState::with_tables(world.tables.clone());
        world.proxies.iter_mut().for_each(|proxy| proxy.held = held.clone());
        world
    }

    pub fn place_host(&mut self, facts: HostConfig) -> HostAt {
        let place = self.hosts.len();
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + place as u16));
        self.hosts.push(Host::new(address, facts));
        self.places.insert(address, place);
        place
    }

    pub fn note(&mut self, what: EventKind) {
        self.note_at(self.agenda.now, what);
    }

    /// What happens a little later than it is decided; the record is put in order at its end.
    pub fn note_at(&mut self, at: f64, what: EventKind) {
        self.events.push(Event { at, kind: Some(what) });
    }

    /// Seconds more each way between two zones, and the share lost.
    pub fn between(&self, a: u32, b: u32) -> (f64, f64) {
        let mut all = (0.0, 0.0f64);
        for number in &self.slow_links {
            if let FaultKind::SlowZoneLink { zone, other, delay, loss_fraction: lost } =
                self.day.faults[*number].kind
            {
                let joins = |end: u32| other.is_none_or(|other| other == end);
                if a != b && (zone == a && joins(b) || zone == b && joins(a)) {
                    all = (all.0 + delay, all.1.max(lost));
                }
            }
        }
        all
    }

    fn open(&mut self) {
        let (from, until) = (self.began, self.began + self.day.length);
        let limits = Limits { from, until, ..self.day.limits.clone() };
        self.events.push(Event { at: 0.0, kind: Some(EventKind::Limits(limits)) });
        for place in 0..self.hosts.len() {
            self.host_starts(place, false);
            let host = &self.hosts[place];
            let (weight, kind) = (host.weight, host.facts.kind);
            self.list.learn(host.address, Line { phase: Phase::Ready, started: None, weight, kind });
        }
        self.agenda.at(0.02, Due::StewardStarts);
        for proxy in 0..self.proxies.len() {
            let dials = 0.05 + self.proxies[proxy].random() * 0.02;
            self.agenda.at(dials, Due::Dials(proxy));
            let reports = self.day.report_interval * (1.0 + self.proxies[proxy].random());
            self.agenda.at(reports, Due::Reports(proxy));
        }
        for (number, trouble) in self.day.faults.iter().enumerate() {
            self.agenda.at(self.began + trouble.at, Due::TroubleOn(number));
        }
        for number in 0..self.arrivals.len() {
            self.agenda.at(self.began + self.arrivals[number].at, Due::Comes(number));
        }
    }

    fn play(&mut self) {
        let troubles = self.day.faults.iter().map(|trouble| trouble.end());
        let last = self.began + troubles.fold(self.day.length, f64::max);
        let mut ends_at = f64::INFINITY;
        while let Some(due) = self.agenda.next() {
            let now = self.agenda.now;
            if self.under_way == 0 && now >= last && ends_at.is_infinite() {
                ends_at = now + RUN_ON;
            }
            if now > ends_at {
                return;
            }
            self.handle(due);
        }
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Comes(number) => self.comes(number),
            Due::ComesAgain(op) => self.comes_again(op),
            Due::Looks(op) => self.looks(op),
            Due::Reaches(op, attempt) => self.reaches(op, attempt),
            Due::WaitEnds(op, attempt) => self.wait_ends(op, attempt),
            Due::Answered(op, attempt, end) => self.answered(op, attempt, end),
            Due::Begins(host, life, job) => self.begins(host, life, job),
            Due::Done(host, life, job, repeat) => self.done(host, life, job, repeat),
            Due::Dials(proxy) => self.dials(proxy),
            Due::Reports(proxy) => self.reports(proxy),
            Due::SumsArrive(proxy, sums) => self.sums_arrive(proxy, sums),
            Due::Delta(proxy, stream, publication) => self.delta_arrives(proxy, stream, &publication),
            Due::Word(proxy, stream, nonce, refused) => self.word_arrives(proxy, stream, nonce, refused),
            Due::Mail(proxy) => self.mail(proxy),
            Due::Probed(host) => self.probed(host),
            Due::ProbeEnds(host, end) => self.probe_ends(host, end),
            Due::ListTells => self.list_tells(),
            Due::ListLearns(host, phase) => self.list_learns(host, phase),
            Due::StewardWakes => self.steward_wakes(),
            Due::StewardStarts => self.start_steward(),
            Due::TroubleOn(number) => self.trouble_on(number),
            Due::TroubleOff(number) => self.trouble_off(number),
            Due::Pulse(number, step) => self.pulse(number, step),
            Due::DrainEnds(host) => self.drain_ends(host),
        }
    }
}
