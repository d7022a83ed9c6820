//! `railhub chaos` for files that judge the view: in simulated time, or on real processes.
use crate::chaos::ChaosArguments;
use crate::runs::{cores, each, quantile};
use crate::Ending;
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

/// A run that broke a rule.
#[derive(Clone, Serialize)]
struct Failed {
    seed: u64,
    breaches: Vec<Breach>,
    faults: Vec<Fault>,
    /// Where its logs are, if it was played on real processes.
    #[serde(skip_serializing_if = "Option::is_none")]
    folder: Option<PathBuf>,
    /// The same faults in simulated time: whether that breaks the same rule, and with how few of them.
    #[serde(skip_serializing_if = "Option::is_none")]
    simulated: Option<Vec<Fault>>,
}

#[derive(Serialize)]
struct Told {
    chaos: String,
    how: &'static str,
    first_seed: u64,
    runs: u64,
    failed: u64,
    seeds_failed: Vec<u64>,
    first: Option<Failed>,
    /// Seconds from the last fault to all views true: half of the runs, 99 of 100.
    settled_half: Option<f64>,
    settled_99: Option<f64>,
    /// Seconds from a death that was followed by no new start to each that shows it.
    deaths_shown: usize,
    known_half: Option<f64>,
    known_99: Option<f64>,
    /// Words of death about the living, whatever went on, an hour of a run.
    slanders_an_hour: f64,
    /// A steward and second.
    datagrams: f64,
    bytes: f64,
    /// Share of a core a steward, on real processes.
    processor: Option<f64>,
}

pub fn run(chaos: &ChaosConfig, arguments: &ChaosArguments) -> Result<(), Ending> {
    let without = arguments.sabotage.map(|broken| broken.without());
    if without == Some(None) {
        return Err(Ending::Input("that sabotage is of leases; this file judges views".into()));
    }
    let heartbeats = arguments.baseline;
    if heartbeats && arguments.loopback {
        return Err(Ending::Input("--baseline is played in simulated time".into()));
    }
    let how = RunOptions { without: without.flatten(), forget_after: 0.0, uses_heartbeats: heartbeats };
    let at_once = if arguments.loopback { arguments.at_once as usize } else { cores() };
    let show = arguments.runs == 1 && !chaos.listed_faults.is_empty() && !arguments.json;
    let all = each(arguments.seed, arguments.runs, at_once, |seed| one(chaos, seed, how, arguments, show));
    let mut runs = Vec::new();
    for (seed, run) in all {
        runs.push(run.map_err(|what| Ending::Input(format!("seed {seed}: {what}")))?);
    }
    let told = sum_up(chaos, arguments, &runs);
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

struct Ran {
    length: f64,
    figures: ViewFigures,
    failed: Option<Failed>,
}

fn one(
    chaos: &ChaosConfig,
    seed: u64,
    how: RunOptions,
    arguments: &ChaosArguments,
    show: bool,
) -> Result<Ran, String> {
    let faults = chaos.faults(seed);
    let (events, folder) = match arguments.loopback {
        false => (simulate(chaos, seed, &faults, how), None),
        true => {
            let folder = arguments.keep.as_ref().map(|keep| keep.join(format!("seed-{seed}")));
            let folder = folder.unwrap_or_else(|| temporary_folder(seed));
            (on_loopback(chaos, seed, &faults, how, &folder)?, Some(folder))
        }
    };
    if show {
        print!("{}", story(&events));
    }
    let breaches = judge(&events);
    let length = events.iter().map(ViewObservation::at).fold(0.0, f64::max);
    let figures = view_figures(&events);
    if let Some(folder) = folder.as_ref().filter(|_| arguments.keep.is_some()) {
        let verdict = serde_json::json!({ "seed": seed, "breaches": breaches, "figures": figures });
        std::fs::write(folder.join("verdict.json"), verdict.to_string()).map_err(|e| e.to_string())?;
    }
    let failed = (!breaches.is_empty()).then(|| {
        let rule = breaches[0].rule;
        // What was played on real processes is played again at the times at which it came.
        let played = if arguments.loopback { observed_faults(&events, &faults) } else { faults.clone() };
        let simulated = shrink(chaos, seed, &played, how, rule);
        Failed { seed, breaches, faults, folder: folder.clone(), simulated }
    });
    if let Some(folder) = folder.filter(|_| arguments.keep.is_none() && failed.is_none()) {
        let _ = std::fs::remove_dir_all(folder);
    }
    Ok(Ran { length, figures, failed })
}

fn on_loopback(
    chaos: &ChaosConfig,
    seed: u64,
    faults: &[Fault],
    how: RunOptions,
    folder: &std::path::Path,
) -> Result<Vec<ViewObservation>, String> {
    let binary = std::env::current_exe().map_err(|e| format!("this program cannot be found: {e}"))?;
    let plan = HarnessPlan {
        config: chaos,
        seed,
        faults,
        options: how,
        binary: &binary,
        folder,
        seed_controllers: (0..SEED_MEMBERS).collect(),
    };
    play(&plan).map_err(|error| error.to_string())
}

/// The fewest of the faults that break the same rule in simulated time; `None`: they do not break it there.
fn shrink(
    chaos: &ChaosConfig,
    seed: u64,
    faults: &[Fault],
    how: RunOptions,
    rule: &str,
) -> Option<Vec<Fault>> {
    let breaks = |faults: &[Fault]| {
        let breaches = judge(&simulate(chaos, seed, faults, how));
        breaches.iter().any(|breach| breach.rule == rule).then_some(())
    };
    minimal_faults(faults, breaks).map(|(faults, ())| faults)
}

fn sum_up(chaos: &ChaosConfig, arguments: &ChaosArguments, runs: &[Ran]) -> Told {
    let mut settled: Vec<f64> = runs.iter().filter_map(|run| run.figures.settling_time).collect();
    let mut known: Vec<f64> = runs.iter().flat_map(|run| run.figures.detection_times.clone()).collect();
    settled.sort_by(f64::total_cmp);
    known.sort_by(f64::total_cmp);
    let count = runs.len().max(1) as f64;
    let hours = runs.iter().map(|run| run.length).sum::<f64>() / 3600.0;
    let slanders: u64 = runs.iter().map(|run| run.figures.false_deaths).sum();
    let failed: Vec<&Failed> = runs.iter().filter_map(|run| run.failed.as_ref()).collect();
    Told {
        chaos: chaos.name.clone(),
        how: if arguments.loopback { "loopback" } else { "simulated" },
        first_seed: arguments.seed,
        runs: arguments.runs,
        failed: failed.len() as u64,
        seeds_failed: failed.iter().map(|failed| failed.seed).collect(),
        first: failed.first().map(|first| (*first).clone()),
        settled_half: quantile(&settled, 0.5),
        settled_99: quantile(&settled, 0.99),
        deaths_shown: known.len(),
        known_half: quantile(&known, 0.5),
        known_99: quantile(&known, 0.99),
        slanders_an_hour: slanders as f64 / hours.max(1e-9),
        datagrams: runs.iter().map(|run| run.figures.datagrams).sum::<f64>() / count,
        bytes: runs.iter().map(|run| run.figures.bytes).sum::<f64>() / count,
        processor: arguments
            .loopback
            .then(|| runs.iter().filter_map(|run| run.figures.processor_fraction).sum::<f64>() / count),
    }
}

fn words(told: &Told) -> String {
    let last = told.first_seed + told.runs - 1;
    let mut out = format!("{}, {}, seeds {} to {last}\n", told.chaos, told.how, told.first_seed);
    if let (Some(half), Some(of_99)) = (told.settled_half, told.settled_99) {
        out += &format!(
            "all views true after the last fault: half within {half:.2} s, 99 % within {of_99:.2} s\n"
        );
    }
    if let (Some(half), Some(of_99)) = (told.known_half, told.known_99) {
        let count = told.deaths_shown;
        out +=
            &format!("a death is shown ({count} times): half within {half:.2} s, 99 % within {of_99:.2} s\n");
    }
    out += &format!(
        "{:.1} words of death about the living an hour; {:.1} datagrams and {:.0} bytes a steward and second\n",
        told.slanders_an_hour, told.datagrams, told.bytes
    );
    if let Some(processor) = told.processor {
        out += &format!("{:.2} % of a core a steward\n", processor * 100.0);
    }
    out += &format!("{} of {} runs broke a rule\n", told.failed, told.runs);
    let Some(first) = &told.first else { return out };
    out += &format!("seed {}:\n", first.seed);
    for breach in &first.breaches {
        out += &format!("  {:.3} s: {}: {}\n", breach.at, breach.rule, breach.description);
    }
    let faults = first.simulated.as_ref().unwrap_or(&first.faults);
    out += match (&first.folder, &first.simulated) {
        (Some(_), Some(_)) => "in simulated time it breaks the same rule with no more than:\n",
        (Some(_), None) => "in simulated time the same faults break no such rule:\n",
        _ => "with no more than:\n",
    };
    for fault in faults {
        out += &format!("  {:.2} s, for {:.2} s: {}\n", fault.at, fault.duration, fault.kind);
    }
    if let Some(folder) = &first.folder {
        out += &format!("logs and records: {}\n", folder.display());
    }
    out
}

/// What happened and what each steward's view became, line by line.
fn story(events: &[ViewObservation]) -> String {
    let mut out = String::new();
    let mut shown = std::collections::BTreeMap::new();
    for event in events {
        let at = event.at();
        match event {
            ViewObservation::Started { node, controller, .. } => {
                out += &format!("{at:>7.2} s  steward {controller} starts, process {}\n", node.0);
            }
            ViewObservation::Ended { node, controller, .. } => {
                out += &format!("{at:>7.2} s  steward {controller} ends, process {}\n", node.0);
            }
            ViewObservation::Fault { begins, fault, .. } => {
                out += &format!("{at:>7.2} s  {} {fault}\n", if *begins { "begins:" } else { "is over:" });
            }
            ViewObservation::View { node, controller, alive, superseded, .. } => {
                let ids: Vec<u16> = alive.iter().map(|(id, _)| *id).collect();
                let view = (ids, *superseded);
                if shown.get(node) != Some(&view) {
                    let part = if *superseded { ", and takes no part" } else { "" };
                    out +=
                        &format!("{at:>7.2} s      steward {controller} holds {:?} to live{part}\n", view.0);
                    shown.insert(*node, view);
                }
            }
            _ => {}
        }
    }
    out
}
