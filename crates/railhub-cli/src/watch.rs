//! `railhub watch`: the dashboard of a recording or an experiment.
use crate::CommandError;
use clap::Args;
use std::io::IsTerminal;
use std::path::PathBuf;

#[derive(Args)]
pub struct WatchArguments {
    /// Recording, which may still be growing, or folder that `railhub compare --keep` writes.
    path: PathBuf,
    /// Second of the scenario to show first; default: the end of the recording so far.
    #[arg(long, allow_negative_numbers = true)]
    at: Option<f64>,
    /// Print one frame as text and exit; the default if standard output is not a terminal.
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
