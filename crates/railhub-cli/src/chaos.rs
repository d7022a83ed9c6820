//! `railhub chaos`: controllers that share slices, under faults that are drawn from seeds or listed in a file. This
//! module judges leases in simulated time; [`crate::chaos_leases`] and [`crate::chaos_view`] have the other modes.
use crate::report_output::{check_result, print_report};
use crate::runs::{core_count, quantile, run_seeds};
use crate::CommandError;
use clap::{Args, ValueEnum};
use railhub_chaos::breach::Breach;
use railhub_chaos::lease::judge::judge;
use railhub_chaos::lease::recovery::recovery_figures;
use railhub_chaos::lease::shrink::shrink;
use railhub_chaos::lease::simulation::run as simulate;
use railhub_chaos::{ChaosConfig, Fault, JudgedProperty, Sabotage};
use railhub_membership::safeguard::Safeguard;
use serde::Serialize;
use std::path::PathBuf;

#[derive(Args)]
pub struct ChaosArguments {
    /// Chaos file, INI: the size of the cluster, its faults, and whether leases or membership views are judged.
    pub file: PathBuf,
    /// Seed of the first run; each further run has the next seed.
    #[arg(long, default_value_t = 0)]
    pub seed: u64,
    /// Number of runs, one for each seed.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..10_000_000))]
    pub runs: u64,
    /// Leave out a safeguard on which the rules rest, to verify that the check reports it.
    #[arg(long, value_enum)]
    pub sabotage: Option<SabotageArgument>,
    /// Run real controller processes on loopback sockets, with faults of the links between them, instead of simulated
    /// time.
    #[arg(long)]
    pub loopback: bool,
    /// Replace the membership protocol by heartbeats to all members and one fixed timeout, as a baseline; only for
    /// files that judge views, in simulated time.
    #[arg(long)]
    pub baseline: bool,
    /// Number of runs at the same time, with `--loopback`; simulated runs use all cores.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..64))]
    pub at_once: u64,
    /// Folder for the settings, logs, recordings and verdicts of all runs, with `--loopback`; default: only runs that
    /// broke a rule are kept, in temporary folders.
    #[arg(long)]
    pub keep: Option<PathBuf>,
    /// Print the report as one JSON object.
    #[arg(long)]
    pub json: bool,
}

/// A safeguard that a run leaves out, of leases or of membership views.
#[derive(Clone, Copy, ValueEnum)]
pub enum SabotageArgument {
    /// Leases: proxies obey commands of any epoch.
    NoFence,
    /// Leases: the store grants a slice to another holder under an epoch that it has already used.
    EpochReused,
    /// Leases: controllers still command slices after their leases have expired.
    LeaseOverrun,
    /// Leases: proxies obey a repeated command once more.
    NoMemory,
    /// Leases: the store accepts tables under any epoch; only with `--loopback`, as simulated runs store no tables.
    UncheckedWrites,
    /// Views: a suspected member does not refute the suspicion.
    NoRefutation,
    /// Views: dead members are never probed again.
    DeadNotAsked,
    /// Views: entries of older processes of a member are accepted.
    ProcessIgnored,
    /// Views: members never synchronize their views.
    NoAntiEntropy,
    /// Views: an entry is gossiped without a limit.
    EndlessRumours,
    /// Views: a member with poor local health suspects others as early as any.
    NoOwnTrouble,
    /// Views: SWIM as first published, without probes of dead members, synchronization and local health.
    NoAdditions,
}

impl SabotageArgument {
    /// The sabotage of a run that judges leases; `None` if this one is of views.
    fn lease_sabotage(self) -> Option<Sabotage> {
        Some(match self {
            SabotageArgument::NoFence => Sabotage::NoFence,
            SabotageArgument::EpochReused => Sabotage::EpochReused,
            SabotageArgument::LeaseOverrun => Sabotage::LeaseOverrun,
            SabotageArgument::NoMemory => Sabotage::NoMemory,
            SabotageArgument::UncheckedWrites => Sabotage::UncheckedWrites,
            _ => return None,
        })
    }

    /// The safeguard that a run that judges views leaves out; `None` if this one is of leases.
    pub fn disabled_safeguard(self) -> Option<Safeguard> {
        Some(match self {
            SabotageArgument::NoRefutation => Safeguard::Refutation,
            SabotageArgument::DeadNotAsked => Safeguard::DeadProbing,
            SabotageArgument::ProcessIgnored => Safeguard::ProcessOrder,
            SabotageArgument::NoAntiEntropy => Safeguard::AntiEntropy,
            SabotageArgument::EndlessRumours => Safeguard::GossipLimit,
            SabotageArgument::NoOwnTrouble => Safeguard::LocalHealth,
            SabotageArgument::NoAdditions => Safeguard::Extensions,
            _ => return None,
        })
    }
}

/// A run that broke a rule, with a minimal list of the faults that cause it.
#[derive(Serialize)]
struct FailedRun {
    seed: u64,
    breaches: Vec<Breach>,
    faults: Vec<Fault>,
}

/// The report of all runs; the serialized names are those of the JSON output.
#[derive(Serialize)]
struct LeaseReport {
    #[serde(rename = "chaos")]
    name: String,
    #[serde(rename = "how")]
    mode: &'static str,
    first_seed: u64,
    runs: u64,
    #[serde(rename = "failed")]
    failed_runs: u64,
    /// The failed run with the lowest seed.
    #[serde(rename = "first")]
    first_failure: Option<FailedRun>,
    /// How often a slice was commanded again after the death of its controller.
    #[serde(rename = "taken_up")]
    recoveries: u64,
    /// Seconds from the death of a slice's controller to the next command for the slice: the median. It depends on the
    /// duration of a lease.
    #[serde(rename = "taken_up_half")]
    recovery_p50: Option<f64>,
    /// The same: the 99th percentile.
    #[serde(rename = "taken_up_99")]
    recovery_p99: Option<f64>,
    /// Seconds of a lease.
    #[serde(rename = "span")]
    lease_duration: f64,
}

pub fn run(arguments: &ChaosArguments) -> Result<(), CommandError> {
    let chaos = ChaosConfig::open(&arguments.file)?;
    if chaos.judged == JudgedProperty::View {
        return crate::chaos_view::run(&chaos, arguments);
    }
    let sabotage = arguments.sabotage.map(SabotageArgument::lease_sabotage);
    if sabotage == Some(None) {
        let file = arguments.file.display();
        return Err(CommandError::Input(format!(
            "--sabotage: the value given is for files that judge views, but {file} judges leases"
        )));
    }
    let sabotage = sabotage.flatten();
    if arguments.loopback {
        return crate::chaos_leases::run(&chaos, arguments, sabotage);
    }
    let runs = run_seeds(arguments.seed, arguments.runs, core_count(), |seed| {
        let events = simulate(&chaos, seed, &chaos.faults(seed), sabotage);
        (recovery_figures(&events).recovery_times, !judge(&events).is_empty())
    });
    let failed: Vec<u64> = runs.iter().filter(|(_, result)| result.1).map(|(seed, _)| *seed).collect();
    let mut recovery_times: Vec<f64> = runs.into_iter().flat_map(|(_, result)| result.0).collect();
    recovery_times.sort_by(f64::total_cmp);
    let percentile = |fraction: f64| quantile(&recovery_times, fraction);
    let report = LeaseReport {
        name: chaos.name.clone(),
        mode: "simulated",
        first_seed: arguments.seed,
        runs: arguments.runs,
        failed_runs: failed.len() as u64,
        first_failure: failed.first().map(|seed| minimal_failure(&chaos, *seed, sabotage)),
        recoveries: recovery_times.len() as u64,
        recovery_p50: percentile(0.5),
        recovery_p99: percentile(0.99),
        lease_duration: chaos.lease_duration,
    };
    print_report(&report, arguments.json, report_text)?;
    check_result(report.failed_runs == 0)
}

/// Plays the run of a seed again and reduces its faults.
fn minimal_failure(chaos: &ChaosConfig, seed: u64, sabotage: Option<Sabotage>) -> FailedRun {
    let faults = chaos.faults(seed);
    let breaches = judge(&simulate(chaos, seed, &faults, sabotage));
    let rule = breaches.first().map_or("", |breach| breach.rule);
    let (faults, breaches) = shrink(chaos, seed, &faults, sabotage, rule);
    FailedRun { seed, breaches, faults }
}

fn report_text(report: &LeaseReport) -> String {
    let last = report.first_seed + report.runs - 1;
    let mut out = format!("{}, {}, seeds {} to {last}\n", report.name, report.mode, report.first_seed);
    if let (Some(p50), Some(p99)) = (report.recovery_p50, report.recovery_p99) {
        out += &format!(
            "{} slices of dead controllers commanded again: half within {p50:.2} s, 99 % within {p99:.2} s \
             (a lease is {} s)\n",
            report.recoveries, report.lease_duration
        );
    }
    out += &format!("{} of {} runs broke a rule\n", report.failed_runs, report.runs);
    if let Some(first) = &report.first_failure {
        out += &format!("seed {}:\n", first.seed);
        for breach in &first.breaches {
            out += &format!("  {:.3} s: {}: {}\n", breach.at, breach.rule, breach.description);
        }
        out += &format!("minimal set of faults ({}):\n", first.faults.len());
        for fault in &first.faults {
            out += &format!("  {:.2} s, for {:.2} s: {}\n", fault.at, fault.duration, fault.kind);
        }
    }
    out
}
