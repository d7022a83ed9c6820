//! `railhub scenario`, `railhub report` and `railhub check`.
use crate::launch::as_process;
use crate::{Ending, LogForm};
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
    other: Option<ScenarioCommand>,
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
    sabotage: Option<BrokenRule>,
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
enum BrokenRule {
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

impl BrokenRule {
    fn how(self) -> Sabotage {
        match self {
            BrokenRule::One => Sabotage::LosesLines,
            BrokenRule::Two => Sabotage::RetriesBlindly,
            BrokenRule::Three => Sabotage::IgnoresExclusions,
            BrokenRule::Four => Sabotage::FloodsColdHosts,
            BrokenRule::Five => Sabotage::ReceivesTooManyMessages,
        }
    }
}

pub fn run(arguments: &ScenarioArguments, log: LogForm) -> Result<(), Ending> {
    if let Some(ScenarioCommand::Import { file, output, hosts }) = &arguments.other {
        let lost = import::import(file, output, *hosts)?;
        lost.iter().for_each(|what| eprintln!("not carried over: {what}"));
        return Ok(());
    }
    let file = arguments.file.as_ref().ok_or(Ending::Input("a day file is needed".into()))?;
    let mut day = Scenario::open(file)?;
    day.seed = arguments.seed.unwrap_or(day.seed);
    let sabotage = arguments.sabotage.map(BrokenRule::how);
    let bar = progress_bar(&day);
    let show = |at: f64| bar.set_position(at.max(0.0) as u64);
    let record = arguments.record.as_deref();
    let (steered, fixed) = std::thread::scope(|scope| {
        let fixed = (!arguments.no_fixed).then(|| scope.spawn(|| play_fixed(&day)));
        let steered = play(&day, Some(as_process(log)), sabotage, record, &show);
        let fixed =
            fixed.map(|thread| thread.join().unwrap_or_else(|_| Err("the fixed day ended early".into())));
        (steered, fixed)
    });
    bar.finish_and_clear();
    let steered = steered?;
    let fixed = fixed.transpose().map_err(Ending::Input)?;
    let fixed = fixed.and_then(|played| Some(service(&played.events, limits(&played.events)?)));
    let events = match record {
        Some(record) => read(record)?,
        None => steered.events,
    };
    finish(&Run { day: &day.name, seed: day.seed, how: "loopback" }, &events, fixed, arguments.json)
}

/// The same scenario with the tables that it begins with.
fn play_fixed(day: &Scenario) -> Result<ScenarioRun, String> {
    play(day, None, None, None, &|_| {}).map_err(|error| error.to_string())
}

pub fn progress_bar(day: &Scenario) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} s, {eta} left");
    let bar = ProgressBar::new(day.length as u64).with_message(day.name.clone());
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Which run a report is of.
pub struct Run<'a> {
    pub day: &'a str,
    pub seed: u64,
    /// loopback or simulated.
    pub how: &'static str,
}

/// A report of a record that is all there is: neither day nor seed are known.
pub fn report(arguments: &CheckArguments) -> Result<(), Ending> {
    let name = arguments.record.display().to_string();
    let PartialRecording { events, is_truncated } = read_partial(&arguments.record)?;
    if is_truncated {
        eprintln!("{name}: cut off; the {} events before the cut are used", events.len());
    }
    finish(&Run { day: &name, seed: 0, how: "from a record" }, &events, None, arguments.json)
}

/// Prints what came of a day; a broken rule is an ending of its own.
pub fn finish(run: &Run, events: &[Event], fixed: Option<Service>, json: bool) -> Result<(), Ending> {
    let rules = check_recording(events).map_err(|error| Ending::Input(error.to_string()))?;
    let limits = limits(events).ok_or(Ending::Input("the record has no limits".into()))?;
    let report = Report {
        scenario: run.day.to_owned(),
        source: run.how,
        seed: run.seed,
        service: service(events, limits),
        fixed,
        rules_kept: rules.iter().all(|verdict| verdict.kept),
        rules,
    };
    let series = time_series(events, limits);
    let changes = service_changes(events, limits, &series);
    if json {
        let mut all = serde_json::to_value(&report)?;
        all["changes"] = serde_json::to_value(&changes)?;
        all["over_time"] = serde_json::to_value(&series)?;
        println!("{all}");
    } else {
        print!("{}", report_text(&report));
        print!("{}", format_changes(&changes));
    }
    if report.rules_kept {
        Ok(())
    } else {
        Err(Ending::Check)
    }
}

pub fn check(arguments: &CheckArguments) -> Result<(), Ending> {
    let rules =
        check_recording(&read(&arguments.record)?).map_err(|error| Ending::Input(error.to_string()))?;
    if arguments.json {
        println!("{}", serde_json::to_string(&rules)?);
    } else {
        print!("{}", verdicts_text(&rules));
    }
    if rules.iter().all(|verdict| verdict.kept) {
        Ok(())
    } else {
        Err(Ending::Check)
    }
}
