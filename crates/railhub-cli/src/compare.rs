//! `railhub compare`: measures the difference that settings, constants or policies make, by an experiment in simulated
//! time.
use crate::model::read_physics;
use crate::CommandError;
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use railhub_experiment::report::{runs_csv, text_report};
use railhub_experiment::trial::Progress;
use railhub_experiment::{compare, folder, page, Experiment};
use railhub_simulator::TimingModel;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct CompareArguments {
    /// Experiment file, INI.
    file: PathBuf,
    /// Print the outcome as one JSON object.
    #[arg(long)]
    json: bool,
    /// Write tables (CSV), charts and the report (HTML) to this folder; `railhub watch` shows it while the experiment
    /// runs.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Write one line for each run to this file, CSV.
    #[arg(long)]
    csv: Option<PathBuf>,
    /// Write the report with its charts to this file, HTML.
    #[arg(long)]
    page: Option<PathBuf>,
    /// Latencies of a machine, INI as `railhub model fit` prints them; default: built-in values of a loopback run on
    /// four cores.
    #[arg(long)]
    physics: Option<PathBuf>,
}

pub fn run(arguments: &CompareArguments) -> Result<(), CommandError> {
    let mut experiment = Experiment::open(&arguments.file)?;
    let physics = arguments.physics.as_deref().map_or(Ok(TimingModel::default()), read_physics)?;
    let is_terminal = std::io::stderr().is_terminal();
    let show_build = |done, total| {
        if is_terminal {
            eprint!("\rbuilding version {} of {total}", done + 1);
        }
    };
    experiment.build(&show_build).map_err(CommandError::Input)?;
    let progress_bar = match is_terminal {
        true => ProgressBar::new((experiment.max_blocks * experiment.arms.len()) as u64),
        false => ProgressBar::hidden(),
    };
    let style = ProgressStyle::with_template("{bar:40} {pos} of at most {len} runs, {eta} left");
    let progress_bar = progress_bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let show_progress = |progress: Progress| match progress {
        Progress::Runs { done } => progress_bar.set_position(done as u64),
        Progress::Stage(outcome) => {
            let written = arguments.keep.as_deref().map(|folder| folder::write_stage(folder, outcome));
            if let Some(Err(error)) = written {
                tracing::warn!(%error, "cannot write the interim outcome to the --keep folder");
            }
        }
    };
    let outcome = compare(&experiment, physics, &show_progress).map_err(CommandError::Input)?;
    progress_bar.finish_and_clear();
    let report_error = |error| CommandError::Input(format!("cannot write the report: {error}"));
    if let Some(folder) = &arguments.keep {
        folder::write(folder, &outcome).map_err(report_error)?;
    }
    if let Some(path) = &arguments.csv {
        write_file(path, runs_csv(&outcome))?;
    }
    if let Some(path) = &arguments.page {
        write_file(path, page::page(&outcome).map_err(report_error)?)?;
    }
    if arguments.json {
        println!("{}", serde_json::to_string(&outcome)?);
    } else {
        print!("{}", text_report(&outcome));
    }
    Ok(())
}

fn write_file(path: &Path, contents: String) -> Result<(), CommandError> {
    std::fs::write(path, contents)
        .map_err(|error| CommandError::Input(format!("{}: cannot be written: {error}", path.display())))
}
