//! `railhub model`: a day in simulated time.
use crate::day::finish;
use crate::Ending;
use clap::{Args, ValueEnum};
use railhub_day::report::service;
use railhub_day::Day;
use railhub_fleet::{run as run_model, Baseline, Physics, Policy};
use railhub_rules::limits;
use std::path::PathBuf;

#[derive(Args)]
pub struct ModelArguments {
    /// The day, INI.
    file: PathBuf,
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

#[derive(Clone, Copy, ValueEnum)]
enum Steers {
    Steward,
    Fixed,
    Hash,
    Even,
}

impl Steers {
    fn policy(self) -> Policy {
        match self {
            Steers::Steward => Policy::Steward,
            Steers::Fixed => Policy::Fixed,
            Steers::Hash => Policy::Baseline(Baseline::Hash),
            Steers::Even => Policy::Baseline(Baseline::Even),
        }
    }
}

pub fn run(arguments: &ModelArguments) -> Result<(), Ending> {
    let mut day = Day::open(&arguments.file)?;
    day.seed = arguments.seed.unwrap_or(day.seed);
    let play = |policy| run_model(&day, policy, Physics::default()).map_err(Ending::Input);
    let events = play(arguments.policy.policy())?;
    let fixed = (!arguments.no_fixed).then(|| play(Policy::Fixed)).transpose()?;
    let fixed = fixed.and_then(|events| Some(service(&events, limits(&events)?)));
    finish(&day, "simulated", &events, fixed, arguments.json)
}
