//! `railhub chaos` for files that judge membership views: in simulated time, or on real processes.
use crate::chaos::{ChaosArguments, SabotageArgument};
use crate::report_output::{check_result, print_report};
use crate::runs::{core_count, quantile, run_seeds};
use crate::CommandError;
use railhub_chaos::breach::Breach;
use railhub_chaos::cluster_harness::{play, temporary_folder, HarnessPlan};
use railhub_chaos::shrink::minimal_faults;
use railhub_chaos::view::figures::{view_figures, ViewFigures};
use railhub_chaos::view::judge::judge;
use railhub_chaos::view::options::SEED_MEMBERS;
use railhub_chaos::view::simulation::run as simulate;
use railhub_chaos::view::timeline::observed_faults;
use railhub_chaos::view::{RunOptions, ViewObservation};
use railhub_chaos::{ChaosConfig, Fault};
use serde::Serialize;
use std::path::PathBuf;

/// A run that broke a rule; the serialized names are those of the JSON output.
#[derive(Clone, Serialize)]
struct FailedRun {
    seed: u64,
    breaches: Vec<Breach>,
    faults: Vec<Fault>,
    /// Where its logs are, if it was played on real processes.
    #[serde(skip_serializing_if = "Option::is_none")]
    folder: Option<PathBuf>,
    /// A minimal list of the faults that breaks the same rule in simulated time, if they do.
    #[serde(rename = "simulated", skip_serializing_if = "Option::is_none")]
    simulated_faults: Option<Vec<Fault>>,
}

/// The report of all runs; the serialized names are those of the JSON output.
#[derive(Serialize)]
struct ViewReport {
    #[serde(rename = "chaos")]
    name: String,
    #[serde(rename = "how")]
    mode: &'static str,
    first_seed: u64,
    runs: u64,
    #[serde(rename = "failed")]
    failed_runs: u64,
    #[serde(rename = "seeds_failed")]
    failed_seeds: Vec<u64>,
    /// The failed run with the lowest seed.
    #[serde(rename = "first")]
    first_failure: Option<FailedRun>,
    /// Seconds from the last fault until all views were correct: the median of the runs.
    #[serde(rename = "settled_half")]
    settling_p50: Option<f64>,
    /// The same: the 99th percentile.
    #[serde(rename = "settled_99")]
    settling_p99: Option<f64>,
    /// How often a process showed the death of another that did not start again.
    #[serde(rename = "deaths_shown")]
    detections: usize,
    /// Seconds from the death to that: the median.
    #[serde(rename = "known_half")]
    detection_p50: Option<f64>,
    /// The same: the 99th percentile.
    #[serde(rename = "known_99")]
    detection_p99: Option<f64>,
    /// How often a live process was declared dead, whatever disturbed the run, for each hour of the runs.
    #[serde(rename = "slanders_an_hour")]
    false_deaths_per_hour: f64,
    /// Datagrams a second that a controller sent.
    datagrams: f64,
    /// Bytes a second that a controller sent.
    bytes: f64,
    /// Processor cores that a controller used, on real processes.
    #[serde(rename = "processor")]
    cpu_cores: Option<f64>,
}

pub fn run(chaos: &ChaosConfig, arguments: &ChaosArguments) -> Result<(), CommandError> {
    let disabled_safeguard = arguments.sabotage.map(SabotageArgument::disabled_safeguard);
    if disabled_safeguard == Some(None) {
        let file = arguments.file.display();
        return Err(CommandError::Input(format!(
            "--sabotage: the value given is for files that judge leases, but {file} judges views"
        )));
    }
    let uses_heartbeats = arguments.baseline;
    if uses_heartbeats && arguments.loopback {
        return Err(CommandError::Input(
            "--baseline runs in simulated time only, not with --loopback".into(),
        ));
    }
    let options = RunOptions { without: disabled_safeguard.flatten(), forget_after: 0.0, uses_heartbeats };
    let threads = if arguments.loopback { arguments.at_once as usize } else { core_count() };
    let prints_timeline = arguments.runs == 1 && !chaos.listed_faults.is_empty() && !arguments.json;
    let results = run_seeds(arguments.seed, arguments.runs, threads, |seed| {
        run_seed(chaos, seed, options, arguments, prints_timeline)
    });
    let mut runs = Vec::new();
    for (seed, run) in results {
        runs.push(run.map_err(|error| CommandError::Input(format!("seed {seed}: {error}")))?);
    }
    let report = summarize(chaos, arguments, &runs);
    print_report(&report, arguments.json, report_text)?;
    check_result(report.failed_runs == 0)
}

/// What is known of one run.
struct RunResult {
    /// Seconds.
    length: f64,
    figures: ViewFigures,
    failed: Option<FailedRun>,
}

/// Plays the run of a seed and judges it; of a run on real processes, keeps the folder if a rule was broken or `--keep`
/// is given.
fn run_seed(
    chaos: &ChaosConfig,
    seed: u64,
    options: RunOptions,
    arguments: &ChaosArguments,
    prints_timeline: bool,
) -> Result<RunResult, String> {
    let faults = chaos.faults(seed);
    let (events, folder) = match arguments.loopback {
        false => (simulate(chaos, seed, &faults, options), None),
        true => {
            let folder = arguments.keep.as_ref().map(|keep| keep.join(format!("seed-{seed}")));
            let folder = folder.unwrap_or_else(|| temporary_folder(seed));
            (play_on_loopback(chaos, seed, &faults, options, &folder)?, Some(folder))
        }
    };
    if prints_timeline {
        print!("{}", timeline(&events));
    }
    let breaches = judge(&events);
    let length = events.iter().map(ViewObservation::at).fold(0.0, f64::max);
    let figures = view_figures(&events);
    if let Some(folder) = folder.as_ref().filter(|_| arguments.keep.is_some()) {
        let verdict = serde_json::json!({ "seed": seed, "breaches": breaches, "figures": figures });
        std::fs::write(folder.join("verdict.json"), verdict.to_string())
            .map_err(|e| format!("{}: cannot write verdict.json: {e}", folder.display()))?;
    }
    let failed = (!breaches.is_empty()).then(|| {
        let rule = breaches[0].rule;
        // The simulation gets the faults of real processes at the times at which they were observed.
        let played = if arguments.loopback { observed_faults(&events, &faults) } else { faults.clone() };
        let simulated_faults = minimal_simulated_faults(chaos, seed, &played, options, rule);
        FailedRun { seed, breaches, faults, folder: folder.clone(), simulated_faults }
    });
    if let Some(folder) = folder.filter(|_| arguments.keep.is_none() && failed.is_none()) {
        let _ = std::fs::remove_dir_all(folder);
    }
    Ok(RunResult { length, figures, failed })
}

fn play_on_loopback(
    chaos: &ChaosConfig,
    seed: u64,
    faults: &[Fault],
    options: RunOptions,
    folder: &std::path::Path,
) -> Result<Vec<ViewObservation>, String> {
    let binary =
        std::env::current_exe().map_err(|e| format!("cannot determine the path of this program: {e}"))?;
    let plan = HarnessPlan {
        config: chaos,
        seed,
        faults,
        options,
        binary: &binary,
        folder,
        seed_controllers: (0..SEED_MEMBERS).collect(),
    };
    play(&plan).map_err(|error| error.to_string())
}

/// A minimal list of the faults that breaks the same rule in simulated time; `None` if all of them do not break it
/// there.
fn minimal_simulated_faults(
    chaos: &ChaosConfig,
    seed: u64,
    faults: &[Fault],
    options: RunOptions,
    rule: &str,
) -> Option<Vec<Fault>> {
    let breaks = |faults: &[Fault]| {
        let breaches = judge(&simulate(chaos, seed, faults, options));
        breaches.iter().any(|breach| breach.rule == rule).then_some(())
    };
    minimal_faults(faults, breaks).map(|(faults, ())| faults)
}

fn summarize(chaos: &ChaosConfig, arguments: &ChaosArguments, runs: &[RunResult]) -> ViewReport {
    let mut settling_times: Vec<f64> = runs.iter().filter_map(|run| run.figures.settling_time).collect();
    let mut detection_times: Vec<f64> =
        runs.iter().flat_map(|run| run.figures.detection_times.clone()).collect();
    settling_times.sort_by(f64::total_cmp);
    detection_times.sort_by(f64::total_cmp);
    let count = runs.len().max(1) as f64;
    let hours = runs.iter().map(|run| run.length).sum::<f64>() / 3600.0;
    let false_deaths: u64 = runs.iter().map(|run| run.figures.false_deaths).sum();
    let failed: Vec<&FailedRun> = runs.iter().filter_map(|run| run.failed.as_ref()).collect();
    ViewReport {
        name: chaos.name.clone(),
        mode: if arguments.loopback { "loopback" } else { "simulated" },
        first_seed: arguments.seed,
        runs: arguments.runs,
        failed_runs: failed.len() as u64,
        failed_seeds: failed.iter().map(|failed| failed.seed).collect(),
        first_failure: failed.first().map(|first| (*first).clone()),
        settling_p50: quantile(&settling_times, 0.5),
        settling_p99: quantile(&settling_times, 0.99),
        detections: detection_times.len(),
        detection_p50: quantile(&detection_times, 0.5),
        detection_p99: quantile(&detection_times, 0.99),
        false_deaths_per_hour: false_deaths as f64 / hours.max(1e-9),
        datagrams: runs.iter().map(|run| run.figures.datagrams).sum::<f64>() / count,
        bytes: runs.iter().map(|run| run.figures.bytes).sum::<f64>() / count,
        cpu_cores: arguments
            .loopback
            .then(|| runs.iter().filter_map(|run| run.figures.processor_fraction).sum::<f64>() / count),
    }
}

fn report_text(report: &ViewReport) -> String {
    let last = report.first_seed + report.runs - 1;
    let mut out = format!("{}, {}, seeds {} to {last}\n", report.name, report.mode, report.first_seed);
    if let (Some(p50), Some(p99)) = (report.settling_p50, report.settling_p99) {
        out += &format!(
            "all views correct after the last fault: half of the runs within {p50:.2} s, 99 % within {p99:.2} s\n"
        );
    }
    if let (Some(p50), Some(p99)) = (report.detection_p50, report.detection_p99) {
        let count = report.detections;
        out += &format!(
            "deaths shown in views ({count} times): half within {p50:.2} s, 99 % within {p99:.2} s\n"
        );
    }
    out += &format!(
        "{:.1} false declarations of death an hour; {:.1} datagrams and {:.0} bytes a second from each controller\n",
        report.false_deaths_per_hour, report.datagrams, report.bytes
    );
    if let Some(cores) = report.cpu_cores {
        out += &format!("{:.2} % of a core for each controller\n", cores * 100.0);
    }
    out += &format!("{} of {} runs broke a rule\n", report.failed_runs, report.runs);
    let Some(first) = &report.first_failure else { return out };
    out += &format!("seed {}:\n", first.seed);
    for breach in &first.breaches {
        out += &format!("  {:.3} s: {}: {}\n", breach.at, breach.rule, breach.description);
    }
    let faults = first.simulated_faults.as_ref().unwrap_or(&first.faults);
    out += match (&first.folder, &first.simulated_faults) {
        (Some(_), Some(_)) => "minimal set of faults that breaks the same rule in simulated time:\n",
        (Some(_), None) => "faults, which do not break that rule in simulated time:\n",
        _ => "minimal set of faults:\n",
    };
    for fault in faults {
        out += &format!("  {:.2} s, for {:.2} s: {}\n", fault.at, fault.duration, fault.kind);
    }
    if let Some(folder) = &first.folder {
        out += &format!("logs and recordings: {}\n", folder.display());
    }
    out
}

/// The events of a run and each change of a controller's view, line by line.
fn timeline(events: &[ViewObservation]) -> String {
    let mut out = String::new();
    let mut last_views = std::collections::BTreeMap::new();
    for event in events {
        let at = event.at();
        match event {
            ViewObservation::Started { node, controller, .. } => {
                out += &format!("{at:>7.2} s  controller {controller} starts, process {}\n", node.0);
            }
            ViewObservation::Ended { node, controller, .. } => {
                out += &format!("{at:>7.2} s  controller {controller} ends, process {}\n", node.0);
            }
            ViewObservation::Fault { begins, fault, .. } => {
                out += &format!("{at:>7.2} s  {} {fault}\n", if *begins { "begins:" } else { "is over:" });
            }
            ViewObservation::View { node, controller, alive, superseded, .. } => {
                let ids: Vec<u16> = alive.iter().map(|(id, _)| *id).collect();
                let view = (ids, *superseded);
                if last_views.get(node) != Some(&view) {
                    let note = if *superseded { "; it is superseded" } else { "" };
                    out += &format!(
                        "{at:>7.2} s      view of controller {controller}: {:?} alive{note}\n",
                        view.0
                    );
                    last_views.insert(*node, view);
                }
            }
            _ => {}
        }
    }
    out
}
