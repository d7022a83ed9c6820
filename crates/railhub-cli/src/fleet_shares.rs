//! `railhub fleet slices|drain`: who has which slices, and handing a steward's over.
use crate::fleet::{look_at_all, Told, ToldLine};
use crate::Ending;
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

/// How long the store is waited for, and between two looks at a steward that hands over.
const STORE_WITHIN: Duration = Duration::from_secs(2);
const LOOK_EVERY: Duration = Duration::from_millis(200);

#[derive(Args)]
pub struct Slices {
    /// A steward's settings: they name the store.
    #[arg(long)]
    conf: PathBuf,
    /// One JSON object on standard output.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Drain {
    /// The steward's id.
    steward: u16,
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
struct Held {
    slice: u32,
    epoch: u64,
    process: Option<u64>,
    left: f64,
}

pub fn slices(arguments: &Slices) -> Result<(), Ending> {
    let document = Document::open(&arguments.conf)?;
    let installation = ControllerSettings::read(&document)?;
    let store = installation.store.filter(|_| installation.shares_slices());
    let store = store.ok_or_else(|| Ending::Input("these stewards share no slices".into()))?;
    let held = ask(store).map_err(|fault| Ending::Input(format!("the store {store}: {fault}")))?;
    if arguments.json {
        println!("{}", serde_json::to_string(&held)?);
        return Ok(());
    }
    // Whose process is whose is what the stewards know.
    let names = match &installation.membership {
        Some(terms) => names(&look_at_all(&UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?, terms, &[])),
        None => BTreeMap::new(),
    };
    print!("{}", words(&held, &names));
    Ok(())
}

fn ask(store: SocketAddr) -> Result<Vec<Held>, HttpError> {
    railhub_net::start_runtime();
    let (sender, receiver) = channel();
    railhub_net::spawn(move || {
        let _ = sender.send(Client::new(store, STORE_WITHIN).get_json("/leases"));
    });
    receiver.recv().unwrap_or(Err(HttpError::Closed))
}

fn names(told: &Told) -> BTreeMap<u64, u16> {
    told.views.iter().flat_map(|view| &view.lines).map(|line| (line.process, line.steward)).collect()
}

fn words(held: &[Held], names: &BTreeMap<u64, u16>) -> String {
    let mut by: BTreeMap<Option<u64>, Vec<&Held>> = BTreeMap::new();
    for one in held {
        by.entry(one.process.filter(|_| one.left > 0.0)).or_default().push(one);
    }
    let mut out = String::new();
    for (process, held) in by {
        let who = match process {
            None => "nobody".to_owned(),
            Some(process) => match names.get(&process) {
                Some(steward) => format!("steward {steward}, process {process}"),
                None => format!("process {process}, which no steward knows"),
            },
        };
        out += &format!("{who}: {} slices\n", held.len());
        for one in held {
            out += &format!("  slice {:>5}  epoch {}  {:.1} s left\n", one.slice, one.epoch, one.left);
        }
    }
    out
}

pub fn drain(arguments: &Drain) -> Result<(), Ending> {
    let document = Document::open(&arguments.conf)?;
    let terms = MembershipSettings::read(&document)?;
    let terms = terms.ok_or_else(|| Ending::Input("no [fleet] section".into()))?;
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    let until = Instant::now() + Duration::from_secs_f64(arguments.wait.clamp(0.0, 3600.0));
    loop {
        let told = look_at_all(&socket, &terms, &arguments.at);
        let line = own_line(&told, arguments.steward);
        let Some((line, address)) = line.and_then(|line| Some((line, line.address?))) else {
            return Err(Ending::Input(format!("steward {} does not answer", arguments.steward)));
        };
        if line.drains && line.slices == 0 {
            println!("steward {} has handed over all", arguments.steward);
            return Ok(());
        }
        if !line.drains {
            let word = Packet::Drain { node: NodeId(arguments.steward), process: line.process };
            let _ = socket.send_to(&encode(&terms.installation, &word), address);
        }
        if Instant::now() > until {
            println!("steward {} still has {} slices", arguments.steward, line.slices);
            return Err(Ending::Check);
        }
        std::thread::sleep(LOOK_EVERY);
    }
}

/// What a steward says of itself.
fn own_line(told: &Told, steward: u16) -> Option<&ToldLine> {
    let own = told.views.iter().find(|view| view.viewer == steward)?;
    own.lines.iter().find(|line| line.steward == steward && line.process == own.process)
}
