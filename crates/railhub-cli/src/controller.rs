//! `railhub controller` and `railhub conf check`.
use crate::Ending;
use clap::Args;
use railhub_controller::{ControllerSettings, RunningController};
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

/// The variable that names the platform's file.
const PLATFORM_FILE: &str = "NODE_CONFIG";

/// Whether the platform's signals must be handled before anything else starts.
pub fn is_for_platform() -> bool {
    std::env::args_os().any(|argument| argument == "--platform")
}

/// Runs a controller until a signal ends it.
///
/// # Errors
/// The settings or the platform's file cannot be read or are invalid, or an address cannot be opened.
pub fn run(arguments: &ControllerArguments, signals: Option<Signals>) -> Result<(), Ending> {
    if let Some(signals) = signals {
        return run_on_platform(signals);
    }
    let Some(conf) = &arguments.conf else { return Err(Ending::Input("--conf names no file".into())) };
    let mut running = RunningController::start(ControllerSettings::open(conf)?)?;
    let (fleet, process) = (running.membership_address(), running.membership_process());
    let stop_requested = Arc::new(AtomicBool::new(false));
    if fleet.is_some() {
        // The other members are told that this one leaves: they need not wait for a probe timeout.
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, stop_requested.clone())?;
        }
    }
    println!("{}", serde_json::to_string(&Listening { listening: running.address, fleet, process })?);
    std::io::stdout().flush()?;
    if arguments.until_stdin_ends {
        std::thread::spawn(exit_when_stdin_ends);
    }
    let mut figures_at = Instant::now() + FIGURES_INTERVAL;
    loop {
        std::thread::sleep(SIGNAL_POLL_INTERVAL);
        if stop_requested.load(Ordering::Acquire) {
            running.leave();
            return Ok(());
        }
        if Instant::now() >= figures_at {
            figures_at = Instant::now() + FIGURES_INTERVAL;
            log_membership_figures(&running)?;
            log_figures(&running);
        }
    }
}

fn run_on_platform(signals: Signals) -> Result<(), Ending> {
    let file = std::env::var_os(PLATFORM_FILE).map(PathBuf::from);
    let file = file.ok_or_else(|| Ending::Input(format!("{PLATFORM_FILE} names no file")))?;
    Ok(railhub_platform_net::run(&file, signals)?)
}

fn exit_when_stdin_ends() {
    let _ = std::io::stdin().lock().read_to_end(&mut Vec::new());
    std::process::exit(0);
}

/// Logs the figures of the membership, if the controller is in one.
fn log_membership_figures(running: &RunningController) -> Result<(), Ending> {
    let Some(figures) = running.membership_figures() else { return Ok(()) };
    tracing::info!(
        alive = figures.alive,
        sent = figures.sent,
        heard = figures.received,
        dropped = figures.dropped.total(),
        causes = serde_json::to_string(&figures.dropped)?,
        looks_dropped = figures.view_requests_dropped,
        charges = figures.leases,
        tables_refused = figures.tables_rejected,
        "figures of the fleet"
    );
    Ok(())
}

fn log_figures(running: &RunningController) {
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

/// A file with a [day] section is a scenario, any other a controller's settings.
pub fn check(file: &Path) -> Result<(), Ending> {
    let document = Document::open(file)?;
    if document.section("day").exists() {
        Scenario::read(&document)?;
    } else {
        ControllerSettings::read(&document)?;
    }
    Ok(())
}
