//! `railhub chaos --loopback` for files that judge leases: the drawn faults on real processes, under load.
use crate::chaos::ChaosArguments;
use crate::launch::into_folder;
use crate::runs::{each, quantile};
use crate::Ending;
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

/// A run that broke a rule.
#[derive(Clone, Serialize)]
struct Failed {
    seed: u64,
    rules: Vec<Verdict>,
    faults: Vec<Fault>,
    folder: PathBuf,
    /// Whether the same faults break a rule in simulated time.
    simulated: bool,
}

#[derive(Serialize)]
struct Told {
    chaos: String,
    how: &'static str,
    first_seed: u64,
    runs: u64,
    failed: u64,
    seeds_failed: Vec<u64>,
    /// Runs that could not be played, and why.
    not_played: Vec<(u64, String)>,
    first: Option<Failed>,
    /// Seconds from a steward's death until a proxy got the next one's word on its slices.
    taken_up: usize,
    taken_up_half: Option<f64>,
    taken_up_99: Option<f64>,
    /// Mean share of the gain that was had, and the lowest.
    service: f64,
    service_least: f64,
    span: f64,
}

struct Ran {
    service: f64,
    taken_up: Vec<f64>,
    failed: Option<Failed>,
}

pub fn run(
    chaos: &ChaosConfig,
    arguments: &ChaosArguments,
    sabotage: Option<Sabotage>,
) -> Result<(), Ending> {
    if chaos.controllers < 2 {
        return Err(Ending::Input("--loopback needs two stewards at least".into()));
    }
    railhub_net::start_runtime();
    let at_once = arguments.at_once as usize;
    let all = each(arguments.seed, arguments.runs, at_once, |seed| one(chaos, seed, arguments, sabotage));
    let (mut runs, mut not_played) = (Vec::new(), Vec::new());
    for (seed, ran) in all {
        match ran {
            Ok(ran) => runs.push(ran),
            Err(why) => not_played.push((seed, why)),
        }
    }
    let told = sum_up(chaos, arguments, &runs, not_played);
    if arguments.json {
        println!("{}", serde_json::to_string(&told)?);
    } else {
        print!("{}", words(&told));
    }
    if told.failed == 0 && told.not_played.is_empty() {
        Ok(())
    } else {
        Err(Ending::Check)
    }
}

fn one(
    chaos: &ChaosConfig,
    seed: u64,
    arguments: &ChaosArguments,
    sabotage: Option<Sabotage>,
) -> Result<Ran, String> {
    let faults = chaos.faults(seed);
    let folder = arguments.keep.as_ref().map(|keep| keep.join(format!("seed-{seed}")));
    let folder = folder.unwrap_or_else(|| temporary_folder(seed));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let day = lease_scenario(chaos, seed, &faults, sabotage).map_err(|e| e.to_string())?.scenario;
    let broken = (sabotage == Some(Sabotage::NoFence)).then_some(BrokenProxy::AcceptsOldEpochs);
    let played = play(&day, Some(into_folder(&folder)), broken, None, &|_| {});
    let played = played.map_err(|e| e.to_string())?;
    let rules = check(&played.events).map_err(|error| error.to_string())?;
    let limits = limits(&played.events).ok_or("the record has no limits")?;
    let service = report::service(&played.events, limits).overall;
    let is_broken = rules.iter().any(|verdict| !verdict.kept);
    let keeps = arguments.keep.is_some() || is_broken;
    if keeps {
        let verdict =
            serde_json::json!({ "seed": seed, "faults": faults, "rules": rules, "service": service });
        std::fs::write(folder.join("verdict.json"), verdict.to_string()).map_err(|e| e.to_string())?;
        save(&folder.join("record"), &played.events).map_err(|e| e.to_string())?;
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let failed = is_broken.then(|| {
        let simulated = !judge_simulated(&simulate(chaos, seed, &faults, sabotage)).is_empty();
        let rules = rules.into_iter().filter(|verdict| !verdict.kept).collect();
        Failed { seed, rules, faults, folder, simulated }
    });
    Ok(Ran { service, taken_up: takeover_times(&played.events), failed })
}

fn sum_up(
    chaos: &ChaosConfig,
    arguments: &ChaosArguments,
    runs: &[Ran],
    not_played: Vec<(u64, String)>,
) -> Told {
    let mut taken_up: Vec<f64> = runs.iter().flat_map(|run| run.taken_up.clone()).collect();
    taken_up.sort_by(f64::total_cmp);
    let failed: Vec<&Failed> = runs.iter().filter_map(|run| run.failed.as_ref()).collect();
    let service = runs.iter().map(|run| run.service);
    Told {
        chaos: chaos.name.clone(),
        how: "loopback",
        first_seed: arguments.seed,
        runs: arguments.runs,
        failed: failed.len() as u64,
        seeds_failed: failed.iter().map(|failed| failed.seed).collect(),
        not_played,
        first: failed.first().map(|first| (*first).clone()),
        taken_up: taken_up.len(),
        taken_up_half: quantile(&taken_up, 0.5),
        taken_up_99: quantile(&taken_up, 0.99),
        service: service.clone().sum::<f64>() / runs.len().max(1) as f64,
        service_least: service.fold(1.0, f64::min),
        span: chaos.lease_duration,
    }
}

fn words(told: &Told) -> String {
    let last = told.first_seed + told.runs - 1;
    let mut out = format!("{}, {}, seeds {} to {last}\n", told.chaos, told.how, told.first_seed);
    if let (Some(half), Some(of_99)) = (told.taken_up_half, told.taken_up_99) {
        out += &format!(
            "slices of dead stewards decided again ({} times, at each proxy): half within {half:.2} s, 99 % within \
             {of_99:.2} s (a lease is {} s)\n",
            told.taken_up, told.span
        );
    }
    out += &format!("service {:.3}, the lowest {:.3}\n", told.service, told.service_least);
    for (seed, why) in &told.not_played {
        out += &format!("seed {seed} was not played: {why}\n");
    }
    out += &format!("{} of {} runs broke a rule {:?}\n", told.failed, told.runs, told.seeds_failed);
    let Some(first) = &told.first else { return out };
    out += &format!("seed {}:\n", first.seed);
    for verdict in &first.rules {
        out += &format!("  rule {} {}: {} times\n", verdict.rule, verdict.name, verdict.violation_count);
        for violation in &verdict.violations {
            out += &format!("    {:.3} s: {}\n", violation.at, violation.description);
        }
    }
    for fault in &first.faults {
        out += &format!("  {:.2} s, for {:.2} s: {}\n", fault.at, fault.duration, fault.kind);
    }
    out += if first.simulated {
        "in simulated time they break a rule too\n"
    } else {
        "in simulated time they break none\n"
    };
    out += &format!("logs, record and verdict: {}\n", first.folder.display());
    out
}
