//! `railhub model`: runs a scenario in simulated time.
use crate::report_output::check_result;
use crate::scenario::{finish, RunInfo};
use crate::CommandError;
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
    command: Option<ModelCommand>,
    /// Scenario file, INI.
    #[arg(required = true)]
    file: Option<PathBuf>,
    /// Latencies of a machine, INI as `railhub model fit` prints them; default: built-in values of a loopback run on
    /// four cores.
    #[arg(long)]
    physics: Option<PathBuf>,
    /// Seed of the run; default: the seed in the file.
    #[arg(long)]
    seed: Option<u64>,
    /// What decides the tables.
    #[arg(long, value_enum, default_value_t = PolicyArgument::Steward)]
    policy: PolicyArgument,
    /// Print the report as one JSON object.
    #[arg(long)]
    json: bool,
    /// Skip the run for comparison, in which the tables stay as they are at the start.
    #[arg(long)]
    no_fixed: bool,
    /// Make this many runs, each with other random choices of the proxies, and print the interval in which one more run
    /// would lie. With 19 runs, it lies there in 9 of 10 cases.
    #[arg(long, value_parser = clap::value_parser!(u64).range(2..100_000))]
    runs: Option<u64>,
    /// Write a recording of the run to this file, as `railhub scenario --record` does.
    #[arg(long)]
    record: Option<PathBuf>,
}

#[derive(Subcommand)]
enum ModelCommand {
    /// Estimates the latencies of a machine from a loopback recording; prints them as INI for `--physics`, with 95 %
    /// confidence intervals.
    Fit {
        /// Recording that `railhub scenario --record` wrote.
        record: PathBuf,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum PolicyArgument {
    /// The controller's decisions.
    Steward,
    /// Nothing: the tables stay as they are at the start.
    Fixed,
    /// Weighted rendezvous hashing: each slice on one host.
    Hash,
    /// All operations on all hosts, by the hosts' weights.
    Even,
    /// All operations on all hosts, by the inverse of the recent latency there.
    Latency,
}

impl PolicyArgument {
    fn policy(self) -> Policy {
        match self {
            PolicyArgument::Steward => Policy::Controller,
            PolicyArgument::Fixed => Policy::Fixed,
            PolicyArgument::Hash => Policy::Baseline(Baseline::Hash),
            PolicyArgument::Even => Policy::Baseline(Baseline::Even),
            PolicyArgument::Latency => Policy::Baseline(Baseline::Latency),
        }
    }
}

pub fn run(arguments: &ModelArguments) -> Result<(), CommandError> {
    if let Some(ModelCommand::Fit { record }) = &arguments.command {
        return fit(record);
    }
    let file = arguments.file.as_ref().ok_or(CommandError::Input("a scenario file is required".into()))?;
    let physics = arguments.physics.as_deref().map_or(Ok(TimingModel::default()), read_physics)?;
    let mut scenario = Scenario::open(file)?;
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    if let Some(runs) = arguments.runs {
        return print_prediction(&scenario, &arguments.policy.policy(), physics, runs, arguments.json);
    }
    let simulate = |policy: Policy| run_model(&scenario, &policy, physics).map_err(CommandError::Input);
    let events = simulate(arguments.policy.policy())?;
    if let Some(path) = &arguments.record {
        save(path, &events)?;
    }
    let fixed = (!arguments.no_fixed).then(|| simulate(Policy::Fixed)).transpose()?;
    let fixed = fixed.and_then(|events| Some(service(&events, limits(&events)?)));
    let run = RunInfo { scenario: &scenario.name, seed: scenario.seed, source: "simulated" };
    finish(&run, &events, fixed, arguments.json)
}

fn print_prediction(
    scenario: &Scenario,
    policy: &Policy,
    physics: TimingModel,
    runs: u64,
    json: bool,
) -> Result<(), CommandError> {
    let prediction = predict(scenario, policy, physics, runs).map_err(CommandError::Input)?;
    if json {
        println!("{}", serde_json::to_string(&prediction)?);
    } else {
        let holds = prediction.holds * 100.0;
        println!(
            "{} (seed {}), simulated, {runs} runs; one more run lies within in {holds:.0} of 100 cases",
            scenario.name, scenario.seed
        );
        for (name, interval) in [("service", prediction.service), ("worst 10 s", prediction.worst_10_s)] {
            println!("{name} {:.3} [{:.3}, {:.3}]", interval.mean, interval.low, interval.high);
        }
        if prediction.runs_with_broken_rules > 0 {
            println!("rules BROKEN in {} runs", prediction.runs_with_broken_rules);
        }
    }
    check_result(prediction.runs_with_broken_rules == 0)
}

/// Reads the latencies of a machine from an INI file with a `[physics]` section.
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

fn fit(record: &Path) -> Result<(), CommandError> {
    let samples = samples(&read(record)?);
    if samples.message_latency.is_empty() || samples.completion_delay.is_empty() {
        return Err(CommandError::Input(format!(
            "{}: no completed operation to estimate from",
            record.display()
        )));
    }
    let print_parameter = |name: &str, estimate: Estimate| {
        println!("; 95 %: {:.6} to {:.6}, {} samples", estimate.low, estimate.high, estimate.count);
        println!("{name} = {:.6}", estimate.mean);
    };
    println!("[physics]");
    print_parameter("way", estimate(&samples.message_latency, 1));
    print_parameter("work_late", estimate(&samples.completion_delay, 1));
    Ok(())
}
