//! What one more run of a day would come to.
use railhub_invariants::{check, limits};
use railhub_scenario::report::service;
use railhub_scenario::Scenario;
use railhub_simulator::{run_with_proxy_seed, Policy, TimingModel};
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Runs whose lowest and highest hold one more run in 9 of 10 cases, whatever the distribution: of twenty alike
/// draws, the last is the lowest or the highest in 2 of 20.
pub const RUNS: u64 = 19;

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Prediction {
    pub runs: u64,
    /// Share of cases in which one more run lies within the interval, if it is like these.
    pub holds: f64,
    pub service: Within,
    pub worst_10_s: Within,
    pub runs_with_broken_rules: u64,
}

#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct Within {
    pub low: f64,
    pub mean: f64,
    pub high: f64,
}

fn within(values: &[f64]) -> Within {
    let fold = |start: f64, pick: fn(f64, f64) -> f64| values.iter().copied().fold(start, pick);
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    Within { low: fold(f64::INFINITY, f64::min), mean, high: fold(f64::NEG_INFINITY, f64::max) }
}

/// Plays the day with other luck each time, on all cores.
pub fn predict(
    day: &Scenario,
    policy: &Policy,
    physics: TimingModel,
    runs: u64,
) -> Result<Prediction, String> {
    let (next, results) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let luck = next.fetch_add(1, Ordering::Relaxed);
                if luck >= runs {
                    return;
                }
                let one = one(day, policy, physics, luck);
                results.lock().expect("no holder panics").push((luck, one));
            });
        }
    });
    let mut results = results.into_inner().expect("no holder panics");
    results.sort_by_key(|result| result.0);
    let all = results.into_iter().map(|result| result.1).collect::<Result<Vec<_>, _>>()?;
    let column = |place: fn(&(f64, f64, bool)) -> f64| within(&all.iter().map(place).collect::<Vec<_>>());
    Ok(Prediction {
        runs,
        holds: 1.0 - 2.0 / (runs + 1) as f64,
        service: column(|one| one.0),
        worst_10_s: column(|one| one.1),
        runs_with_broken_rules: all.iter().filter(|one| !one.2).count() as u64,
    })
}

/// Service, its worst 10 s, and whether the rules were kept.
fn one(day: &Scenario, policy: &Policy, physics: TimingModel, luck: u64) -> Result<(f64, f64, bool), String> {
    let events = run_with_proxy_seed(day, policy, physics, luck)?;
    let service = service(&events, limits(&events).ok_or("a run without limits")?);
    let kept = check(&events).map_err(|error| error.to_string())?.iter().all(|verdict| verdict.kept);
    Ok((service.overall, service.worst_10_s, kept))
}

#[cfg(test)]
mod tests;
