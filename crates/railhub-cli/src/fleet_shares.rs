//! `railhub fleet slices|drain`: who has which slices, and handing a steward's over.
use crate::fleet::{query_fleet, FleetReport, MemberRow};
use crate::CommandError;
use clap::Args;
use railhub_controller::membership::MembershipSettings;
use railhub_controller::Installation;
use railhub_ini::Document;
use railhub_membership::packet::{encode, Packet};
use railhub_membership::NodeId;
use railhub_net::http::{Client, HttpError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// How long the store is waited for, and between two looks at a steward that hands over.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Args)]
pub struct SlicesArguments {
    /// A steward's settings: they name the store.
    #[arg(long)]
    conf: PathBuf,
    /// One JSON object on standard output.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct DrainArguments {
    /// The steward's id.
    #[arg(value_name = "STEWARD")]
    controller: u16,
    /// A steward's settings: its [fleet] section says whom to ask.
    #[arg(long)]
    conf: PathBuf,
    /// Ask here first, besides the addresses of the file.
    #[arg(long)]
    at: Vec<SocketAddr>,
    /// Seconds to wait until nothing is left with it.
    #[arg(long, default_value_t = 60.0)]
    wait: f64,
}

/// One slice as the store tells of it.
#[derive(Serialize, Deserialize)]
struct SliceLease {
    slice: u32,
    epoch: u64,
    process: Option<u64>,
    #[serde(rename = "left")]
    seconds_left: f64,
}

pub fn slices(arguments: &SlicesArguments) -> Result<(), CommandError> {
    let document = Document::open(&arguments.conf)?;
    let installation = Installation::read(&document)?;
    let store = installation.store.filter(|_| installation.shares());
    let store = store.ok_or_else(|| CommandError::Input("these stewards share no slices".into()))?;
    let leases =
        query_leases(store).map_err(|error| CommandError::Input(format!("the store {store}: {error}")))?;
    if arguments.json {
        println!("{}", serde_json::to_string(&leases)?);
        return Ok(());
    }
    // Whose process is whose is what the stewards know.
    let controllers_by_process = match &installation.membership {
        Some(settings) => {
            controllers_by_process(&query_fleet(&UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?, settings, &[]))
        }
        None => BTreeMap::new(),
    };
    print!("{}", leases_text(&leases, &controllers_by_process));
    Ok(())
}

fn query_leases(store: SocketAddr) -> Result<Vec<SliceLease>, HttpError> {
    railhub_net::start_runtime();
    let (sender, receiver) = channel();
    railhub_net::spawn(move || {
        let _ = sender.send(Client::new(store, STORE_TIMEOUT).get_json("/leases"));
    });
    receiver.recv().unwrap_or(Err(HttpError::Closed))
}

fn controllers_by_process(report: &FleetReport) -> BTreeMap<u64, u16> {
    report
        .views
        .iter()
        .flat_map(|view| &view.members)
        .map(|member| (member.process, member.controller))
        .collect()
}

fn leases_text(leases: &[SliceLease], controllers_by_process: &BTreeMap<u64, u16>) -> String {
    let mut leases_by_process: BTreeMap<Option<u64>, Vec<&SliceLease>> = BTreeMap::new();
    for lease in leases {
        leases_by_process.entry(lease.process.filter(|_| lease.seconds_left > 0.0)).or_default().push(lease);
    }
    let mut out = String::new();
    for (process, leases) in leases_by_process {
        let holder = match process {
            None => "nobody".to_owned(),
            Some(process) => match controllers_by_process.get(&process) {
                Some(controller) => format!("steward {controller}, process {process}"),
                None => format!("process {process}, which no steward knows"),
            },
        };
        out += &format!("{holder}: {} slices\n", leases.len());
        for lease in leases {
            out += &format!(
                "  slice {:>5}  epoch {}  {:.1} s left\n",
                lease.slice, lease.epoch, lease.seconds_left
            );
        }
    }
    out
}

pub fn drain(arguments: &DrainArguments) -> Result<(), CommandError> {
    let document = Document::open(&arguments.conf)?;
    let settings = MembershipSettings::read(&document)?;
    let settings = settings.ok_or_else(|| CommandError::Input("no [fleet] section".into()))?;
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    let deadline = Instant::now() + Duration::from_secs_f64(arguments.wait.clamp(0.0, 3600.0));
    loop {
        let report = query_fleet(&socket, &settings, &arguments.at);
        let member = own_row(&report, arguments.controller);
        let Some((member, address)) = member.and_then(|member| Some((member, member.address?))) else {
            return Err(CommandError::Input(format!("steward {} does not answer", arguments.controller)));
        };
        if member.draining && member.slices == 0 {
            println!("steward {} has handed over all", arguments.controller);
            return Ok(());
        }
        if !member.draining {
            let request = Packet::Drain { node: NodeId(arguments.controller), process: member.process };
            let _ = socket.send_to(&encode(&settings.installation, &request), address);
        }
        if Instant::now() > deadline {
            println!("steward {} still has {} slices", arguments.controller, member.slices);
            return Err(CommandError::CheckFailed);
        }
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
}

/// What a steward says of itself.
fn own_row(report: &FleetReport, controller: u16) -> Option<&MemberRow> {
    let own = report.views.iter().find(|view| view.viewer == controller)?;
    own.members.iter().find(|member| member.controller == controller && member.process == own.process)
}
