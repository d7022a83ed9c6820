//! `railhub controller` and `railhub conf check`.
use crate::Ending;
use clap::Args;
use railhub_controller::{Installation, Running};
use railhub_ini::Document;
use railhub_platform_net::Signals;
use railhub_scenario::Scenario;
use serde::Serialize;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Between two lines of figures in the log.
const FIGURES_INTERVAL: Duration = Duration::from_secs(10);
/// Between two checks for a signal to end.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Args)]
pub struct ControllerArguments {
    /// Settings, INI.
    #[arg(long, required_unless_present = "platform")]
    conf: Option<PathBuf>,
    /// Serve on the operators' platform, as its NODE_ variables tell.
    #[arg(long, conflicts_with_all = ["conf", "until_stdin_ends"])]
    platform: bool,
    /// End when standard input ends, as for a child whose parent may die.
    #[arg(long)]
    until_stdin_ends: bool,
}

#[derive(Serialize)]
struct Listening {
    listening: SocketAddr,
    /// Where other controllers reach it and which process it is, if it is in a fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    fleet: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    process: Option<u64>,
}

/// The variable that names the platform's file; the others say nothing that it does not.
const PLATFORM_FILE: &str = "NODE_CONFIG";

/// Whether the platform's signals must be taken before anything else.
pub fn is_for_platform() -> bool {
    std::env::args_os().any(|argument| argument == "--platform")
}

pub fn run(arguments: &ControllerArguments, signals: Option<Signals>) -> Result<(), Ending> {
    if let Some(signals) = signals {
        let file = std::env::var_os(PLATFORM_FILE).map(PathBuf::from);
        let file = file.ok_or_else(|| Ending::Input(format!("{PLATFORM_FILE} names no file")))?;
        return Ok(railhub_platform_net::run(&file, signals)?);
    }
    let Some(conf) = &arguments.conf else { return Err(Ending::Input("--conf names no file".into())) };
    let mut running = Running::start(Installation::open(conf)?)?;
    let (fleet, process) = (running.membership_address(), running.membership_process());
    let listening = Listening { listening: running.address, fleet, process };
    let told = Arc::new(AtomicBool::new(false));
    if fleet.is_some() {
        // The others are told: they need not find out by waiting.
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, told.clone())?;
        }
    }
    println!("{}", serde_json::to_string(&listening)?);
    std::io::stdout().flush()?;
    if arguments.until_stdin_ends {
        std::thread::spawn(|| {
            let _ = std::io::stdin().lock().read_to_end(&mut Vec::new());
            std::process::exit(0);
        });
    }
    let mut figures_at = Instant::now() + FIGURES_INTERVAL;
    loop {
        std::thread::sleep(SIGNAL_POLL_INTERVAL);
        if told.load(Ordering::Acquire) {
            running.leave();
            return Ok(());
        }
        if Instant::now() < figures_at {
            continue;
        }
        figures_at = Instant::now() + FIGURES_INTERVAL;
        if let Some(fleet) = running.membership_figures() {
            let (dropped, looks_dropped) = (fleet.dropped.total(), fleet.view_requests_dropped);
            let causes = serde_json::to_string(&fleet.dropped)?;
            let (alive, sent, heard) = (fleet.alive, fleet.sent, fleet.received);
            let (charges, tables_refused) = (fleet.leases, fleet.tables_rejected);
            tracing::info!(
                alive,
                sent,
                heard,
                dropped,
                causes,
                looks_dropped,
                charges,
                tables_refused,
                "figures of the fleet"
            );
        }
        let figures = running.figures();
        tracing::info!(
            joined = figures.joined,
            versions = figures.versions,
            turns = figures.timers_fired,
            late_99 = figures.timer_delay_p99,
            longest_round = figures.longest_batch,
            refused = figures.nacks,
            cut_off = figures.response_timeouts,
            sums_dropped = figures.reports_dropped,
            failed_connections = running.failed_connections(),
            "figures"
        );
    }
}

/// A file with a [day] section is a scenario, any other a controller's settings.
pub fn check(file: &Path) -> Result<(), Ending> {
    let document = Document::open(file)?;
    if document.section("day").exists() {
        Scenario::read(&document)?;
    } else {
        Installation::read(&document)?;
    }
    Ok(())
}
