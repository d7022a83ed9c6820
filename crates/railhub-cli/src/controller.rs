//! `railhub controller` and `railhub conf check`.
use crate::CommandError;
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

/// Time between two log entries with the controller's figures.
const FIGURES_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two checks whether a signal has requested the end.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Args)]
pub struct ControllerArguments {
    /// Settings file, INI.
    #[arg(long, required_unless_present = "platform")]
    conf: Option<PathBuf>,
    /// Run on the operators' platform, with the configuration file that the environment variable NODE_CONFIG names.
    #[arg(long, conflicts_with_all = ["conf", "until_stdin_ends"])]
    platform: bool,
    /// Exit when standard input is closed, so that a child process does not outlive its parent.
    #[arg(long)]
    until_stdin_ends: bool,
}

/// What a controller prints once it listens.
#[derive(Serialize)]
struct Listening {
    /// Where proxies connect.
    listening: SocketAddr,
    /// Where other controllers reach it, if it is one of several.
    #[serde(skip_serializing_if = "Option::is_none")]
    fleet: Option<SocketAddr>,
    /// Its process number, if it is one of several.
    #[serde(skip_serializing_if = "Option::is_none")]
    process: Option<u64>,
}

/// Environment variable with the path of the platform's configuration file.
const PLATFORM_FILE_VARIABLE: &str = "NODE_CONFIG";

/// Whether the command line asks for the platform. Its signals must be held before the arguments are parsed: until then
/// a signal would end the process.
pub fn is_for_platform() -> bool {
    std::env::args_os().any(|argument| argument == "--platform")
}

/// Runs a controller until a signal ends it, or standard input if that is requested.
///
/// # Errors
/// The settings or the platform's file cannot be read or are invalid, or an address cannot be opened.
pub fn run(arguments: &ControllerArguments, signals: Option<Signals>) -> Result<(), CommandError> {
    if let Some(signals) = signals {
        return run_on_platform(signals);
    }
    let Some(conf) = &arguments.conf else {
        return Err(CommandError::Input("--conf is required without --platform".into()));
    };
    let mut running = RunningController::start(ControllerSettings::open(conf)?)?;
    let (fleet, process) = (running.membership_address(), running.membership_process());
    let stop_requested = Arc::new(AtomicBool::new(false));
    if fleet.is_some() {
        // The controller leaves the membership before it exits, so that the others need not wait for a probe timeout.
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

fn run_on_platform(signals: Signals) -> Result<(), CommandError> {
    let file = std::env::var_os(PLATFORM_FILE_VARIABLE).map(PathBuf::from);
    let file = file.ok_or_else(|| {
        CommandError::Input(format!(
            "--platform: the environment variable {PLATFORM_FILE_VARIABLE} is not set"
        ))
    })?;
    Ok(railhub_platform_net::run(&file, signals)?)
}

fn exit_when_stdin_ends() {
    let _ = std::io::stdin().lock().read_to_end(&mut Vec::new());
    std::process::exit(0);
}

/// Logs the figures of the membership, if the controller is one of several.
fn log_membership_figures(running: &RunningController) -> Result<(), CommandError> {
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

/// Checks a file: with a `[day]` section it is a scenario, otherwise the settings of a controller.
pub fn check(file: &Path) -> Result<(), CommandError> {
    let document = Document::open(file)?;
    if document.section("day").exists() {
        Scenario::read(&document)?;
    } else {
        ControllerSettings::read(&document)?;
    }
    Ok(())
}
