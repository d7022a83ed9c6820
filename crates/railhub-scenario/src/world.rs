//! A fleet of stand-ins that runs, and what troubles may do to it.
use crate::draw;
use crate::play::Launch;
use crate::script::Day;
use crate::stewards::Stewards;
use crate::troubles::{self, Act, Ghost, Trouble};
use may::sync::Mutex;
use railhub_emulator::endpoint_list::{EndpointList, ListedEndpoint, DRAINING, GONE, READY};
use railhub_emulator::host::{Host, HostConfig, ListeningHost, SharedSeenOperations};
use railhub_emulator::proxy::{Environment, Proxy, ProxyConfig};
use railhub_emulator::store::Store;
use railhub_emulator::update_channel::UpdateChannel;
use railhub_emulator::zone_links::ZoneLinks;
use railhub_emulator::Sabotage;
use railhub_net::{now, Task};
use railhub_record::{ControllerLifecycle, EventKind, Limits, Recorder};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Seconds between the opening of the fleet and the first operation: hosts, steward and proxies find each other.
const JOIN_WITHIN: f64 = 2.0;

pub struct World {
    pub day: Day,
    /// When the day's clock began, on the machine's.
    pub began: f64,
    pub around: Environment,
    pub roster: EndpointList,
    pub store: Store,
    pub proxies: Vec<Arc<Proxy>>,
    hosts: Mutex<Vec<Placed>>,
    /// Hosts that a trouble holds already.
    taken: Mutex<BTreeSet<usize>>,
    repeated: SharedSeenOperations,
    launch: Option<Launch>,
    stewards: Stewards,
    starting: std::sync::Mutex<()>,
    tasks: Mutex<Vec<Task>>,
}

struct Placed {
    open: ListeningHost,
    started: Option<f64>,
    weight: f64,
    is_ghost: bool,
    /// It is being replaced, or has been.
    leaves: bool,
}

impl World {
    /// Starts hosts, list, store and proxies; the steward follows with [`World::launch_steward`]. Without a way
    /// to launch one, proxies keep the tables that they are given here.
    pub fn open(
        day: &Day,
        recorder: &Recorder,
        launch: Option<Launch>,
        sabotage: Option<Sabotage>,
    ) -> io::Result<Arc<World>> {
        let classes = Arc::new(day.class_facts());
        let repeated = SharedSeenOperations::default();
        let facts = draw::hosts(day, day.hosts, "hosts");
        let mut hosts = Vec::new();
        for facts in &facts {
            let open =
                ListeningHost::open(facts.clone(), classes.clone(), repeated.clone(), recorder.clone())?;
            open.host.start(false);
            let weight = facts.cores as f64;
            hosts.push(Placed { open, started: None, weight, is_ghost: false, leaves: false });
        }
        let addresses: Vec<_> = hosts.iter().map(|placed| placed.open.host.address).collect();
        let tables = first_tables(day, &facts, &addresses);
        let roster = EndpointList::open(recorder.clone())?;
        roster.update(hosts.iter().map(|placed| placed.entry(READY)).collect());
        let zones: BTreeMap<_, _> =
            hosts.iter().map(|placed| (placed.open.host.address, placed.open.host.config.zone)).collect();
        let around = Environment {
            classes,
            controllers: Arc::new(Mutex::new(vec![None; day.stewards])),
            zones: Arc::new(Mutex::new(zones)),
            links: ZoneLinks::default(),
            channel: UpdateChannel::new(day.lines_a_second, day.limits.message_cost),
            recorder: recorder.clone(),
            extra_report_delay_ms: Arc::default(),
            newest_host: Arc::default(),
        };
        let proxies = (0..day.proxies).map(|n| {
            // Cold hosts fall only to many; everything else a few proxies can break alone.
            let wrong = sabotage.filter(|how| n % 6 == 0 || *how == Sabotage::FloodsColdHosts);
            Proxy::new(proxy_facts(day, n), around.clone(), tables.clone(), wrong)
        });
        let proxies: Vec<_> = proxies.collect();
        let shared = (day.stewards > 1).then(|| recorder.clone());
        let store = Store::open_with(tables, day.lease, shared, day.broken_store)?;
        let stewards = Stewards::open(day, &roster, store.address)?;
        Ok(Arc::new(World {
            day: day.clone(),
            began: now() + JOIN_WITHIN,
            around,
            roster,
            store,
            proxies,
            hosts: Mutex::new(hosts),
            taken: Mutex::default(),
            repeated,
            launch,
            stewards,
            starting: std::sync::Mutex::default(),
            tasks: Mutex::default(),
        }))
    }

    /// What the rules of this run are, written down first.
    pub fn note_limits(&self) {
        let (from, until) = (self.began, self.began + self.day.length);
        self.around
            .recorder
            .record(0.0, EventKind::Limits(Limits { from, until, ..self.day.limits.clone() }));
    }

    fn with_hosts<T>(&self, act: impl FnOnce(&mut Vec<Placed>) -> T) -> T {
        act(&mut self.hosts.lock().expect("no holder panics"))
    }

    pub fn host(&self, place: usize) -> Arc<Host> {
        self.with_hosts(|hosts| hosts[place].open.host.clone())
    }

    pub fn entry(&self, place: usize, phase: &'static str) -> ListedEndpoint {
        self.with_hosts(|hosts| hosts[place].entry(phase))
    }

    /// So many hosts that live and that no other trouble holds; fewer if there are no more.
    pub fn choose(&self, count: usize, trouble: usize) -> Vec<usize> {
        let mut taken = self.taken.lock().expect("no holder panics");
        let free: Vec<usize> = self.with_hosts(|hosts| {
            let open = |n: &usize| !hosts[*n].is_ghost && !hosts[*n].leaves && !taken.contains(n);
            (0..hosts.len()).filter(open).collect()
        });
        let chosen = troubles::choose(&self.day, trouble, &free, count);
        taken.extend(&chosen);
        chosen
    }

    /// A trouble is over: others may strike these hosts.
    pub fn release(&self, hosts: &[usize]) {
        let mut taken = self.taken.lock().expect("no holder panics");
        hosts.iter().for_each(|host| _ = taken.remove(host));
    }

    pub fn in_zone(&self, zone: u32) -> Vec<usize> {
        self.with_hosts(|hosts| {
            let inside = |n: &usize| {
                let placed = &hosts[*n];
                placed.open.host.config.zone == zone && !placed.is_ghost && !placed.leaves
            };
            (0..hosts.len()).filter(inside).collect()
        })
    }

    /// Its process dies; the list notices later.
    pub fn crash(&self, place: usize) {
        self.host(place).kill();
        self.roster.update_after(self.day.roster_notice, vec![self.entry(place, GONE)]);
    }

    /// It comes back cold, unless it was being replaced meanwhile.
    pub fn start_again(&self, place: usize) {
        if self.with_hosts(|hosts| hosts[place].leaves) || self.host(place).is_alive() {
            return;
        }
        let host = self.host(place);
        let started = host.start(true);
        self.with_hosts(|hosts| hosts[place].started = Some(started));
        // What the list has not noticed yet must not come after this word.
        self.roster.update_after(
            self.day.roster_add.max(self.day.roster_notice + 0.05),
            vec![self.entry(place, READY)],
        );
        *self.around.newest_host.lock().expect("no holder panics") = Some(host.address);
    }

    pub fn drain(&self, place: usize) {
        self.with_hosts(|hosts| hosts[place].leaves = true);
        self.host(place).change_faults(|ailments| ailments.drains = true);
        self.roster.update_after(self.day.roster_add, vec![self.entry(place, DRAINING)]);
    }

    pub fn stop_drained(&self, place: usize) {
        self.host(place).kill();
        self.roster.update_after(self.day.roster_add, vec![self.entry(place, GONE)]);
    }

    /// A new machine, cold.
    pub fn add_host(&self) {
        let count = self.with_hosts(|hosts| hosts.len());
        let mut facts = draw::hosts(&self.day, self.day.hosts, &format!("host {count}"))
            .swap_remove(count % self.day.hosts);
        facts.zone = (count % self.day.zones.len()) as u32;
        let Some(place) = self.place_host(facts, false) else { return };
        let host = self.host(place);
        let started = host.start(true);
        self.with_hosts(|hosts| hosts[place].started = Some(started));
        self.roster.update_after(self.day.roster_add, vec![self.entry(place, READY)]);
        *self.around.newest_host.lock().expect("no holder panics") = Some(host.address);
    }

    /// Something that is listed and is none of ours.
    pub fn add_ghost(&self, kind: &Ghost) -> Option<usize> {
        let facts = draw::hosts(&self.day, 1, "ghost").swap_remove(0);
        let place = self.place_host(facts, true)?;
        let host = self.host(place);
        if *kind != Ghost::Refuse {
            host.start(false);
            host.change_faults(|ailments| match kind {
                Ghost::Error => ailments.fails = true,
                _ => ailments.hangs = true,
            });
        }
        Some(place)
    }

    fn place_host(&self, facts: HostConfig, is_ghost: bool) -> Option<usize> {
        let (weight, zone) = (facts.cores as f64, facts.zone);
        let classes = self.around.classes.clone();
        let opened = ListeningHost::open(facts, classes, self.repeated.clone(), self.around.recorder.clone());
        let open = opened.inspect_err(|error| tracing::error!(%error, "a host cannot listen")).ok()?;
        self.around.zones.lock().expect("no holder panics").insert(open.host.address, zone);
        Some(self.with_hosts(|hosts| {
            hosts.push(Placed { open, started: None, weight, is_ghost, leaves: false });
            hosts.len() - 1
        }))
    }

    pub fn some_proxies(&self, share: f64, trouble: usize, act: impl Fn(&Proxy)) {
        let all: Vec<usize> = (0..self.proxies.len()).collect();
        let count = (share * all.len() as f64).round() as usize;
        troubles::choose(&self.day, trouble, &all, count.max(1)).iter().for_each(|n| act(&self.proxies[*n]));
    }

    /// Sums come so much later than so far; below 0: earlier again.
    pub fn set_sums_later(&self, by: f64) {
        self.around.extra_report_delay_ms.fetch_add((by * 1000.0).round() as i64, Ordering::Relaxed);
    }

    pub fn note_trouble(&self, trouble: &Trouble, on: bool, channel_slower: f64) {
        let note = format!("{:?}", trouble.act);
        let name = format!("{} ({})", trouble.name, trouble.kind);
        let event =
            railhub_record::InjectedFault { name, active: on, note, channel_slowdown: channel_slower };
        self.around.recorder.record(now(), EventKind::InjectedFault(event));
    }

    /// Launches a steward and tells the proxies where it is. Waits for it: not in a coroutine.
    pub fn launch_steward(&self, steward: usize) -> Result<(), String> {
        let Some(launch) = &self.launch else { return Ok(()) };
        let address =
            self.stewards.launch(&self.day, launch, steward, self.roster.address, self.store.address)?;
        self.note_life(steward, true);
        self.around.controllers.lock().expect("no holder panics")[steward] = Some(address);
        Ok(())
    }

    fn note_life(&self, steward: usize, up: bool) {
        let set_back = self.day.clocks.get(steward).is_some_and(|clock| clock.jumps_by < 0.0);
        let life = ControllerLifecycle {
            running: up,
            controller: steward as u32,
            paused: false,
            clock_set_back: set_back,
        };
        self.around.recorder.record(now(), EventKind::ControllerLifecycle(life));
    }

    pub fn start_steward(self: &Arc<World>, steward: usize) {
        let world = self.clone();
        std::thread::spawn(move || {
            // Another trouble may have started it meanwhile, or does so now.
            let _one_at_a_time = world.starting.lock().expect("no holder panics");
            if world.stewards.is_running(steward) {
                return;
            }
            if let Err(error) = world.launch_steward(steward) {
                tracing::error!(error, steward, "the steward does not start again");
            }
        });
    }

    pub fn kill_steward(&self, steward: usize) {
        self.around.controllers.lock().expect("no holder panics")[steward] = None;
        if self.stewards.kill(steward) {
            self.note_life(steward, false);
        }
    }

    /// Its process stands still, or goes on.
    pub fn pause_steward(&self, steward: usize, stops: bool) {
        self.stewards.pause(steward, stops);
        let life = ControllerLifecycle {
            running: true,
            controller: steward as u32,
            paused: stops,
            clock_set_back: false,
        };
        self.around.recorder.record(now(), EventKind::ControllerLifecycle(life));
    }

    /// It is told to hand its slices over.
    pub fn drain_steward(&self, steward: usize) {
        self.stewards.drain(&self.day, steward);
    }

    /// A trouble of the links between stewards, list, store and proxies begins, or is over.
    pub fn strike_links(&self, number: usize, act: Option<&Act>) {
        self.stewards.strike(number, act);
    }

    pub fn follow_stewards(&self) {
        if self.launch.is_some() {
            let mut tasks = self.tasks.lock().expect("no holder panics");
            tasks.extend(self.proxies.iter().flat_map(|proxy| proxy.follow_controllers()));
        }
    }

    /// Ends everything.
    pub fn close(&self) {
        self.tasks.lock().expect("no holder panics").clear();
        (0..self.stewards.count()).for_each(|steward| self.kill_steward(steward));
        self.proxies.iter().for_each(|proxy| {
            proxy.break_streams();
            proxy.close();
        });
        let hosts: Vec<_> = self.with_hosts(|hosts| hosts.iter().map(|p| p.open.host.clone()).collect());
        hosts.iter().for_each(|host: &Arc<Host>| host.kill());
    }
}

impl Placed {
    fn entry(&self, phase: &'static str) -> ListedEndpoint {
        let (host, kind) = (self.open.host.address, self.open.host.config.kind);
        ListedEndpoint { host, phase, started: self.started, weight: self.weight, kind }
    }
}

pub fn proxy_facts(day: &Day, n: usize) -> ProxyConfig {
    ProxyConfig {
        number: n as u32,
        zone: (n % day.zones.len()) as u32,
        policy: day.pick,
        no_host_timeout: day.hold,
        first_attempt_timeout_fraction: day.first_wait,
        connect_timeout: day.connect_within,
        report_interval: day.report_every,
        report_delay: day.report_late,
        max_reconnect_delay: day.redial,
        seed: day.seed ^ (n as u64) << 20,
    }
}

/// The tables that the day begins with, by the hosts' addresses.
pub fn first_tables(day: &Day, facts: &[HostConfig], addresses: &[SocketAddr]) -> Tables {
    if day.slices == 0 {
        let lines = addresses.iter().zip(facts).map(|(address, facts)| (*address, facts.cores as f64));
        return Tables::from([(0, lines.collect())]);
    }
    let owners = draw::first_owners(day, facts);
    owners.iter().enumerate().map(|(slice, owner)| (slice as u32, vec![(addresses[*owner], 1.0)])).collect()
}

/// Lines by slice.
pub type Tables = BTreeMap<u32, Vec<(SocketAddr, f64)>>;

/// The settings of the steward of a day.
pub fn steward_file(day: &Day, roster: SocketAddr, store: SocketAddr) -> String {
    use std::fmt::Write;
    let limits = &day.limits;
    let mut text = format!("[steward]\nlisten = 127.0.0.1:0\nroster = {}\nslices = {}\n", roster, day.slices);
    if day.slices > 0 {
        let _ = writeln!(text, "store = {store}");
    }
    let binds = if limits.removed_hosts_exempt { "no" } else { "yes" };
    let _ = write!(
        text,
        "removal_binds = {binds}\n\n[limits]\nfirst_wait = {}\ncold_from = {}\nwarm_within = {}\n\
         fall_multiple = {}\nbacklog = {}\nmessage_cost = {}\nmessage_cap = {}\nmessages_span = {}\n\
         reports_a_second = {}\n",
        day.first_wait,
        limits.cold_capacity_fraction,
        limits.max_warm_up,
        limits.overload_multiple,
        limits.max_backlog,
        limits.message_cost,
        limits.max_messages,
        limits.message_span,
        day.reports_a_second,
    );
    for class in &limits.classes {
        use railhub_record::OperationIdempotency;
        let repeats = match class.idempotency() {
            OperationIdempotency::Safe => "safe".to_owned(),
            OperationIdempotency::IdempotencyKeyGlobal => format!("keyed\nkey_window = {}", class.key_window),
            OperationIdempotency::IdempotencyKeyLocal => "keyed nearby".to_owned(),
            OperationIdempotency::Never => "never".to_owned(),
        };
        let _ = write!(
            text,
            "\n[class {}]\ncontract_time = {}\ngain = {}\nrepeats = {repeats}\n",
            class.name, class.contract_time, class.priority_weight
        );
    }
    text
}
