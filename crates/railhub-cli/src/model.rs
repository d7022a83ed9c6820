//! `railhub model`: a day in simulated time.
use crate::day::finish;
use crate::Ending;
use clap::{Args, Subcommand, ValueEnum};
use railhub_day::report::service;
use railhub_day::Day;
use railhub_experiment::stats::{estimate, Estimate};
use railhub_fleet::fit::samples;
use railhub_fleet::{run as run_model, Baseline, Physics, Policy};
use railhub_ini::{Complaint, Sheet};
use railhub_record::read;
use railhub_rules::limits;
use std::path::{Path, PathBuf};

#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct ModelArguments {
    #[command(subcommand)]
    other: Option<ModelCommand>,
    /// The day, INI.
    #[arg(required = true)]
    file: Option<PathBuf>,
    /// What the machine adds, INI, as `model fit` writes it.
    #[arg(long)]
    physics: Option<PathBuf>,
    /// In place of the file's own.
    #[arg(long)]
    seed: Option<u64>,
    /// Who steers.
    #[arg(long, value_enum, default_value_t = Steers::Steward)]
    policy: Steers,
    /// One JSON object on standard output.
    #[arg(long)]
    json: bool,
    /// Leave out the same day with tables fixed at the start.
    #[arg(long)]
    no_fixed: bool,
}

#[derive(Subcommand)]
enum ModelCommand {
    /// Reads out of a loopback record what the machine adds, and how well that is known.
    Fit { record: PathBuf },
}

#[derive(Clone, Copy, ValueEnum)]
enum Steers {
    Steward,
    Fixed,
    Hash,
    Even,
    Latency,
}

impl Steers {
    fn policy(self) -> Policy {
        match self {
            Steers::Steward => Policy::Steward,
            Steers::Fixed => Policy::Fixed,
            Steers::Hash => Policy::Baseline(Baseline::Hash),
            Steers::Even => Policy::Baseline(Baseline::Even),
            Steers::Latency => Policy::Baseline(Baseline::Latency),
        }
    }
}

pub fn run(arguments: &ModelArguments) -> Result<(), Ending> {
    if let Some(ModelCommand::Fit { record }) = &arguments.other {
        return fit(record);
    }
    let file = arguments.file.as_ref().ok_or(Ending::Input("a day file is needed".into()))?;
    let physics = arguments.physics.as_deref().map_or(Ok(Physics::default()), read_physics)?;
    let mut day = Day::open(file)?;
    day.seed = arguments.seed.unwrap_or(day.seed);
    let play = |policy: Policy| run_model(&day, &policy, physics).map_err(Ending::Input);
    let events = play(arguments.policy.policy())?;
    let fixed = (!arguments.no_fixed).then(|| play(Policy::Fixed)).transpose()?;
    let fixed = fixed.and_then(|events| Some(service(&events, limits(&events)?)));
    finish(&day, "simulated", &events, fixed, arguments.json)
}

fn read_physics(path: &Path) -> Result<Physics, Complaint> {
    let sheet = Sheet::open(path)?;
    sheet.only(|name| name == "physics")?;
    let section = sheet.section("physics");
    let physics = Physics {
        way: section.need_within("way", 0.0, 10.0)?,
        work_late: section.need_within("work_late", 0.0, 10.0)?,
    };
    section.done()?;
    Ok(physics)
}

fn fit(record: &Path) -> Result<(), Ending> {
    let samples = samples(&read(record)?);
    if samples.way.is_empty() || samples.work_late.is_empty() {
        return Err(Ending::Input(format!("{}: no completed operation to learn from", record.display())));
    }
    let line = |name: &str, known: Estimate| {
        println!("; 95 %: {:.6} to {:.6}, {} samples", known.low, known.high, known.count);
        println!("{name} = {:.6}", known.mean);
    };
    println!("[physics]");
    line("way", estimate(&samples.way, 1));
    line("work_late", estimate(&samples.work_late, 1));
    Ok(())
}
