//! `railhub steward` and `railhub conf check`.
use crate::Ending;
use clap::Args;
use railhub_day::Day;
use railhub_ini::Sheet;
use railhub_platform_net::Signals;
use railhub_steward::{Installation, Running};
use serde::Serialize;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Between lines of figures in the log.
const FIGURES_EVERY: Duration = Duration::from_secs(10);

#[derive(Args)]
pub struct StewardArguments {
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
}

/// The variable that names the platform's file; the others say nothing that it does not.
const PLATFORM_FILE: &str = "NODE_CONFIG";

/// Whether the platform's signals must be taken before anything else.
pub fn is_for_platform() -> bool {
    std::env::args_os().any(|argument| argument == "--platform")
}

pub fn run(arguments: &StewardArguments, signals: Option<Signals>) -> Result<(), Ending> {
    if let Some(signals) = signals {
        let file = std::env::var_os(PLATFORM_FILE).map(PathBuf::from);
        let file = file.ok_or_else(|| Ending::Input(format!("{PLATFORM_FILE} names no file")))?;
        return Ok(railhub_platform_net::run(&file, signals)?);
    }
    let Some(conf) = &arguments.conf else { return Err(Ending::Input("--conf names no file".into())) };
    let running = Running::start(Installation::open(conf)?)?;
    let listening = Listening { listening: running.address };
    println!("{}", serde_json::to_string(&listening)?);
    std::io::stdout().flush()?;
    if arguments.until_stdin_ends {
        std::thread::spawn(|| {
            let _ = std::io::stdin().lock().read_to_end(&mut Vec::new());
            std::process::exit(0);
        });
    }
    loop {
        std::thread::sleep(FIGURES_EVERY);
        let figures = running.figures();
        tracing::info!(
            joined = figures.joined,
            versions = figures.versions,
            turns = figures.turns,
            late_99 = figures.late_99,
            longest_round = figures.longest_round,
            refused = figures.refused,
            cut_off = figures.cut_off,
            sums_dropped = figures.sums_dropped,
            failed_connections = running.failed_connections(),
            "figures"
        );
    }
}

/// A file with a [day] is a day's, any other a steward's.
pub fn check(file: &Path) -> Result<(), Ending> {
    let sheet = Sheet::open(file)?;
    if sheet.section("day").is_there() {
        Day::read(&sheet)?;
    } else {
        Installation::read(&sheet)?;
    }
    Ok(())
}
