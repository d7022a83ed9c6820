//! Plays blocks of an experiment on all cores and stops once enough is known.
use crate::plan::Experiment;
use crate::stats::{estimate, verdict, Estimate, Verdict};
use railhub_day::report::service;
use railhub_day::Day;
use railhub_fleet::{run, Physics};
use railhub_rules::{judge, limits};
use serde::Serialize;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// What one arm's run on one seed came to.
#[derive(Clone, Debug, Serialize)]
pub struct RunFigures {
    pub seed: u64,
    pub service: f64,
    pub worst_10_s: f64,
    pub rules_broken: Vec<u8>,
    pub messages: u64,
    pub operations: u64,
}

#[derive(Clone, Debug, Serialize)]
pub struct ArmOutcome {
    pub name: String,
    pub service: Estimate,
    pub worst_10_s: Estimate,
    pub messages: Estimate,
    pub runs_with_broken_rules: usize,
    /// Less the first arm's, seed by seed; none for the first itself.
    pub difference: Option<Estimate>,
    pub worst_10_s_difference: Option<Estimate>,
    pub verdict: Option<Verdict>,
    pub runs: Vec<RunFigures>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub experiment: String,
    pub how: &'static str,
    pub blocks: usize,
    /// The differences were known well enough before the budget was spent.
    pub settled: bool,
    pub arms: Vec<ArmOutcome>,
}

fn run_one(day: &Day, experiment: &Experiment, arm: usize, seed: u64) -> Result<RunFigures, String> {
    let day = Day { seed, ..day.clone() };
    let events = run(&day, &experiment.arms[arm].policy, Physics::default())?;
    let limits = limits(&events).ok_or("a run without limits")?;
    let service = service(&events, limits);
    let broken = judge(&events)?.into_iter().filter(|verdict| !verdict.kept).map(|verdict| verdict.rule);
    let is_delta =
        |event: &&railhub_record::Event| matches!(event.what, Some(railhub_record::What::Delta(_)));
    Ok(RunFigures {
        seed,
        service: service.whole,
        worst_10_s: service.worst_10_s,
        rules_broken: broken.collect(),
        messages: events.iter().filter(is_delta).count() as u64,
        operations: service.operations,
    })
}

/// `progress` is told how many blocks are done.
pub fn compare(experiment: &Experiment, progress: &(dyn Fn(usize) + Sync)) -> Result<Outcome, String> {
    let mut blocks: Vec<Vec<RunFigures>> = Vec::new();
    loop {
        let more = if blocks.is_empty() { experiment.blocks_least } else { blocks.len().max(4) / 2 };
        let more = more.min(experiment.blocks_most.saturating_sub(blocks.len()));
        if more > 0 {
            blocks.extend(play_blocks(experiment, blocks.len(), more, progress)?);
        }
        let outcome = summed_up(experiment, &blocks);
        let spent = blocks.len() >= experiment.blocks_most;
        if outcome.settled || spent {
            return Ok(outcome);
        }
    }
}

fn play_blocks(
    experiment: &Experiment,
    from: usize,
    count: usize,
    progress: &(dyn Fn(usize) + Sync),
) -> Result<Vec<Vec<RunFigures>>, String> {
    let arms = experiment.arms.len();
    let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let results: Mutex<Vec<Option<Result<RunFigures, String>>>> = Mutex::new(vec![None; arms * count]);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()).min(arms * count);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= arms * count {
                    return;
                }
                let (block, arm) = (number / arms, number % arms);
                let seed = experiment.first_seed + (from + block) as u64;
                let figures = run_one(&experiment.arms[arm].day, experiment, arm, seed);
                results.lock().expect("no holder panics")[number] = Some(figures);
                progress(from + (done.fetch_add(1, Ordering::Relaxed) + 1) / arms);
            });
        }
    });
    let results = results.into_inner().map_err(|_| "a run ended early")?;
    let figures: Vec<RunFigures> =
        results.into_iter().map(|run| run.ok_or("a run is missing")?).collect::<Result<_, String>>()?;
    Ok(figures.chunks(arms).map(<[RunFigures]>::to_vec).collect())
}

fn summed_up(experiment: &Experiment, blocks: &[Vec<RunFigures>]) -> Outcome {
    let seed = experiment.first_seed;
    let column = |arm: usize, figure: fn(&RunFigures) -> f64| -> Vec<f64> {
        blocks.iter().map(|block| figure(&block[arm])).collect()
    };
    let less_first = |arm: usize, figure: fn(&RunFigures) -> f64| {
        let pairs = blocks.iter().map(|block| figure(&block[arm]) - figure(&block[0]));
        estimate(&pairs.collect::<Vec<_>>(), seed)
    };
    let arms: Vec<ArmOutcome> = (experiment.arms.iter().enumerate())
        .map(|(n, arm)| {
            let difference = (n > 0).then(|| less_first(n, |run| run.service));
            ArmOutcome {
                name: arm.name.clone(),
                service: estimate(&column(n, |run| run.service), seed),
                worst_10_s: estimate(&column(n, |run| run.worst_10_s), seed),
                messages: estimate(&column(n, |run| run.messages as f64), seed),
                runs_with_broken_rules: blocks
                    .iter()
                    .filter(|block| !block[n].rules_broken.is_empty())
                    .count(),
                worst_10_s_difference: (n > 0).then(|| less_first(n, |run| run.worst_10_s)),
                verdict: difference.as_ref().map(|difference| verdict(difference, experiment.worth_having)),
                difference,
                runs: blocks.iter().map(|block| block[n].clone()).collect(),
            }
        })
        .collect();
    let close = |arm: &ArmOutcome| arm.difference.is_none_or(|d| d.half_width() <= experiment.close_enough);
    let settled = arms.iter().all(close);
    Outcome { experiment: experiment.name.clone(), how: "simulated", blocks: blocks.len(), settled, arms }
}
