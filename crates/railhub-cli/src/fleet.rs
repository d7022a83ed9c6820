//! `railhub fleet view|watch`: each steward's view of the fleet, side by side. Who looks is an observer: it bears nothing
//! and is never counted.
use crate::fleet_shares::{Drain, Slices};
use crate::Ending;
use clap::{Args, Subcommand};
use railhub_controller::membership::MembershipSettings;
use railhub_ini::Document;
use railhub_membership::member::Status;
use railhub_membership::packet::{decode, encode, Packet, View, MAX_DATAGRAM_BYTES};
use railhub_membership::view::ViewEntry;
use railhub_membership::NodeId;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How long one steward is waited for, and between two tries.
const PATIENCE: Duration = Duration::from_millis(1500);
const AGAIN_AFTER: Duration = Duration::from_millis(300);
/// Stewards that are asked at the most.
const ASKED_MOST: usize = 64;

#[derive(Args)]
pub struct FleetArguments {
    #[command(subcommand)]
    what: FleetCommand,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// What each steward holds of all, differences marked. Exit 3: views differ, or nobody answers.
    View(Look),
    /// The same, again and again.
    Watch(Look),
    /// Who has which slices under which epochs, as the store has it.
    Slices(Slices),
    /// Tells a steward to hand its slices over, and waits until it has. Exit 3: it has not in time.
    Drain(Drain),
}

#[derive(Args)]
struct Look {
    /// A steward's settings: its [fleet] section says whom to ask.
    #[arg(long)]
    conf: PathBuf,
    /// Ask here first, besides the addresses of the file.
    #[arg(long)]
    at: Vec<SocketAddr>,
    /// One JSON object on standard output, each time.
    #[arg(long)]
    json: bool,
    /// Seconds between two looks of `watch`.
    #[arg(long, default_value_t = 1.0)]
    every: f64,
    /// Looks of `watch`; 0: without end.
    #[arg(long, default_value_t = 0)]
    times: u64,
}

#[derive(Serialize)]
pub struct ToldLine {
    pub steward: u16,
    pub process: u64,
    count: u64,
    standing: Status,
    stands_for: f64,
    /// Seconds since its own word came, if any did.
    heard_ago: Option<f64>,
    pub address: Option<SocketAddr>,
    program: String,
    protocol: u32,
    settings: String,
    pub drains: bool,
    pub no_store: bool,
    withdrawn: bool,
    pub slices: u32,
    proxies: u32,
    busy: f32,
}

#[derive(Serialize)]
pub struct ToldView {
    pub viewer: u16,
    pub process: u64,
    /// It takes no part: another process of its name does.
    yielded: bool,
    /// Datagrams that it dropped.
    dropped: u64,
    pub lines: Vec<ToldLine>,
}

#[derive(Serialize)]
pub struct Told {
    installation: String,
    /// All that answer hold the same processes to live.
    agree: bool,
    pub views: Vec<ToldView>,
    /// Held to live by somebody, and silent to us.
    silent: Vec<SocketAddr>,
}

pub fn run(arguments: &FleetArguments) -> Result<(), Ending> {
    let (look, mut left) = match &arguments.what {
        FleetCommand::Slices(slices) => return crate::fleet_shares::slices(slices),
        FleetCommand::Drain(drain) => return crate::fleet_shares::drain(drain),
        FleetCommand::View(look) => (look, 1),
        FleetCommand::Watch(look) => (look, if look.times == 0 { u64::MAX } else { look.times }),
    };
    let document = Document::open(&look.conf)?;
    let terms = MembershipSettings::read(&document)?;
    let terms = terms.ok_or_else(|| Ending::Input(format!("{}: no [fleet] section", look.conf.display())))?;
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    loop {
        let told = look_at_all(&socket, &terms, &look.at);
        if look.json {
            println!("{}", serde_json::to_string(&told)?);
        } else {
            print!("{}", words(&told));
        }
        left -= 1;
        if left == 0 {
            return if told.agree { Ok(()) } else { Err(Ending::Check) };
        }
        std::thread::sleep(Duration::from_secs_f64(look.every.clamp(0.05, 3600.0)));
    }
}

/// Asks the addresses of the file, then whoever the answers hold to live.
pub fn look_at_all(socket: &UdpSocket, terms: &MembershipSettings, first: &[SocketAddr]) -> Told {
    let own = terms.advertise.or((terms.listen.port() != 0).then_some(terms.listen));
    let mut to_ask: Vec<SocketAddr> = first.iter().copied().chain(own).chain(terms.join.clone()).collect();
    let mut asked = BTreeSet::new();
    let (mut views, mut silent) = (BTreeMap::new(), Vec::new());
    let mut named = BTreeSet::new();
    while let Some(address) = to_ask.pop() {
        if asked.len() >= ASKED_MOST || !asked.insert(address) {
            continue;
        }
        match ask(socket, &terms.installation, address) {
            Some(view) => {
                let lives = view.entries.iter().filter(|line| line.member.status.is_live());
                let found: Vec<SocketAddr> = lives.filter_map(|line| line.member.metadata.address).collect();
                named.extend(found.iter().copied());
                to_ask.extend(found);
                views.insert((view.viewer, view.process), view);
            }
            None => silent.push(address),
        }
    }
    silent.retain(|address| named.contains(address));
    let views: Vec<View> = views.into_values().collect();
    let living: BTreeSet<Vec<(NodeId, u64)>> = views.iter().filter(|v| !v.superseded).map(living).collect();
    let agree = living.len() == 1 && silent.is_empty();
    Told { installation: terms.installation.clone(), agree, views: views.iter().map(told).collect(), silent }
}

fn living(view: &View) -> Vec<(NodeId, u64)> {
    let lives = view.entries.iter().filter(|line| line.member.status.is_live());
    lives.map(|line| (line.member.id, line.member.incarnation.process)).collect()
}

/// One steward's whole view, page by page; `None`: it does not answer.
fn ask(socket: &UdpSocket, installation: &str, address: SocketAddr) -> Option<View> {
    let mut whole: Option<View> = None;
    let mut from = NodeId(0);
    loop {
        let page = ask_page(socket, installation, address, from)?;
        let next = page.next;
        match &mut whole {
            Some(whole) => whole.entries.extend(page.entries),
            None => whole = Some(page),
        }
        match next {
            Some(next) if next > from => from = next,
            _ => return whole,
        }
    }
}

fn ask_page(socket: &UdpSocket, installation: &str, address: SocketAddr, from: NodeId) -> Option<View> {
    let nonce = u64::from(address.port()) << 32 | u64::from(from.0) << 8 | 1;
    let question = encode(installation, &Packet::ViewRequest { nonce, from });
    let until = Instant::now() + PATIENCE;
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    while Instant::now() < until {
        let _ = socket.send_to(&question, address);
        let again = (Instant::now() + AGAIN_AFTER).min(until);
        while let Some(left) = again.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
            socket.set_read_timeout(Some(left)).ok()?;
            let Ok((length, _)) = socket.recv_from(&mut bytes) else { continue };
            if let Ok(Packet::View(view)) = decode(installation, &bytes[..length]) {
                if view.nonce == nonce {
                    return Some(*view);
                }
            }
        }
    }
    None
}

fn told(view: &View) -> ToldView {
    let (viewer, process) = (view.viewer.0, view.process);
    let lines = view.entries.iter().map(told_line).collect();
    ToldView { viewer, process, yielded: view.superseded, dropped: view.dropped, lines }
}

fn told_line(shown: &ViewEntry) -> ToldLine {
    let (entry, load) = (&shown.member, shown.load);
    ToldLine {
        steward: entry.id.0,
        process: entry.incarnation.process,
        count: entry.incarnation.count,
        standing: entry.status,
        stands_for: shown.status_age,
        heard_ago: shown.last_seen_ago.is_finite().then_some(shown.last_seen_ago),
        address: entry.metadata.address,
        program: entry.metadata.program_version.clone(),
        protocol: entry.metadata.protocol_version,
        settings: format!("{:016x}", entry.metadata.settings_digest),
        drains: entry.metadata.draining,
        no_store: entry.metadata.store_unreachable,
        withdrawn: shown.ejected,
        slices: load.slices,
        proxies: load.proxies,
        busy: load.cpu_cores,
    }
}

/// A row a steward, a column a viewer; a star marks rows on which the viewers differ.
fn words(told: &Told) -> String {
    let ids: BTreeSet<u16> =
        told.views.iter().flat_map(|view| view.lines.iter().map(|l| l.steward)).collect();
    let mut out = format!("{}: {} stewards answer, ", told.installation, told.views.len());
    out += if told.agree { "all views agree\n" } else { "VIEWS DIFFER\n" };
    out += &format!(
        "{:>10}  {:<16} {:<8} {:>6} {:>7} {:>5}",
        "steward", "settings", "program", "slices", "proxies", "busy"
    );
    for view in &told.views {
        let mark = if view.yielded { " (out)" } else { "" };
        out += &format!("  {:<16}", format!("says {}{mark}", view.viewer));
    }
    out.push('\n');
    for id in ids {
        let of = |view: &ToldView| view.lines.iter().find(|line| line.steward == id).map(cell);
        let cells: Vec<String> =
            told.views.iter().map(|view| of(view).unwrap_or_else(|| "-".into())).collect();
        let same: BTreeSet<String> = told
            .views
            .iter()
            .filter(|view| !view.yielded)
            .map(|view| {
                let line = view.lines.iter().find(|line| line.steward == id);
                line.filter(|line| line.standing.is_live())
                    .map_or("-".into(), |line| line.process.to_string())
            })
            .collect();
        let own = told.views.iter().find(|view| view.viewer == id && !view.yielded);
        let best =
            own.into_iter().chain(&told.views).flat_map(|view| &view.lines).find(|line| line.steward == id);
        let star = if same.len() > 1 { "*" } else { " " };
        out += &format!("{star:>4}{id:>6}  ");
        if let Some(line) = best {
            let (program, busy) = (&line.program, line.busy);
            out += &format!(
                "{:<16} {program:<8} {:>6} {:>7} {busy:>5.2}",
                line.settings, line.slices, line.proxies
            );
        }
        cells.iter().for_each(|cell| out += &format!("  {cell:<16}"));
        out.push('\n');
    }
    for address in &told.silent {
        out += &format!("{address} is held to live by somebody and does not answer us\n");
    }
    out
}

fn cell(line: &ToldLine) -> String {
    let standing = match line.standing {
        Status::Alive if line.withdrawn => "slow",
        Status::Alive if line.no_store => "no store",
        Status::Alive if line.drains => "drains",
        Status::Alive => "alive",
        Status::Suspect => "suspect",
        Status::Left => "left",
        Status::Dead => "dead",
        Status::Forgotten => "forgotten",
    };
    format!("{standing} {:.0} s", line.stands_for)
}
