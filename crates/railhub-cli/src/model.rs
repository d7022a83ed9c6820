//! `railhub model`: a day in simulated time.
use crate::scenario::{finish, Run};
use crate::Ending;
use clap::{Args, Subcommand, ValueEnum};
use railhub_experiment::predict::predict;
use railhub_experiment::stats::{estimate, Estimate};
use railhub_ini::{Diagnostic, Document};
use railhub_invariants::limits;
use railhub_record::{read, save};
use railhub_scenario::report::service;
use railhub_scenario::Scenario;
use railhub_simulator::fit::samples;
use railhub_simulator::{run as run_model, Baseline, Policy, TimingModel};
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
    /// Play the day so often, each time with other luck: the interval that one more run lies in. 19 runs make it
    /// hold in 9 of 10 cases.
    #[arg(long, value_parser = clap::value_parser!(u64).range(2..100_000))]
    runs: Option<u64>,
    /// Keep what happened, as `day --record` does.
    #[arg(long)]
    record: Option<PathBuf>,
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
            Steers::Steward => Policy::Controller,
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
    let physics = arguments.physics.as_deref().map_or(Ok(TimingModel::default()), read_physics)?;
    let mut day = Scenario::open(file)?;
    day.seed = arguments.seed.unwrap_or(day.seed);
    if let Some(runs) = arguments.runs {
        return foresee(&day, &arguments.policy.policy(), physics, runs, arguments.json);
    }
    let play = |policy: Policy| run_model(&day, &policy, physics).map_err(Ending::Input);
    let events = play(arguments.policy.policy())?;
    if let Some(path) = &arguments.record {
        save(path, &events)?;
    }
    let fixed = (!arguments.no_fixed).then(|| play(Policy::Fixed)).transpose()?;
    let fixed = fixed.and_then(|events| Some(service(&events, limits(&events)?)));
    let run = Run { day: &day.name, seed: day.seed, how: "simulated" };
    finish(&run, &events, fixed, arguments.json)
}

fn foresee(
    day: &Scenario,
    policy: &Policy,
    physics: TimingModel,
    runs: u64,
    json: bool,
) -> Result<(), Ending> {
    let told = predict(day, policy, physics, runs).map_err(Ending::Input)?;
    if json {
        println!("{}", serde_json::to_string(&told)?);
    } else {
        let holds = told.holds * 100.0;
        println!(
            "{} (seed {}), simulated, {runs} runs; one more lies within in {holds:.0} of 100 cases",
            day.name, day.seed
        );
        for (name, within) in [("service", told.service), ("worst 10 s", told.worst_10_s)] {
            println!("{name} {:.3} [{:.3}, {:.3}]", within.mean, within.low, within.high);
        }
        if told.runs_with_broken_rules > 0 {
            println!("rules BROKEN in {} runs", told.runs_with_broken_rules);
        }
    }
    if told.runs_with_broken_rules == 0 {
        Ok(())
    } else {
        Err(Ending::Check)
    }
}

pub fn read_physics(path: &Path) -> Result<TimingModel, Diagnostic> {
    let document = Document::open(path)?;
    document.reject_unknown_sections(|name| name == "physics")?;
    let section = document.section("physics");
    let physics = TimingModel {
        message_latency: section.required_in_range("way", 0.0, 10.0)?,
        completion_delay: section.required_in_range("work_late", 0.0, 10.0)?,
    };
    section.reject_unread_keys()?;
    Ok(physics)
}

fn fit(record: &Path) -> Result<(), Ending> {
    let samples = samples(&read(record)?);
    if samples.message_latency.is_empty() || samples.completion_delay.is_empty() {
        return Err(Ending::Input(format!("{}: no completed operation to learn from", record.display())));
    }
    let line = |name: &str, known: Estimate| {
        println!("; 95 %: {:.6} to {:.6}, {} samples", known.low, known.high, known.count);
        println!("{name} = {:.6}", known.mean);
    };
    println!("[physics]");
    line("way", estimate(&samples.message_latency, 1));
    line("work_late", estimate(&samples.completion_delay, 1));
    Ok(())
}
