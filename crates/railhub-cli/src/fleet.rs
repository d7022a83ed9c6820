//! `railhub fleet view|watch`: the membership views of all controllers, side by side. The command is an observer: it
//! sends no gossip, and no controller counts it as a member.
use crate::fleet_shares::{DrainArguments, SlicesArguments};
use crate::report_output::{check_result, print_report};
use crate::CommandError;
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

/// Time for a controller to answer a request for a page of its view.
const CONTROLLER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which an unanswered request is sent again, as datagrams can be lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum addresses that one query asks.
const MAX_ADDRESSES_ASKED: usize = 64;
/// Bounds, in seconds, of the time between two queries of `watch`.
const MIN_WATCH_INTERVAL: f64 = 0.05;
const MAX_WATCH_INTERVAL: f64 = 3600.0;

#[derive(Args)]
pub struct FleetArguments {
    #[command(subcommand)]
    command: FleetCommand,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Shows the membership views of all controllers side by side and marks differences. Exits with 3 if views differ,
    /// a live controller does not answer, or none answers.
    View(ViewArguments),
    /// Shows the membership views repeatedly. Exits as `view` does, after the last query.
    Watch(ViewArguments),
    /// Shows the leases of the slices as the store has them: holder, epoch and time left.
    Slices(SlicesArguments),
    /// Tells a controller to hand its slices over, and waits until it holds none. Exits with 3 if it still holds some
    /// after `--wait` seconds.
    Drain(DrainArguments),
}

#[derive(Args)]
struct ViewArguments {
    /// Settings file of a controller, INI; the addresses in its `[fleet]` section are queried.
    #[arg(long)]
    conf: PathBuf,
    /// Further address to query, IP:PORT, besides those of the file; can be given several times.
    #[arg(long)]
    at: Vec<SocketAddr>,
    /// Print the result of each query as one JSON object.
    #[arg(long)]
    json: bool,
    /// Seconds between two queries, 0.05 to 3600; only for `watch`.
    #[arg(long, default_value_t = 1.0)]
    every: f64,
    /// Number of queries, 0 for no limit; only for `watch`.
    #[arg(long, default_value_t = 0)]
    times: u64,
}

/// A member as one controller's view has it. The serialized names are those of the JSON output.
#[derive(Serialize)]
pub struct MemberRow {
    /// Its id.
    #[serde(rename = "steward")]
    pub controller: u16,
    /// Its process number.
    pub process: u64,
    /// The count of its incarnation.
    #[serde(rename = "count")]
    incarnation_count: u64,
    #[serde(rename = "standing")]
    status: Status,
    /// Seconds since the status changed.
    #[serde(rename = "stands_for")]
    status_age: f64,
    /// Seconds since the viewer received a message from it, if it has.
    #[serde(rename = "heard_ago")]
    last_seen_ago: Option<f64>,
    /// Where other controllers reach it.
    pub address: Option<SocketAddr>,
    #[serde(rename = "program")]
    program_version: String,
    /// Version of the membership protocol.
    #[serde(rename = "protocol")]
    protocol_version: u32,
    /// Digest of its settings, hexadecimal.
    #[serde(rename = "settings")]
    settings_digest: String,
    /// It hands its slices over and acquires none.
    #[serde(rename = "drains")]
    pub draining: bool,
    /// The lease store does not answer it.
    #[serde(rename = "no_store")]
    pub store_unreachable: bool,
    /// A majority finds it slow, so that it must hold no slices.
    #[serde(rename = "withdrawn")]
    ejected: bool,
    /// Slices that it holds.
    pub slices: u32,
    /// Proxies that are connected to it.
    proxies: u32,
    /// Processor cores that it uses.
    #[serde(rename = "busy")]
    cpu_cores: f32,
}

/// The view of one controller.
#[derive(Serialize)]
pub struct ControllerView {
    /// The controller's id.
    pub viewer: u16,
    /// Its process number.
    pub process: u64,
    /// Whether a newer process runs under its id, so that this one takes no part.
    #[serde(rename = "yielded")]
    superseded: bool,
    /// Datagrams that it has dropped.
    dropped: u64,
    #[serde(rename = "lines")]
    pub members: Vec<MemberRow>,
}

/// The views of all controllers that answered.
#[derive(Serialize)]
pub struct FleetReport {
    installation: String,
    /// Whether all views have the same live processes, and all of these answered.
    #[serde(rename = "agree")]
    views_agree: bool,
    pub views: Vec<ControllerView>,
    /// Addresses of members that some view shows as live but that did not answer.
    #[serde(rename = "silent")]
    unanswered: Vec<SocketAddr>,
}

pub fn run(arguments: &FleetArguments) -> Result<(), CommandError> {
    let (arguments, mut remaining) = match &arguments.command {
        FleetCommand::Slices(arguments) => return crate::fleet_shares::slices(arguments),
        FleetCommand::Drain(arguments) => return crate::fleet_shares::drain(arguments),
        FleetCommand::View(arguments) => (arguments, 1),
        FleetCommand::Watch(arguments) => {
            (arguments, if arguments.times == 0 { u64::MAX } else { arguments.times })
        }
    };
    let document = Document::open(&arguments.conf)?;
    let settings = MembershipSettings::read(&document)?;
    let settings = settings
        .ok_or_else(|| CommandError::Input(format!("{}: no [fleet] section", arguments.conf.display())))?;
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    loop {
        let report = query_fleet(&socket, &settings, &arguments.at);
        print_report(&report, arguments.json, report_text)?;
        remaining -= 1;
        if remaining == 0 {
            return check_result(report.views_agree);
        }
        std::thread::sleep(Duration::from_secs_f64(
            arguments.every.clamp(MIN_WATCH_INTERVAL, MAX_WATCH_INTERVAL),
        ));
    }
}

/// Queries the extra addresses and those of the settings, and then each member that an answer shows as live.
pub fn query_fleet(
    socket: &UdpSocket,
    settings: &MembershipSettings,
    extra_addresses: &[SocketAddr],
) -> FleetReport {
    let own = settings.advertise.or((settings.listen.port() != 0).then_some(settings.listen));
    let mut to_ask: Vec<SocketAddr> =
        extra_addresses.iter().copied().chain(own).chain(settings.join.clone()).collect();
    let mut asked = BTreeSet::new();
    let (mut views, mut unanswered) = (BTreeMap::new(), Vec::new());
    let mut live_addresses = BTreeSet::new();
    while let Some(address) = to_ask.pop() {
        if asked.len() >= MAX_ADDRESSES_ASKED || !asked.insert(address) {
            continue;
        }
        match query_view(socket, &settings.installation, address) {
            Some(view) => {
                let live = view.entries.iter().filter(|entry| entry.member.status.is_live());
                let found: Vec<SocketAddr> = live.filter_map(|entry| entry.member.metadata.address).collect();
                live_addresses.extend(found.iter().copied());
                to_ask.extend(found);
                views.insert((view.viewer, view.process), view);
            }
            None => unanswered.push(address),
        }
    }
    unanswered.retain(|address| live_addresses.contains(address));
    let views: Vec<View> = views.into_values().collect();
    let distinct_views: BTreeSet<Vec<(NodeId, u64)>> =
        views.iter().filter(|view| !view.superseded).map(live_members).collect();
    let views_agree = distinct_views.len() == 1 && unanswered.is_empty();
    FleetReport {
        installation: settings.installation.clone(),
        views_agree,
        views: views.iter().map(controller_view).collect(),
        unanswered,
    }
}

/// The ids and process numbers of the members that a view shows as live.
fn live_members(view: &View) -> Vec<(NodeId, u64)> {
    let live = view.entries.iter().filter(|entry| entry.member.status.is_live());
    live.map(|entry| (entry.member.id, entry.member.incarnation.process)).collect()
}

/// The complete view of the controller at an address, page by page; `None` if it does not answer.
fn query_view(socket: &UdpSocket, installation: &str, address: SocketAddr) -> Option<View> {
    let mut complete: Option<View> = None;
    let mut from = NodeId(0);
    loop {
        let page = query_page(socket, installation, address, from)?;
        let next = page.next;
        match &mut complete {
            Some(complete) => complete.entries.extend(page.entries),
            None => complete = Some(page),
        }
        match next {
            Some(next) if next > from => from = next,
            _ => return complete,
        }
    }
}

fn query_page(socket: &UdpSocket, installation: &str, address: SocketAddr, from: NodeId) -> Option<View> {
    let nonce = u64::from(address.port()) << 32 | u64::from(from.0) << 8 | 1;
    let request = encode(installation, &Packet::ViewRequest { nonce, from });
    let deadline = Instant::now() + CONTROLLER_TIMEOUT;
    let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
    while Instant::now() < deadline {
        let _ = socket.send_to(&request, address);
        let resend_at = (Instant::now() + RESEND_INTERVAL).min(deadline);
        while let Some(remaining) =
            resend_at.checked_duration_since(Instant::now()).filter(|remaining| !remaining.is_zero())
        {
            socket.set_read_timeout(Some(remaining)).ok()?;
            let Ok((length, _)) = socket.recv_from(&mut datagram) else { continue };
            if let Ok(Packet::View(view)) = decode(installation, &datagram[..length]) {
                if view.nonce == nonce {
                    return Some(*view);
                }
            }
        }
    }
    None
}

fn controller_view(view: &View) -> ControllerView {
    let (viewer, process) = (view.viewer.0, view.process);
    let members = view.entries.iter().map(member_row).collect();
    ControllerView { viewer, process, superseded: view.superseded, dropped: view.dropped, members }
}

fn member_row(entry: &ViewEntry) -> MemberRow {
    let (member, load) = (&entry.member, entry.load);
    MemberRow {
        controller: member.id.0,
        process: member.incarnation.process,
        incarnation_count: member.incarnation.count,
        status: member.status,
        status_age: entry.status_age,
        last_seen_ago: entry.last_seen_ago.is_finite().then_some(entry.last_seen_ago),
        address: member.metadata.address,
        program_version: member.metadata.program_version.clone(),
        protocol_version: member.metadata.protocol_version,
        settings_digest: format!("{:016x}", member.metadata.settings_digest),
        draining: member.metadata.draining,
        store_unreachable: member.metadata.store_unreachable,
        ejected: entry.ejected,
        slices: load.slices,
        proxies: load.proxies,
        cpu_cores: load.cpu_cores,
    }
}

/// A table with a row for each controller and a column for each view. An asterisk marks a controller of which the views
/// show different live processes.
fn report_text(report: &FleetReport) -> String {
    let ids: BTreeSet<u16> =
        report.views.iter().flat_map(|view| view.members.iter().map(|member| member.controller)).collect();
    let mut out = format!("{}: {} controllers answer, ", report.installation, report.views.len());
    out += if report.views_agree { "all views agree\n" } else { "VIEWS DIFFER\n" };
    out += &format!(
        "{:>10}  {:<16} {:<8} {:>6} {:>7} {:>5}",
        "controller", "settings", "program", "slices", "proxies", "cores"
    );
    for view in &report.views {
        let note = if view.superseded { " (old)" } else { "" };
        out += &format!("  {:<16}", format!("view {}{note}", view.viewer));
    }
    out.push('\n');
    for id in ids {
        let status_in = |view: &ControllerView| {
            view.members.iter().find(|member| member.controller == id).map(status_text)
        };
        let cells: Vec<String> =
            report.views.iter().map(|view| status_in(view).unwrap_or_else(|| "-".into())).collect();
        let distinct_processes: BTreeSet<String> = report
            .views
            .iter()
            .filter(|view| !view.superseded)
            .map(|view| {
                let member = view.members.iter().find(|member| member.controller == id);
                member
                    .filter(|member| member.status.is_live())
                    .map_or("-".into(), |member| member.process.to_string())
            })
            .collect();
        let own = report.views.iter().find(|view| view.viewer == id && !view.superseded);
        let row = own
            .into_iter()
            .chain(&report.views)
            .flat_map(|view| &view.members)
            .find(|member| member.controller == id);
        let mark = if distinct_processes.len() > 1 { "*" } else { " " };
        out += &format!("{mark:>4}{id:>6}  ");
        if let Some(member) = row {
            let (program, cores) = (&member.program_version, member.cpu_cores);
            out += &format!(
                "{:<16} {program:<8} {:>6} {:>7} {cores:>5.2}",
                member.settings_digest, member.slices, member.proxies
            );
        }
        cells.iter().for_each(|cell| out += &format!("  {cell:<16}"));
        out.push('\n');
    }
    for address in &report.unanswered {
        out += &format!("{address}: live in a view, but does not answer this command\n");
    }
    out
}

/// The status with its age; an alive member that must not or cannot hold slices is shown as slow, draining or without a
/// store.
fn status_text(member: &MemberRow) -> String {
    let status = match member.status {
        Status::Alive if member.ejected => "slow",
        Status::Alive if member.store_unreachable => "no store",
        Status::Alive if member.draining => "drains",
        Status::Alive => "alive",
        Status::Suspect => "suspect",
        Status::Left => "left",
        Status::Dead => "dead",
        Status::Forgotten => "forgotten",
    };
    format!("{status} {:.0} s", member.status_age)
}
