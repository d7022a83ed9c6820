//! `railhub chaos --loopback` for files that judge leases: the faults on real processes, under load.
use crate::chaos::ChaosArguments;
use crate::launch::folder_launcher;
use crate::report_output::{check_result, print_report};
use crate::runs::{quantile, run_seeds};
use crate::CommandError;
use railhub_chaos::cluster_harness::lease_scenario::lease_scenario;
use railhub_chaos::cluster_harness::temporary_folder;
use railhub_chaos::lease::judge::judge as judge_simulated;
use railhub_chaos::lease::simulation::run as simulate;
use railhub_chaos::{ChaosConfig, Fault, Sabotage};
use railhub_emulator::Sabotage as BrokenProxy;
use railhub_invariants::{check, limits, takeover_times, Verdict};
use railhub_record::save;
use railhub_scenario::{play, report};
use serde::Serialize;
use std::path::PathBuf;

/// A run that broke a rule; the serialized names are those of the JSON output.
#[derive(Clone, Serialize)]
struct FailedRun {
    seed: u64,
    #[serde(rename = "rules")]
    broken_rules: Vec<Verdict>,
    faults: Vec<Fault>,
    /// Where its logs and its recording are.
    folder: PathBuf,
    /// Whether the same faults break a rule in simulated time.
    #[serde(rename = "simulated")]
    fails_in_simulation: bool,
}

/// The report of all runs; the serialized names are those of the JSON output.
#[derive(Serialize)]
struct LoopbackReport {
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
    /// Seeds of the runs that could not be played, with the errors.
    not_played: Vec<(u64, String)>,
    /// The failed run with the lowest seed.
    #[serde(rename = "first")]
    first_failure: Option<FailedRun>,
    /// How often a proxy received a newer epoch of a slice after the death of the slice's controller.
    #[serde(rename = "taken_up")]
    takeovers: usize,
    /// Seconds from the death to that epoch: the median.
    #[serde(rename = "taken_up_half")]
    takeover_p50: Option<f64>,
    /// The same: the 99th percentile.
    #[serde(rename = "taken_up_99")]
    takeover_p99: Option<f64>,
    /// Service, the gain of operations in time over the gain of all: the mean of the runs.
    #[serde(rename = "service")]
    mean_service: f64,
    /// Service of the worst run.
    #[serde(rename = "service_least")]
    lowest_service: f64,
    /// Seconds of a lease.
    #[serde(rename = "span")]
    lease_duration: f64,
}

/// What is known of one run.
struct RunResult {
    service: f64,
    /// Seconds of each takeover.
    takeover_times: Vec<f64>,
    failed: Option<FailedRun>,
}

pub fn run(
    chaos: &ChaosConfig,
    arguments: &ChaosArguments,
    sabotage: Option<Sabotage>,
) -> Result<(), CommandError> {
    if chaos.controllers < 2 {
        return Err(CommandError::Input(format!(
            "{}: --loopback needs 2 controllers or more, the file has {}",
            arguments.file.display(),
            chaos.controllers
        )));
    }
    railhub_net::start_runtime();
    let threads = arguments.at_once as usize;
    let results =
        run_seeds(arguments.seed, arguments.runs, threads, |seed| run_seed(chaos, seed, arguments, sabotage));
    let (mut runs, mut not_played) = (Vec::new(), Vec::new());
    for (seed, result) in results {
        match result {
            Ok(result) => runs.push(result),
            Err(error) => not_played.push((seed, error)),
        }
    }
    let report = summarize(chaos, arguments, &runs, not_played);
    print_report(&report, arguments.json, report_text)?;
    check_result(report.failed_runs == 0 && report.not_played.is_empty())
}

/// Plays the run of a seed and judges it; keeps its folder if it broke a rule or `--keep` is given.
fn run_seed(
    chaos: &ChaosConfig,
    seed: u64,
    arguments: &ChaosArguments,
    sabotage: Option<Sabotage>,
) -> Result<RunResult, String> {
    let faults = chaos.faults(seed);
    let folder = arguments.keep.as_ref().map(|keep| keep.join(format!("seed-{seed}")));
    let folder = folder.unwrap_or_else(|| temporary_folder(seed));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: cannot be created: {e}", folder.display()))?;
    let scenario = lease_scenario(chaos, seed, &faults, sabotage).map_err(|e| e.to_string())?.scenario;
    let broken_proxy = (sabotage == Some(Sabotage::NoFence)).then_some(BrokenProxy::AcceptsOldEpochs);
    let played = play(&scenario, Some(folder_launcher(&folder)), broken_proxy, None, &|_| {});
    let played = played.map_err(|e| e.to_string())?;
    let rules = check(&played.events).map_err(|error| error.to_string())?;
    let limits = limits(&played.events).ok_or("the recording does not state the limits of its run")?;
    let service = report::service(&played.events, limits).overall;
    let breaks_rule = rules.iter().any(|verdict| !verdict.kept);
    let keeps_folder = arguments.keep.is_some() || breaks_rule;
    if keeps_folder {
        let verdict =
            serde_json::json!({ "seed": seed, "faults": faults, "rules": rules, "service": service });
        std::fs::write(folder.join("verdict.json"), verdict.to_string())
            .map_err(|e| format!("{}: cannot write verdict.json: {e}", folder.display()))?;
        save(&folder.join("record"), &played.events).map_err(|e| e.to_string())?;
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let failed = breaks_rule.then(|| {
        let fails_in_simulation = !judge_simulated(&simulate(chaos, seed, &faults, sabotage)).is_empty();
        let broken_rules = rules.into_iter().filter(|verdict| !verdict.kept).collect();
        FailedRun { seed, broken_rules, faults, folder, fails_in_simulation }
    });
    Ok(RunResult { service, takeover_times: takeover_times(&played.events), failed })
}

fn summarize(
    chaos: &ChaosConfig,
    arguments: &ChaosArguments,
    runs: &[RunResult],
    not_played: Vec<(u64, String)>,
) -> LoopbackReport {
    let mut takeover_times: Vec<f64> = runs.iter().flat_map(|run| run.takeover_times.clone()).collect();
    takeover_times.sort_by(f64::total_cmp);
    let failed: Vec<&FailedRun> = runs.iter().filter_map(|run| run.failed.as_ref()).collect();
    let service = runs.iter().map(|run| run.service);
    LoopbackReport {
        name: chaos.name.clone(),
        mode: "loopback",
        first_seed: arguments.seed,
        runs: arguments.runs,
        failed_runs: failed.len() as u64,
        failed_seeds: failed.iter().map(|failed| failed.seed).collect(),
        not_played,
        first_failure: failed.first().map(|first| (*first).clone()),
        takeovers: takeover_times.len(),
        takeover_p50: quantile(&takeover_times, 0.5),
        takeover_p99: quantile(&takeover_times, 0.99),
        mean_service: service.clone().sum::<f64>() / runs.len().max(1) as f64,
        lowest_service: service.fold(1.0, f64::min),
        lease_duration: chaos.lease_duration,
    }
}

fn report_text(report: &LoopbackReport) -> String {
    let last = report.first_seed + report.runs - 1;
    let mut out = format!("{}, {}, seeds {} to {last}\n", report.name, report.mode, report.first_seed);
    if let (Some(p50), Some(p99)) = (report.takeover_p50, report.takeover_p99) {
        out += &format!(
            "slices of dead controllers taken over ({} times, at each proxy): half within {p50:.2} s, 99 % within \
             {p99:.2} s (a lease is {} s)\n",
            report.takeovers, report.lease_duration
        );
    }
    out += &format!(
        "service {:.3} on average, {:.3} in the worst run\n",
        report.mean_service, report.lowest_service
    );
    for (seed, error) in &report.not_played {
        out += &format!("seed {seed} was not played: {error}\n");
    }
    out += &format!(
        "{} of {} runs broke a rule, seeds {:?}\n",
        report.failed_runs, report.runs, report.failed_seeds
    );
    let Some(first) = &report.first_failure else { return out };
    out += &format!("seed {}:\n", first.seed);
    for verdict in &first.broken_rules {
        out += &format!("  rule {} {}: {} times\n", verdict.rule, verdict.name, verdict.violation_count);
        for violation in &verdict.violations {
            out += &format!("    {:.3} s: {}\n", violation.at, violation.description);
        }
    }
    for fault in &first.faults {
        out += &format!("  {:.2} s, for {:.2} s: {}\n", fault.at, fault.duration, fault.kind);
    }
    out += if first.fails_in_simulation {
        "the same faults break a rule in simulated time too\n"
    } else {
        "the same faults break no rule in simulated time\n"
    };
    out += &format!("logs, recording and verdict: {}\n", first.folder.display());
    out
}
