//! `railhub compare`: does a setting help or hurt?
use crate::Ending;
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use railhub_experiment::charts;
use railhub_experiment::report::{csv, words};
use railhub_experiment::{compare, Experiment};
use std::io::IsTerminal;
use std::path::PathBuf;

#[derive(Args)]
pub struct CompareArguments {
    /// The experiment, INI.
    file: PathBuf,
    /// One JSON object on standard output.
    #[arg(long)]
    json: bool,
    /// Keep every run as a table.
    #[arg(long)]
    csv: Option<PathBuf>,
    /// Keep figures and charts as one page, HTML.
    #[arg(long)]
    page: Option<PathBuf>,
}

pub fn run(arguments: &CompareArguments) -> Result<(), Ending> {
    let experiment = Experiment::open(&arguments.file)?;
    let bar = match std::io::stderr().is_terminal() {
        true => ProgressBar::new(experiment.blocks_most as u64),
        false => ProgressBar::hidden(),
    };
    let style = ProgressStyle::with_template("{bar:40} {pos} of at most {len} seeds, {eta} left");
    let bar = bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let outcome = compare(&experiment, &|done| bar.set_position(done as u64)).map_err(Ending::Input)?;
    bar.finish_and_clear();
    if let Some(path) = &arguments.csv {
        std::fs::write(path, csv(&outcome))?;
    }
    if let Some(path) = &arguments.page {
        let page = charts::page(&outcome).map_err(|e| Ending::Input(format!("the page: {e}")))?;
        std::fs::write(path, page)?;
    }
    if arguments.json {
        println!("{}", serde_json::to_string(&outcome)?);
    } else {
        print!("{}", words(&outcome));
    }
    Ok(())
}
