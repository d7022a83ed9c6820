//! `railhub fleet slices|drain`: shows the leases of slices, and makes a controller hand its slices over.
use crate::fleet::{query_fleet, FleetReport, MemberRow};
use crate::CommandError;
use clap::Args;
use railhub_controller::membership::MembershipSettings;
use railhub_controller::ControllerSettings;
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

/// Time for the store to answer.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two queries of a controller that is being drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Upper bound, in seconds, of the time that a drain is waited for.
const MAX_DRAIN_WAIT: f64 = 3600.0;

#[derive(Args)]
pub struct SlicesArguments {
    /// Settings file of a controller, INI; it names the store.
    #[arg(long)]
    conf: PathBuf,
    /// Print the leases as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct DrainArguments {
    /// Id of the controller.
    #[arg(value_name = "STEWARD")]
    controller: u16,
    /// Settings file of a controller, INI; the addresses in its `[fleet]` section are queried.
    #[arg(long)]
    conf: PathBuf,
    /// Further address to query, IP:PORT, besides those of the file; can be given several times.
    #[arg(long)]
    at: Vec<SocketAddr>,
    /// Seconds to wait until it holds no slices, 3600 at most.
    #[arg(long, default_value_t = 60.0)]
    wait: f64,
}

/// The lease of a slice, as the store answers. The serialized names are the store's, and those of the JSON output.
#[derive(Serialize, Deserialize)]
struct SliceLease {
    slice: u32,
    epoch: u64,
    /// Number of the process that holds the lease, or held it last.
    process: Option<u64>,
    /// Seconds until the lease expires.
    #[serde(rename = "left")]
    seconds_left: f64,
}

pub fn slices(arguments: &SlicesArguments) -> Result<(), CommandError> {
    let document = Document::open(&arguments.conf)?;
    let controller_settings = ControllerSettings::read(&document)?;
    let store = controller_settings.store.filter(|_| controller_settings.shares_slices());
    let store = store.ok_or_else(|| {
        let file = arguments.conf.display();
        CommandError::Input(format!(
            "{file}: shares no slices; that needs a store and `share = yes` in [fleet]"
        ))
    })?;
    let leases =
        query_leases(store).map_err(|error| CommandError::Input(format!("store {store}: {error}")))?;
    if arguments.json {
        println!("{}", serde_json::to_string(&leases)?);
        return Ok(());
    }
    // The store knows process numbers only; the controllers' views have their ids.
    let controller_ids = match &controller_settings.membership {
        Some(settings) => {
            controllers_by_process(&query_fleet(&UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?, settings, &[]))
        }
        None => BTreeMap::new(),
    };
    print!("{}", leases_text(&leases, &controller_ids));
    Ok(())
}

/// Requests the leases from the store, on the runtime that its HTTP client needs.
fn query_leases(store: SocketAddr) -> Result<Vec<SliceLease>, HttpError> {
    railhub_net::start_runtime();
    let (sender, receiver) = channel();
    railhub_net::spawn(move || {
        let _ = sender.send(Client::new(store, STORE_TIMEOUT).get_json("/leases"));
    });
    receiver.recv().unwrap_or(Err(HttpError::Closed))
}

/// Ids of controllers by process number, from all views.
fn controllers_by_process(report: &FleetReport) -> BTreeMap<u64, u16> {
    report
        .views
        .iter()
        .flat_map(|view| &view.members)
        .map(|member| (member.process, member.controller))
        .collect()
}

/// The leases by holder; those that have expired have none.
fn leases_text(leases: &[SliceLease], controller_ids: &BTreeMap<u64, u16>) -> String {
    let mut leases_by_process: BTreeMap<Option<u64>, Vec<&SliceLease>> = BTreeMap::new();
    for lease in leases {
        leases_by_process.entry(lease.process.filter(|_| lease.seconds_left > 0.0)).or_default().push(lease);
    }
    let mut out = String::new();
    for (process, leases) in leases_by_process {
        let holder = match process {
            None => "nobody".to_owned(),
            Some(process) => match controller_ids.get(&process) {
                Some(controller) => format!("controller {controller}, process {process}"),
                None => format!("process {process}, unknown to the controllers"),
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
    let settings = settings
        .ok_or_else(|| CommandError::Input(format!("{}: no [fleet] section", arguments.conf.display())))?;
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    let deadline = Instant::now() + Duration::from_secs_f64(arguments.wait.clamp(0.0, MAX_DRAIN_WAIT));
    loop {
        let report = query_fleet(&socket, &settings, &arguments.at);
        let member = own_row(&report, arguments.controller);
        let Some((member, address)) = member.and_then(|member| Some((member, member.address?))) else {
            return Err(CommandError::Input(format!("controller {} does not answer", arguments.controller)));
        };
        if member.draining && member.slices == 0 {
            println!("controller {} has handed over all its slices", arguments.controller);
            return Ok(());
        }
        if !member.draining {
            let request = Packet::Drain { node: NodeId(arguments.controller), process: member.process };
            let _ = socket.send_to(&encode(&settings.installation, &request), address);
        }
        if Instant::now() > deadline {
            println!("controller {} still has {} slices", arguments.controller, member.slices);
            return Err(CommandError::CheckFailed);
        }
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
}

/// The member of a controller in its own view.
fn own_row(report: &FleetReport, controller: u16) -> Option<&MemberRow> {
    let own = report.views.iter().find(|view| view.viewer == controller)?;
    own.members.iter().find(|member| member.controller == controller && member.process == own.process)
}
