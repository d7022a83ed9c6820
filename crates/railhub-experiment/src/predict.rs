//! Predicts the service of one more run of a scenario.
use railhub_invariants::{check, limits};
use railhub_scenario::report::service;
use railhub_scenario::Scenario;
use railhub_simulator::{run_with_proxy_seed, Policy, TimingModel};
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Runs whose lowest and highest value enclose one more run in 9 of 10 cases, whatever the distribution: of twenty
/// identically distributed draws, the last is the lowest or the highest in 2 of 20.
pub const RUNS: u64 = 19;

/// Intervals that one more run lies in.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Prediction {
    pub runs: u64,
    /// Fraction of cases in which one more run, if it is like these, lies within the interval.
    pub holds: f64,
    pub service: Interval,
    pub worst_10_s: Interval,
    pub runs_with_broken_rules: u64,
}

/// Lowest, mean and highest value of the runs.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct Interval {
    pub low: f64,
    pub mean: f64,
    pub high: f64,
}

fn interval(values: &[f64]) -> Interval {
    let extreme = |start: f64, pick: fn(f64, f64) -> f64| values.iter().copied().fold(start, pick);
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    Interval { low: extreme(f64::INFINITY, f64::min), mean, high: extreme(f64::NEG_INFINITY, f64::max) }
}

/// Runs the scenario with another proxy seed each time, on all cores.
pub fn predict(
    scenario: &Scenario,
    policy: &Policy,
    timing_model: TimingModel,
    runs: u64,
) -> Result<Prediction, String> {
    let (next, results) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let proxy_seed = next.fetch_add(1, Ordering::Relaxed);
                if proxy_seed >= runs {
                    return;
                }
                let outcome = simulate(scenario, policy, timing_model, proxy_seed);
                results.lock().expect("no holder panics").push((proxy_seed, outcome));
            });
        }
    });
    let mut results = results.into_inner().expect("no holder panics");
    results.sort_by_key(|result| result.0);
    let outcomes = results.into_iter().map(|result| result.1).collect::<Result<Vec<_>, _>>()?;
    let interval_of =
        |figure: fn(&(f64, f64, bool)) -> f64| interval(&outcomes.iter().map(figure).collect::<Vec<_>>());
    Ok(Prediction {
        runs,
        holds: 1.0 - 2.0 / (runs + 1) as f64,
        service: interval_of(|outcome| outcome.0),
        worst_10_s: interval_of(|outcome| outcome.1),
        runs_with_broken_rules: outcomes.iter().filter(|outcome| !outcome.2).count() as u64,
    })
}

/// Service, its worst 10 s, and whether all invariants were kept.
fn simulate(
    scenario: &Scenario,
    policy: &Policy,
    timing_model: TimingModel,
    proxy_seed: u64,
) -> Result<(f64, f64, bool), String> {
    let events = run_with_proxy_seed(scenario, policy, timing_model, proxy_seed)?;
    let service = service(&events, limits(&events).ok_or("a run without limits")?);
    let kept = check(&events).map_err(|error| error.to_string())?.iter().all(|verdict| verdict.kept);
    Ok((service.overall, service.worst_10_s, kept))
}

#[cfg(test)]
mod tests;
