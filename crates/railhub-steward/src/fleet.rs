//! A steward's part in the fleet of stewards: a thread and a socket round the lease manager, which decides all of it.
//!
//! The way of one datagram: the socket gives it; [`railhub_membership::packet`] drops and counts what is spoilt,
//! foreign, of another version or too long; the lease manager hears the message and says what to send; each letter
//! goes to the address in its receiver's metadata. Whatever goes wrong here, the steward serves on: nothing else
//! waits for it.
use crate::inbox::{Inbox, OwnerEvent};
use crate::kernel::Figures;
use crate::leases::LeaseTable;
use crate::store::{StoreWriter, StoredTable};
use railhub::SliceId;
use railhub_ini::{Diagnostic, Document};
use railhub_membership::lease_manager::{Effects, LeaseManager, LeaseManagerOptions};
use railhub_membership::member::{Load, NodeMetadata};
use railhub_membership::messages::{Destination, OutgoingMessage};
use railhub_membership::packet::{
    self, DroppedDatagrams, Packet, View, MAX_DATAGRAM_BYTES, MAX_VIEW_ENTRIES,
};
use railhub_membership::safeguard::Safeguard;
use railhub_membership::swim::{Membership, MembershipConfig};
use railhub_membership::view::ViewEntry;
use railhub_membership::NodeId;
use railhub_net::{now, seconds};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// Seconds the thread sleeps at most, so that it hears of its end.
const LONGEST_SLEEP: f64 = 0.05;
/// Seconds between two looks at the steward's own load.
const LOAD_EVERY: f64 = 1.0;
/// Looks at the view that are answered in a second: further ones are dropped and counted.
const LOOKS_A_SECOND: u32 = 400;
/// Seconds after a start before anything is asked of the store: who else is there is learnt first.
const SETTLE: f64 = 1.0;
/// Seconds within which a steward that is told to go hands its slices over: at the pace of handovers some eighty.
const LEAVES_WITHIN: f64 = 2.0;
/// Seconds between looks for an answer of the store while one is due.
const ANSWER_LOOK: f64 = 0.004;
/// Addresses to join by.
const SEEDS_MOST: usize = 16;
/// Version of the program, as the others see it.
const PROGRAM: &str = env!("CARGO_PKG_VERSION");

/// A clock that may run fast or slow, and jump once. Leases, membership and what is written by them go by it; nothing
/// else in a steward does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseClock {
    pub speed: f64,
    /// Seconds after the start, and seconds that it jumps by then; 0: it does not.
    pub jumps_after: f64,
    pub jumps_by: f64,
    pub began: f64,
}

impl LeaseClock {
    pub fn now(&self) -> f64 {
        let passed = now() - self.began;
        let jump = if passed >= self.jumps_after { self.jumps_by } else { 0.0 };
        self.began + passed * self.speed + jump
    }
}

/// What the file says of the fleet.
#[derive(Clone, Debug)]
pub struct FleetTerms {
    pub id: NodeId,
    /// Datagrams of other installations are dropped.
    pub installation: String,
    pub listen: SocketAddr,
    /// Where the others reach us, if it is not where we listen.
    pub advertise: Option<SocketAddr>,
    pub join: Vec<SocketAddr>,
    pub forget_after: f64,
    /// The slices are shared: leased from the store, each for so many seconds.
    pub share: bool,
    pub lease: f64,
    /// Number of the process, where the clock should not give it: for tests of clocks that were set back.
    pub process: Option<u64>,
    /// The clock that leases are counted on, for tests: machines' clocks run apart and jump.
    pub clock: LeaseClock,
    /// A safeguard that is left out: for tests of the judge alone.
    pub without: Option<Safeguard>,
    /// Digest of the file, but for what each steward has of its own.
    pub settings: u64,
}

impl FleetTerms {
    /// The `[fleet]` section, if there is one.
    ///
    /// # Errors
    /// What is wrong, with its line.
    pub fn read(document: &Document) -> Result<Option<FleetTerms>, Diagnostic> {
        let fleet = document.section("fleet");
        if !fleet.exists() {
            return Ok(None);
        }
        let installation: String = fleet.required("installation")?;
        if installation.is_empty() || installation.len() > packet::MAX_INSTALLATION_BYTES {
            return Err(fleet
                .diagnostic("installation", format!("needs 1 to {} bytes", packet::MAX_INSTALLATION_BYTES)));
        }
        let join = fleet.list("join").into_iter().map(|text| {
            text.parse()
                .map_err(|_| fleet.diagnostic("join", format!("cannot be '{text}': addresses are needed")))
        });
        let join: Vec<SocketAddr> = join.collect::<Result<_, _>>()?;
        if join.len() > SEEDS_MOST {
            return Err(
                fleet.diagnostic("join", format!("has {} addresses, {SEEDS_MOST} at the most", join.len()))
            );
        }
        let safeguards = [
            ("nothing", None),
            ("refutation", Some(Safeguard::Refutation)),
            ("asking the dead", Some(Safeguard::DeadProbing)),
            ("process", Some(Safeguard::ProcessOrder)),
            ("anti-entropy", Some(Safeguard::AntiEntropy)),
            ("rumour bound", Some(Safeguard::GossipLimit)),
            ("own trouble", Some(Safeguard::LocalHealth)),
            ("additions", Some(Safeguard::Extensions)),
            ("lease end", Some(Safeguard::LeaseExpiry)),
        ];
        let own = |section: &str, key: &str| {
            section == "fleet" && !matches!(key, "installation" | "share" | "lease")
                || section == "steward" && matches!(key, "listen" | "traffic")
        };
        let terms = FleetTerms {
            id: NodeId(fleet.required_in_range("id", 0.0, f64::from(u16::MAX - 1))? as u16),
            installation,
            listen: fleet.value_or("listen", SocketAddr::from(([127, 0, 0, 1], 0)))?,
            advertise: fleet.text("advertise").map(|_| fleet.required("advertise")).transpose()?,
            join,
            forget_after: fleet.in_range("forget_after", 600.0, 1.0, 1e6)?,
            share: fleet.flag("share", false)?,
            lease: fleet.in_range("lease", 3.0, 0.5, 60.0)?,
            clock: LeaseClock {
                speed: fleet.in_range("clock_speed", 1.0, 0.5, 2.0)?,
                jumps_after: fleet.in_range("clock_jumps_after", 0.0, 0.0, 1e6)?,
                jumps_by: fleet.in_range("clock_jumps_by", 0.0, -1e4, 1e4)?,
                began: now(),
            },
            process: fleet.text("process").map(|_| fleet.required("process")).transpose()?,
            without: fleet.choice("without", "nothing", &safeguards)?,
            settings: document.digest(own),
        };
        fleet.reject_unread_keys()?;
        Ok(Some(terms))
    }
}

/// What the thread has seen, for the log.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetFigures {
    pub alive: usize,
    pub sent: u64,
    pub heard: u64,
    pub dropped: DroppedDatagrams,
    pub looks_dropped: u64,
    pub yielded: bool,
    /// Slices in charge, and tables that the store did not take, where slices are shared.
    pub charges: usize,
    pub tables_refused: u64,
}

/// What a steward that shares slices works with.
pub struct SliceSharing {
    pub store: Arc<StoreWriter>,
    pub inbox: Arc<Inbox>,
    pub leases: Arc<LeaseTable>,
    pub slices: u16,
}

/// The service; dropping it ends the thread without a word to the others, as a crash would.
pub struct FleetService {
    pub address: SocketAddr,
    pub process: u64,
    ends: Arc<AtomicBool>,
    leaves: Arc<AtomicBool>,
    shown: Arc<Mutex<FleetFigures>>,
    thread: Option<JoinHandle<()>>,
}

impl FleetService {
    /// # Errors
    /// The address cannot be listened on.
    pub fn start(
        terms: &FleetTerms,
        steward: Arc<Mutex<Figures>>,
        shares: Option<SliceSharing>,
        slices: u16,
    ) -> io::Result<FleetService> {
        let socket = UdpSocket::bind(terms.listen)?;
        let address = socket.local_addr()?;
        let (ends, leaves) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let shown = Arc::new(Mutex::new(FleetFigures::default()));
        let mut desk = LeaseCoordinator {
            lease_manager: LeaseManager::new(
                &options(terms, address, &BTreeMap::from([(terms.id, 1.0)]), &shares),
                terms.clock.now(),
            ),
            clock: terms.clock,
            shares,
            overruns: terms.without == Some(Safeguard::LeaseExpiry),
            socket,
            installation: terms.installation.clone(),
            figures: FleetFigures::default(),
            shown: shown.clone(),
            steward,
            slices,
            load_at: 0.0,
            cpu: (terms.clock.now(), cpu_seconds()),
            looks: (0.0, 0),
        };
        tracing::info!(id = terms.id.0, process = desk.membership().incarnation().process, %address, "the steward is in the fleet");
        let process = desk.membership().incarnation().process;
        let (stop, leave) = (ends.clone(), leaves.clone());
        let thread =
            std::thread::Builder::new().name("fleet".into()).spawn(move || desk.run(&stop, &leave))?;
        Ok(FleetService { address, process, ends, leaves, shown, thread: Some(thread) })
    }

    pub fn figures(&self) -> FleetFigures {
        self.shown.lock().expect("no holder panics").clone()
    }

    /// Tells the others that we go, and ends.
    pub fn leave(&mut self) {
        self.leaves.store(true, Ordering::Release);
        self.end();
    }

    fn end(&mut self) {
        self.ends.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for FleetService {
    fn drop(&mut self) {
        self.end();
    }
}

fn options<'a>(
    terms: &FleetTerms,
    address: SocketAddr,
    weights: &'a BTreeMap<NodeId, f64>,
    shares: &Option<SliceSharing>,
) -> LeaseManagerOptions<'a> {
    // Microseconds since 1970: higher than any earlier process of ours, unless the clock was set back, which the
    // others tell us then.
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let process = terms.process.unwrap_or(since.as_micros() as u64);
    let metadata = NodeMetadata {
        address: Some(terms.advertise.unwrap_or(address)),
        program_version: PROGRAM.to_owned(),
        protocol_version: u32::from(packet::VERSION),
        settings_digest: terms.settings,
        draining: false,
        store_unreachable: false,
    };
    let config = MembershipConfig {
        seeds: terms.join.clone(),
        forget_after: terms.forget_after,
        without: terms.without,
    };
    let slices = shares.as_ref().map_or(0, |shares| shares.slices);
    LeaseManagerOptions {
        id: terms.id,
        process,
        weights,
        metadata,
        config,
        slices,
        lease_duration: terms.lease,
        settle_time: SETTLE,
        seed: process,
    }
}

/// Seconds of processor time that this process took.
fn cpu_seconds() -> f64 {
    // SAFETY: the call fills in one rusage, for which all zeroes are a value.
    let usage = unsafe {
        let mut usage = std::mem::zeroed::<libc::rusage>();
        libc::getrusage(libc::RUSAGE_SELF, &mut usage);
        usage
    };
    let of = |time: libc::timeval| time.tv_sec as f64 + time.tv_usec as f64 / 1e6;
    of(usage.ru_utime) + of(usage.ru_stime)
}

struct LeaseCoordinator {
    lease_manager: LeaseManager,
    clock: LeaseClock,
    shares: Option<SliceSharing>,
    /// For tests of the judge alone: slices whose leases are over are kept.
    overruns: bool,
    socket: UdpSocket,
    installation: String,
    figures: FleetFigures,
    shown: Arc<Mutex<FleetFigures>>,
    steward: Arc<Mutex<Figures>>,
    slices: u16,
    load_at: f64,
    /// When processor time was looked at, and how much it was.
    cpu: (f64, f64),
    /// The second that looks are counted in, and how many there were.
    looks: (f64, u32),
}

impl LeaseCoordinator {
    fn membership(&self) -> &Membership {
        self.lease_manager.membership()
    }

    fn run(&mut self, ends: &AtomicBool, leaves: &AtomicBool) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        // When the next turn is due. A message may bring it forward and never puts it off: words that come without end
        // must not hold up turns.
        let mut due = 0.0;
        while !ends.load(Ordering::Acquire) {
            self.take_answer();
            let at = self.clock.now();
            if at >= due {
                self.turn(at);
                due = self.lease_manager.next_tick_at(at);
                continue;
            }
            let longest = if self.lease_manager.request_in_flight() { ANSWER_LOOK } else { LONGEST_SLEEP };
            let wait = seconds((due - at).min(longest)).max(std::time::Duration::from_micros(100));
            if self.socket.set_read_timeout(Some(wait)).is_err() {
                std::thread::sleep(wait);
            }
            if let Ok((length, from)) = self.socket.recv_from(&mut bytes) {
                self.take(&bytes[..length], from);
                due = due.min(self.lease_manager.next_tick_at(self.clock.now()));
            }
        }
        if leaves.load(Ordering::Acquire) {
            self.hand_over();
            let acts = self.lease_manager.leave();
            self.carry_out(acts);
        }
    }

    /// Gives its slices to the others before it goes, as far as the time for it reaches; the rest are taken when their
    /// leases end.
    fn hand_over(&mut self) {
        if self.shares.is_none() {
            return;
        }
        self.lease_manager.start_draining();
        let until = now() + LEAVES_WITHIN;
        while now() < until && (!self.lease_manager.is_drained() || self.lease_manager.request_in_flight()) {
            self.take_answer();
            self.turn(self.clock.now());
            std::thread::sleep(seconds(ANSWER_LOOK));
        }
    }

    fn turn(&mut self, at: f64) {
        if at - self.load_at >= LOAD_EVERY {
            self.load_at = at;
            self.look_at_load(at);
        }
        let acts = self.lease_manager.tick(at);
        self.pass_on(&acts, Vec::new());
        self.carry_out(acts);
    }

    fn look_at_load(&mut self, at: f64) {
        let (since, before) = std::mem::replace(&mut self.cpu, (at, cpu_seconds()));
        let busy = ((self.cpu.1 - before) / (at - since).max(0.001)) as f32;
        let proxies = self.steward.lock().expect("no holder panics").joined as u32;
        let held = self.shares.is_some().then(|| self.lease_manager.leases().count() as u32);
        self.lease_manager.set_load(Load {
            slices: held.unwrap_or(self.slices.into()),
            proxies,
            cpu_cores: busy,
        });
        self.figures.charges = held.unwrap_or(0) as usize;
        self.figures.tables_refused = self.shares.as_ref().map_or(0, |shares| shares.store.refused());
        self.figures.alive = self.membership().live_count();
        self.figures.sent = self.membership().messages_sent();
        self.figures.yielded = self.membership().is_superseded();
        *self.shown.lock().expect("no holder panics") = self.figures.clone();
    }

    /// What the store has granted and refused, if it has answered.
    fn take_answer(&mut self) {
        let Some(leased) = self.shares.as_ref().and_then(|shares| shares.store.answer()) else { return };
        let acts = self.lease_manager.on_response(self.clock.now(), &leased.response);
        self.pass_on(&acts, leased.tables);
        self.carry_out(acts);
    }

    /// Slices that were gained, with their tables, and lost. The book of leases goes first: what is written from now on
    /// must not rest on one that is gone.
    fn pass_on(&self, acts: &Effects, tables: Vec<StoredTable>) {
        let Some(shares) = &self.shares else { return };
        shares.leases.note(self.lease_manager.leases());
        let slices = |ids: &[u16]| match self.overruns {
            true => Vec::new(),
            false => ids.iter().map(|slice| SliceId(*slice)).collect(),
        };
        let (lost, lapsed): (Vec<SliceId>, Vec<SliceId>) = (slices(&acts.lost), slices(&acts.expired));
        let mut tables: BTreeMap<u16, StoredTable> =
            tables.into_iter().map(|table| (table.slice, table)).collect();
        let gained = acts.acquired.iter().map(|(slice, epoch)| {
            let table = tables.remove(slice);
            // The store gives each with its table; without one it is filled as a slice that has none.
            table.unwrap_or(StoredTable::empty(*slice)).gained(epoch.0)
        });
        let gained: Vec<_> = gained.collect();
        if !gained.is_empty() || !lost.is_empty() || !lapsed.is_empty() {
            shares.inbox.send(OwnerEvent::Grants { gained, lost, lapsed });
        }
    }

    fn take(&mut self, bytes: &[u8], from: SocketAddr) {
        match packet::decode(&self.installation, bytes) {
            Ok(Packet::Message(message)) => {
                self.figures.heard += 1;
                let acts = self.lease_manager.on_message(self.clock.now(), &message);
                self.carry_out(acts);
            }
            Ok(Packet::ViewRequest { nonce, from: first }) => self.show(nonce, first, from),
            Ok(Packet::View(_)) => {}
            Ok(Packet::Drain { node, process }) => {
                let is_us = node == self.membership().local_id()
                    && process == self.membership().incarnation().process;
                if is_us && !self.lease_manager.is_draining() {
                    tracing::info!("the steward is told to hand its slices over");
                    self.lease_manager.start_draining();
                }
            }
            Err(fault) => self.figures.dropped.count(fault),
        }
    }

    fn carry_out(&mut self, acts: Effects) {
        if let (Some(request), Some(shares)) = (acts.lease_request, &self.shares) {
            shares.store.request(request);
        }
        for OutgoingMessage { to, message } in acts.messages {
            let address = match to {
                Destination::Node(id) => self.membership().address(id),
                Destination::Address(address) => Some(address),
            };
            let bytes = packet::encode(&self.installation, &Packet::Message(Box::new(message)));
            // One that cannot be sent is one that was lost.
            address.into_iter().for_each(|address| _ = self.socket.send_to(&bytes, address));
        }
        for change in acts.member_changes {
            tracing::info!(
                steward = change.id.0,
                process = change.incarnation.process,
                count = change.incarnation.count,
                standing = ?change.status,
                withdrawn = change.ejected,
                cause = change.cause,
                "the view of the fleet changes"
            );
        }
    }

    fn show(&mut self, nonce: u64, first: NodeId, to: SocketAddr) {
        let at = self.clock.now();
        if at - self.looks.0 >= 1.0 {
            self.looks = (at, 0);
        }
        self.looks.1 += 1;
        if self.looks.1 > LOOKS_A_SECOND {
            self.figures.looks_dropped += 1;
            return;
        }
        let membership = self.membership();
        let all = membership.view(at).into_iter().filter(|shown| shown.member.id >= first);
        let mut lines: Vec<ViewEntry> = all.take(MAX_VIEW_ENTRIES + 1).collect();
        let next = (lines.len() > MAX_VIEW_ENTRIES).then(|| lines[MAX_VIEW_ENTRIES].member.id);
        lines.truncate(MAX_VIEW_ENTRIES);
        let view = View {
            nonce,
            viewer: membership.local_id(),
            process: membership.incarnation().process,
            digest: membership.digest(),
            entries: lines,
            next,
            dropped: self.figures.dropped.total(),
            superseded: membership.is_superseded(),
        };
        let bytes = packet::encode(&self.installation, &Packet::View(Box::new(view)));
        let _ = self.socket.send_to(&bytes, to);
    }
}
