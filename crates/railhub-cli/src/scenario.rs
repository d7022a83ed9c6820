//! `railhub scenario`, `railhub report` and `railhub check`.
use crate::launch::process_launcher;
use crate::{CommandError, LogFormat};
use clap::{Args, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use railhub_emulator::Sabotage;
use railhub_invariants::{check as check_recording, limits};
use railhub_record::{read, read_partial, Event, PartialRecording};
use railhub_scenario::report::text::{report_text, verdicts_text};
use railhub_scenario::report::{service, Report, Service};
use railhub_scenario::{import, play, Played, Scenario};
use railhub_timeseries::service_changes::format_changes;
use railhub_timeseries::{service_changes, time_series};
use std::io::IsTerminal;
use std::path::PathBuf;

#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct ScenarioArguments {
    #[command(subcommand)]
    command: Option<ScenarioCommand>,
    /// The day, INI.
    #[arg(required = true)]
    file: Option<PathBuf>,
    /// In place of the file's own.
    #[arg(long)]
    seed: Option<u64>,
    /// One JSON object on standard output.
    #[arg(long)]
    json: bool,
    /// Keep what crossed the sockets.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Make a stand-in break a rule: the checker must find that one.
    #[arg(long, value_enum)]
    sabotage: Option<SabotageArgument>,
    /// Leave out the same day with tables fixed at the start.
    #[arg(long)]
    no_fixed: bool,
}

#[derive(Subcommand)]
enum ScenarioCommand {
    /// Makes a script of a day that was drawn for the users' bench.
    Import {
        /// A day file, JSON.
        file: PathBuf,
        #[arg(short, long)]
        output: PathBuf,
        /// Hosts at the start; as many as the day has, 24 at the most, if left out.
        #[arg(long)]
        hosts: Option<usize>,
    },
}

#[derive(Args)]
pub struct CheckArguments {
    record: PathBuf,
    /// One JSON object on standard output.
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, ValueEnum)]
enum SabotageArgument {
    #[value(name = "rule-1")]
    One,
    #[value(name = "rule-2")]
    Two,
    #[value(name = "rule-3")]
    Three,
    #[value(name = "rule-4")]
    Four,
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
        omitted.iter().for_each(|omission| eprintln!("not carried over: {omission}"));
        return Ok(());
    }
    let file = arguments.file.as_ref().ok_or(CommandError::Input("a day file is needed".into()))?;
    let mut scenario = Scenario::open(file)?;
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    let sabotage = arguments.sabotage.map(SabotageArgument::emulator_sabotage);
    let bar = progress_bar(&scenario);
    let show = |at: f64| bar.set_position(at.max(0.0) as u64);
    let record = arguments.record.as_deref();
    let (controlled, fixed) = std::thread::scope(|scope| {
        let fixed = (!arguments.no_fixed).then(|| scope.spawn(|| play_fixed(&scenario)));
        let controlled = play(&scenario, Some(process_launcher(log)), sabotage, record, &show);
        let fixed =
            fixed.map(|thread| thread.join().unwrap_or_else(|_| Err("the fixed day ended early".into())));
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
        &RunSource { scenario: &scenario.name, seed: scenario.seed, source: "loopback" },
        &events,
        fixed,
        arguments.json,
    )
}

/// The same scenario with the tables that it begins with.
fn play_fixed(scenario: &Scenario) -> Result<Played, String> {
    play(scenario, None, None, None, &|_| {}).map_err(|error| error.to_string())
}

pub fn progress_bar(scenario: &Scenario) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} s, {eta} left");
    let bar = ProgressBar::new(scenario.length as u64).with_message(scenario.name.clone());
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Which run a report is of.
pub struct RunSource<'a> {
    pub scenario: &'a str,
    pub seed: u64,
    /// loopback or simulated.
    pub source: &'static str,
}

/// A report of a record that is all there is: neither day nor seed are known.
pub fn report(arguments: &CheckArguments) -> Result<(), CommandError> {
    let name = arguments.record.display().to_string();
    let PartialRecording { events, is_truncated } = read_partial(&arguments.record)?;
    if is_truncated {
        eprintln!("{name}: cut off; the {} events before the cut are used", events.len());
    }
    finish(&RunSource { scenario: &name, seed: 0, source: "from a record" }, &events, None, arguments.json)
}

/// Prints what came of a day; a broken rule is an ending of its own.
pub fn finish(
    run: &RunSource,
    events: &[Event],
    fixed: Option<Service>,
    json: bool,
) -> Result<(), CommandError> {
    let rules = check_recording(events).map_err(|error| CommandError::Input(error.to_string()))?;
    let limits = limits(events).ok_or(CommandError::Input("the record has no limits".into()))?;
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
    if report.rules_kept {
        Ok(())
    } else {
        Err(CommandError::CheckFailed)
    }
}

pub fn check(arguments: &CheckArguments) -> Result<(), CommandError> {
    let rules =
        check_recording(&read(&arguments.record)?).map_err(|error| CommandError::Input(error.to_string()))?;
    if arguments.json {
        println!("{}", serde_json::to_string(&rules)?);
    } else {
        print!("{}", verdicts_text(&rules));
    }
    if rules.iter().all(|verdict| verdict.kept) {
        Ok(())
    } else {
        Err(CommandError::CheckFailed)
    }
}
