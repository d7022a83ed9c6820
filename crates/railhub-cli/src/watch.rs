//! `railhub watch`.
use crate::CommandError;
use clap::Args;
use std::io::IsTerminal;
use std::path::PathBuf;

#[derive(Args)]
pub struct WatchArguments {
    /// A record, which may still grow, or a folder that `railhub compare --keep` writes.
    path: PathBuf,
    /// Second of the day to begin at; the end of what has come, if left out.
    #[arg(long, allow_negative_numbers = true)]
    at: Option<f64>,
    /// One picture as text, then the end; so it is as well where there is no terminal.
    #[arg(long)]
    once: bool,
}

pub fn run(arguments: &WatchArguments) -> Result<(), CommandError> {
    let input_error = |error: railhub_dashboard::DashboardError| CommandError::Input(error.to_string());
    if arguments.once || !std::io::stdout().is_terminal() {
        print!("{}", railhub_dashboard::render_once(&arguments.path, arguments.at).map_err(input_error)?);
        Ok(())
    } else {
        railhub_dashboard::run_interactive(&arguments.path, arguments.at).map_err(input_error)
    }
}
