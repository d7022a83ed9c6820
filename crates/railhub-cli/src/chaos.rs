//! `railhub chaos`: stewards that share a fleet, with faults drawn from seeds.
use crate::runs::{cores, each, quantile};
use crate::Ending;
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
    pub sabotage: Option<Broken>,
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
pub enum Broken {
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

impl Broken {
    fn how(self) -> Option<Sabotage> {
        Some(match self {
            Broken::NoFence => Sabotage::NoFence,
            Broken::EpochReused => Sabotage::EpochReused,
            Broken::LeaseOverrun => Sabotage::LeaseOverrun,
            Broken::NoMemory => Sabotage::NoMemory,
            Broken::UncheckedWrites => Sabotage::UncheckedWrites,
            _ => return None,
        })
    }

    pub fn without(self) -> Option<Safeguard> {
        Some(match self {
            Broken::NoRefutation => Safeguard::Refutation,
            Broken::DeadNotAsked => Safeguard::DeadProbing,
            Broken::ProcessIgnored => Safeguard::ProcessOrder,
            Broken::NoAntiEntropy => Safeguard::AntiEntropy,
            Broken::EndlessRumours => Safeguard::GossipLimit,
            Broken::NoOwnTrouble => Safeguard::LocalHealth,
            Broken::NoAdditions => Safeguard::Extensions,
            _ => return None,
        })
    }
}

/// A run that broke a rule, with no more faults than it takes.
#[derive(Serialize)]
struct Failed {
    seed: u64,
    breaches: Vec<Breach>,
    faults: Vec<Fault>,
}

#[derive(Serialize)]
struct Told {
    chaos: String,
    how: &'static str,
    first_seed: u64,
    runs: u64,
    failed: u64,
    /// The one with the lowest seed.
    first: Option<Failed>,
    /// Seconds from a steward's death until its slices were decided again; a multiple of the lease's span.
    taken_up: u64,
    taken_up_half: Option<f64>,
    taken_up_99: Option<f64>,
    span: f64,
}

pub fn run(arguments: &ChaosArguments) -> Result<(), Ending> {
    let chaos = ChaosConfig::open(&arguments.file)?;
    if chaos.judged == JudgedProperty::View {
        return crate::chaos_view::run(&chaos, arguments);
    }
    let sabotage = arguments.sabotage.map(Broken::how);
    if sabotage == Some(None) {
        return Err(Ending::Input("that sabotage is of views; this file judges leases".into()));
    }
    let sabotage = sabotage.flatten();
    if arguments.loopback {
        return crate::chaos_leases::run(&chaos, arguments, sabotage);
    }
    let runs = each(arguments.seed, arguments.runs, cores(), |seed| {
        let events = play(&chaos, seed, &chaos.faults(seed), sabotage);
        (recovery_figures(&events).recovery_times, !judge(&events).is_empty())
    });
    let failed: Vec<u64> = runs.iter().filter(|(_, ran)| ran.1).map(|(seed, _)| *seed).collect();
    let mut taken_up: Vec<f64> = runs.into_iter().flat_map(|(_, ran)| ran.0).collect();
    taken_up.sort_by(f64::total_cmp);
    let at = |share: f64| quantile(&taken_up, share);
    let told = Told {
        chaos: chaos.name.clone(),
        how: "simulated",
        first_seed: arguments.seed,
        runs: arguments.runs,
        failed: failed.len() as u64,
        first: failed.first().map(|seed| small(&chaos, *seed, sabotage)),
        taken_up: taken_up.len() as u64,
        taken_up_half: at(0.5),
        taken_up_99: at(0.99),
        span: chaos.lease_duration,
    };
    if arguments.json {
        println!("{}", serde_json::to_string(&told)?);
    } else {
        print!("{}", words(&told));
    }
    if told.failed == 0 {
        Ok(())
    } else {
        Err(Ending::Check)
    }
}

fn small(chaos: &ChaosConfig, seed: u64, sabotage: Option<Sabotage>) -> Failed {
    let faults = chaos.faults(seed);
    let breaches = judge(&play(chaos, seed, &faults, sabotage));
    let rule = breaches.first().map_or("", |breach| breach.rule);
    let (faults, breaches) = shrink(chaos, seed, &faults, sabotage, rule);
    Failed { seed, breaches, faults }
}

fn words(told: &Told) -> String {
    let last = told.first_seed + told.runs - 1;
    let mut out = format!("{}, {}, seeds {} to {last}\n", told.chaos, told.how, told.first_seed);
    if let (Some(half), Some(of_99)) = (told.taken_up_half, told.taken_up_99) {
        out += &format!(
            "{} slices of dead stewards decided again: half within {half:.2} s, 99 % within {of_99:.2} s (a lease is {} s)\n",
            told.taken_up, told.span
        );
    }
    out += &format!("{} of {} runs broke a rule\n", told.failed, told.runs);
    if let Some(first) = &told.first {
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
