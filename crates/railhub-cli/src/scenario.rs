//! `railhub scenario`, `railhub report` and `railhub check`: runs a scenario on loopback, and reports on recordings.
use crate::launch::process_launcher;
use crate::report_output::{check_result, print_report};
use crate::{CommandError, LogFormat};
use clap::{Args, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use railhub_emulator::Sabotage;
use railhub_invariants::{check as check_recording, limits};
use railhub_record::{read, read_partial, Event, PartialRecording};
use railhub_scenario::report::text::{report_text, verdicts_text};
use railhub_scenario::report::{service, Report, Service};
use railhub_scenario::{import, play, Scenario, ScenarioRun};
use railhub_timeseries::service_changes::format_changes;
use railhub_timeseries::{service_changes, time_series};
use std::io::IsTerminal;
use std::path::PathBuf;

#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct ScenarioArguments {
    #[command(subcommand)]
    command: Option<ScenarioCommand>,
    /// Scenario file, INI.
    #[arg(required = true)]
    file: Option<PathBuf>,
    /// Seed of the run; default: the seed in the file.
    #[arg(long)]
    seed: Option<u64>,
    /// Print the report as one JSON object.
    #[arg(long)]
    json: bool,
    /// Write a recording of the run, with what crossed the sockets, to this file.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Make the emulated proxies break a rule, to verify that the check reports it.
    #[arg(long, value_enum)]
    sabotage: Option<SabotageArgument>,
    /// Skip the run for comparison, in which the tables stay as they are at the start.
    #[arg(long)]
    no_fixed: bool,
}

#[derive(Subcommand)]
enum ScenarioCommand {
    /// Converts a scenario of the users' bench (JSON) into a scenario file.
    Import {
        /// Scenario of the users' bench, JSON.
        file: PathBuf,
        /// Scenario file to write, INI.
        #[arg(short, long)]
        output: PathBuf,
        /// Number of hosts at the start; default: as in the source, but at most 24.
        #[arg(long)]
        hosts: Option<usize>,
    },
}

#[derive(Args)]
pub struct CheckArguments {
    /// Recording of a run.
    record: PathBuf,
    /// Print the result as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, ValueEnum)]
enum SabotageArgument {
    /// Proxies lose the assignments of some slices.
    #[value(name = "rule-1")]
    One,
    /// Proxies retry operations that completed.
    #[value(name = "rule-2")]
    Two,
    /// Proxies send to hosts that are excluded.
    #[value(name = "rule-3")]
    Three,
    /// Proxies send everything to the host that started last.
    #[value(name = "rule-4")]
    Four,
    /// Proxies receive each message several times.
    #[value(name = "rule-5")]
    Five,
}

impl SabotageArgument {
    fn emulator_sabotage(self) -> Sabotage {
        match self {
            SabotageArgument::One => Sabotage::LosesLines,
            SabotageArgument::Two => Sabotage::RetriesBlindly,
            SabotageArgument::Three => Sabotage::IgnoresExclusions,
            SabotageArgument::Four => Sabotage::FloodsColdHosts,
            SabotageArgument::Five => Sabotage::ReceivesTooManyMessages,
        }
    }
}

pub fn run(arguments: &ScenarioArguments, log: LogFormat) -> Result<(), CommandError> {
    if let Some(ScenarioCommand::Import { file, output, hosts }) = &arguments.command {
        let omitted = import::import(file, output, *hosts)?;
        omitted.iter().for_each(|omission| eprintln!("not imported: {omission}"));
        return Ok(());
    }
    let file = arguments.file.as_ref().ok_or(CommandError::Input("a scenario file is required".into()))?;
    let mut scenario = Scenario::open(file)?;
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    let sabotage = arguments.sabotage.map(SabotageArgument::emulator_sabotage);
    let bar = progress_bar(&scenario);
    let show_progress = |at: f64| bar.set_position(at.max(0.0) as u64);
    let record = arguments.record.as_deref();
    let (controlled, fixed) = std::thread::scope(|scope| {
        let fixed = (!arguments.no_fixed).then(|| scope.spawn(|| play_fixed(&scenario)));
        let controlled = play(&scenario, Some(process_launcher(log)), sabotage, record, &show_progress);
        let fixed = fixed
            .map(|thread| thread.join().unwrap_or_else(|_| Err("the run with fixed tables panicked".into())));
        (controlled, fixed)
    });
    bar.finish_and_clear();
    let controlled = controlled?;
    let fixed = fixed.transpose().map_err(CommandError::Input)?;
    let fixed = fixed.and_then(|played| Some(service(&played.events, limits(&played.events)?)));
    let events = match record {
        Some(record) => read(record)?,
        None => controlled.events,
    };
    finish(
        &RunInfo { scenario: &scenario.name, seed: scenario.seed, source: "loopback" },
        &events,
        fixed,
        arguments.json,
    )
}

/// Plays the scenario without a controller, so that the tables stay as at the start.
fn play_fixed(scenario: &Scenario) -> Result<ScenarioRun, String> {
    play(scenario, None, None, None, &|_| {}).map_err(|error| error.to_string())
}

/// A progress bar over the seconds of a scenario; hidden if standard error is not a terminal.
pub fn progress_bar(scenario: &Scenario) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} s, {eta} left");
    let bar = ProgressBar::new(scenario.length as u64).with_message(scenario.name.clone());
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// The run that a report is of.
pub struct RunInfo<'a> {
    pub scenario: &'a str,
    pub seed: u64,
    /// "loopback", "simulated" or "from a record".
    pub source: &'static str,
}

/// Prints the report of a recording. A recording holds neither the scenario's name nor its seed, so the path and 0
/// stand for them.
pub fn report(arguments: &CheckArguments) -> Result<(), CommandError> {
    let name = arguments.record.display().to_string();
    let PartialRecording { events, is_truncated } = read_partial(&arguments.record)?;
    if is_truncated {
        eprintln!("{name}: cut off; the {} events before the cut are used", events.len());
    }
    finish(&RunInfo { scenario: &name, seed: 0, source: "from a record" }, &events, None, arguments.json)
}

/// Prints the report of a run and its changes of service; fails with [`CommandError::CheckFailed`] if a rule was
/// broken.
pub fn finish(
    run: &RunInfo,
    events: &[Event],
    fixed: Option<Service>,
    json: bool,
) -> Result<(), CommandError> {
    let rules = check_recording(events).map_err(|error| CommandError::Input(error.to_string()))?;
    let limits = limits(events)
        .ok_or(CommandError::Input("the recording does not state the limits of its run".into()))?;
    let report = Report {
        scenario: run.scenario.to_owned(),
        source: run.source,
        seed: run.seed,
        service: service(events, limits),
        fixed,
        rules_kept: rules.iter().all(|verdict| verdict.kept),
        rules,
    };
    let series = time_series(events, limits);
    let changes = service_changes(events, limits, &series);
    if json {
        let mut output = serde_json::to_value(&report)?;
        output["changes"] = serde_json::to_value(&changes)?;
        output["over_time"] = serde_json::to_value(&series)?;
        println!("{output}");
    } else {
        print!("{}", report_text(&report));
        print!("{}", format_changes(&changes));
    }
    check_result(report.rules_kept)
}

pub fn check(arguments: &CheckArguments) -> Result<(), CommandError> {
    let rules =
        check_recording(&read(&arguments.record)?).map_err(|error| CommandError::Input(error.to_string()))?;
    print_report(&rules, arguments.json, |rules| verdicts_text(rules))?;
    check_result(rules.iter().all(|verdict| verdict.kept))
}
