//! `railhub chaos`: stewards that share a fleet, with faults drawn from seeds.
use crate::runs::{core_count, quantile, run_seeds};
use crate::CommandError;
use clap::{Args, ValueEnum};
use railhub_chaos::breach::Breach;
use railhub_chaos::lease::judge::judge;
use railhub_chaos::lease::recovery::recovery_figures;
use railhub_chaos::lease::shrink::shrink;
use railhub_chaos::lease::simulation::run as play;
use railhub_chaos::{ChaosConfig, Fault, JudgedProperty, Sabotage};
use railhub_membership::safeguard::Safeguard;
use serde::Serialize;
use std::path::PathBuf;

#[derive(Args)]
pub struct ChaosArguments {
    /// Sizes, and how much goes wrong, INI.
    file: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    pub seed: u64,
    /// Runs, one a seed.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..10_000_000))]
    pub runs: u64,
    /// Breaks what the rules rest on: the checker must find it.
    #[arg(long, value_enum)]
    pub sabotage: Option<SabotageArgument>,
    /// On real processes, with links between them that break.
    #[arg(long)]
    pub loopback: bool,
    /// Views: heartbeats to all and one fixed time-out instead, to weigh against; in simulated time.
    #[arg(long)]
    pub baseline: bool,
    /// Runs on real processes at once.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..64))]
    pub at_once: u64,
    /// Where settings, logs, records and verdicts of runs on real processes are kept.
    #[arg(long)]
    pub keep: Option<PathBuf>,
    /// One JSON object on standard output.
    #[arg(long)]
    pub json: bool,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum SabotageArgument {
    /// Proxies obey whatever comes.
    NoFence,
    /// The store grants under an epoch that it has used.
    EpochReused,
    /// Stewards order on when their leases are over.
    LeaseOverrun,
    /// Proxies take an order that is sent again once more.
    NoMemory,
    /// The store takes tables under any epoch; on real processes.
    UncheckedWrites,
    /// Views: one that is suspected does not say otherwise.
    NoRefutation,
    /// Views: the dead are never asked again.
    DeadNotAsked,
    /// Views: words of older processes count.
    ProcessIgnored,
    /// Views: they are never compared.
    NoAntiEntropy,
    /// Views: rumours are passed on for ever.
    EndlessRumours,
    /// Views: an observer never doubts itself.
    NoOwnTrouble,
    /// Views: SWIM as it was first published.
    NoAdditions,
}

impl SabotageArgument {
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

/// A run that broke a rule, with no more faults than it takes.
#[derive(Serialize)]
struct FailedRun {
    seed: u64,
    breaches: Vec<Breach>,
    faults: Vec<Fault>,
}

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
    /// The one with the lowest seed.
    #[serde(rename = "first")]
    first_failure: Option<FailedRun>,
    /// Seconds from a steward's death until its slices were decided again; a multiple of the lease's span.
    #[serde(rename = "taken_up")]
    recoveries: u64,
    #[serde(rename = "taken_up_half")]
    recovery_p50: Option<f64>,
    #[serde(rename = "taken_up_99")]
    recovery_p99: Option<f64>,
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
        return Err(CommandError::Input("that sabotage is of views; this file judges leases".into()));
    }
    let sabotage = sabotage.flatten();
    if arguments.loopback {
        return crate::chaos_leases::run(&chaos, arguments, sabotage);
    }
    let runs = run_seeds(arguments.seed, arguments.runs, core_count(), |seed| {
        let events = play(&chaos, seed, &chaos.faults(seed), sabotage);
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
    if arguments.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{}", report_text(&report));
    }
    if report.failed_runs == 0 {
        Ok(())
    } else {
        Err(CommandError::CheckFailed)
    }
}

fn minimal_failure(chaos: &ChaosConfig, seed: u64, sabotage: Option<Sabotage>) -> FailedRun {
    let faults = chaos.faults(seed);
    let breaches = judge(&play(chaos, seed, &faults, sabotage));
    let rule = breaches.first().map_or("", |breach| breach.rule);
    let (faults, breaches) = shrink(chaos, seed, &faults, sabotage, rule);
    FailedRun { seed, breaches, faults }
}

fn report_text(report: &LeaseReport) -> String {
    let last = report.first_seed + report.runs - 1;
    let mut out = format!("{}, {}, seeds {} to {last}\n", report.name, report.mode, report.first_seed);
    if let (Some(p50), Some(p99)) = (report.recovery_p50, report.recovery_p99) {
        out += &format!(
            "{} slices of dead stewards decided again: half within {p50:.2} s, 99 % within {p99:.2} s (a lease is {} s)\n",
            report.recoveries, report.lease_duration
        );
    }
    out += &format!("{} of {} runs broke a rule\n", report.failed_runs, report.runs);
    if let Some(first) = &report.first_failure {
        out += &format!("seed {}:\n", first.seed);
        for breach in &first.breaches {
            out += &format!("  {:.3} s: {}: {}\n", breach.at, breach.rule, breach.description);
        }
        out += &format!("with no more than {} faults:\n", first.faults.len());
        for fault in &first.faults {
            out += &format!("  {:.2} s, for {:.2} s: {}\n", fault.at, fault.duration, fault.kind);
        }
    }
    out
}
