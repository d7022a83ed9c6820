//! `railhub compare`: does a setting or a version help or hurt?
use crate::model::read_physics;
use crate::Ending;
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use railhub_experiment::report::{runs_csv, text_report};
use railhub_experiment::trial::Progress;
use railhub_experiment::{compare, folder, page, Experiment};
use railhub_simulator::TimingModel;
use std::io::IsTerminal;
use std::path::PathBuf;

#[derive(Args)]
pub struct CompareArguments {
    /// The experiment, INI.
    file: PathBuf,
    /// One JSON object on standard output.
    #[arg(long)]
    json: bool,
    /// Keep tables, charts and the report in a folder.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Keep every run as a table.
    #[arg(long)]
    csv: Option<PathBuf>,
    /// Keep figures and charts as one page, HTML.
    #[arg(long)]
    page: Option<PathBuf>,
    /// What the machine adds, INI, as `model fit` writes it.
    #[arg(long)]
    physics: Option<PathBuf>,
}

pub fn run(arguments: &CompareArguments) -> Result<(), Ending> {
    let mut experiment = Experiment::open(&arguments.file)?;
    let physics = arguments.physics.as_deref().map_or(Ok(TimingModel::default()), read_physics)?;
    let is_seen = std::io::stderr().is_terminal();
    let building = |done, of| {
        if is_seen {
            eprint!("\rversion {} of {of} is built", done + 1);
        }
    };
    experiment.build(&building).map_err(Ending::Input)?;
    let bar = match is_seen {
        true => ProgressBar::new((experiment.max_blocks * experiment.arms.len()) as u64),
        false => ProgressBar::hidden(),
    };
    let style = ProgressStyle::with_template("{bar:40} {pos} of at most {len} runs, {eta} left");
    let bar = bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let show = |progress: Progress| match progress {
        Progress::Runs { done } => bar.set_position(done as u64),
        Progress::Stage(outcome) => {
            let kept = arguments.keep.as_deref().map(|folder| folder::write_stage(folder, outcome));
            if let Some(Err(error)) = kept {
                tracing::warn!(%error, "the outcome so far is not kept");
            }
        }
    };
    let outcome = compare(&experiment, physics, &show).map_err(Ending::Input)?;
    bar.finish_and_clear();
    let unkept = |e| Ending::Input(format!("the report: {e}"));
    if let Some(folder) = &arguments.keep {
        folder::write(folder, &outcome).map_err(unkept)?;
    }
    if let Some(path) = &arguments.csv {
        std::fs::write(path, runs_csv(&outcome))?;
    }
    if let Some(path) = &arguments.page {
        std::fs::write(path, page::page(&outcome).map_err(unkept)?)?;
    }
    if arguments.json {
        println!("{}", serde_json::to_string(&outcome)?);
    } else {
        print!("{}", text_report(&outcome));
    }
    Ok(())
}
