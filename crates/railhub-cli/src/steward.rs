//! `railhub steward` and `railhub conf check`.
use crate::Ending;
use clap::Args;
use railhub_day::Day;
use railhub_ini::Sheet;
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
    #[arg(long)]
    conf: PathBuf,
    /// End when standard input ends, as for a child whose parent may die.
    #[arg(long)]
    until_stdin_ends: bool,
}

#[derive(Serialize)]
struct Listening {
    listening: SocketAddr,
}

pub fn run(arguments: &StewardArguments) -> Result<(), Ending> {
    let running = Running::start(Installation::open(&arguments.conf)?)?;
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
