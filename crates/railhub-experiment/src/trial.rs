//! Runs blocks of an experiment on all cores and stops once the differences are known precisely enough.
use crate::figures::{figures, RunFigures};
use crate::outcome::{summarize, Outcome};
use crate::plan::Experiment;
use railhub_scenario::Scenario;
use railhub_simulator::{run_with_proxy_seed, TimingModel};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The figures of one arm's run, or why it failed.
pub type RunResult = Result<RunFigures, String>;

/// Progress of an experiment, reported after each run and each stage.
pub enum Progress<'a> {
    Runs { done: usize },
    Stage(&'a Outcome),
}

/// The scenario's index and the seed of a block; blocks alternate between the scenarios.
fn scenario_of_block(experiment: &Experiment, block: usize) -> (usize, u64) {
    let scenario_count = experiment.scenario_names.len();
    (block % scenario_count, experiment.first_seed + (block / scenario_count) as u64)
}

/// Simulates one arm in one block.
fn run_arm(experiment: &Experiment, arm: usize, block: usize, timing_model: TimingModel) -> RunResult {
    let (scenario_index, seed) = scenario_of_block(experiment, block);
    let arm = &experiment.arms[arm];
    let scenario = Scenario { seed, ..arm.scenarios[scenario_index].clone() };
    let events = run_with_proxy_seed(&scenario, &arm.policy, timing_model, arm.proxy_seed)?;
    figures(&events, scenario_index, seed)
}

/// Runs an experiment until every difference is known precisely enough or the most blocks have run. An arm that
/// cannot run, such as a version whose program dies, is left out of later stages; the first arm must run.
pub fn compare(
    experiment: &Experiment,
    timing_model: TimingModel,
    progress: &(dyn Fn(Progress) + Sync),
) -> Result<Outcome, String> {
    let mut blocks: Vec<Vec<RunResult>> = Vec::new();
    let scenario_count = experiment.scenario_names.len();
    loop {
        let count = if blocks.is_empty() { experiment.min_blocks } else { blocks.len().max(4) / 2 };
        // A multiple of the number of scenarios, so that a stage has the same number of blocks of each.
        let count = count.div_ceil(scenario_count) * scenario_count;
        let count = count.min(experiment.max_blocks.saturating_sub(blocks.len()));
        if count > 0 {
            blocks.extend(run_blocks(experiment, timing_model, &blocks, count, progress));
        }
        if let Some(Err(error)) = blocks.iter().map(|block| &block[0]).find(|result| result.is_err()) {
            return Err(format!("the first arm, {}: {error}", experiment.arms[0].name));
        }
        let outcome = summarize(experiment, &blocks);
        progress(Progress::Stage(&outcome));
        if outcome.settled || blocks.len() >= experiment.max_blocks {
            return Ok(outcome);
        }
    }
}

/// Runs `count` blocks of all arms; an arm that failed in an earlier block keeps its error and does not run.
fn run_blocks(
    experiment: &Experiment,
    timing_model: TimingModel,
    earlier_blocks: &[Vec<RunResult>],
    count: usize,
    progress: &(dyn Fn(Progress) + Sync),
) -> Vec<Vec<RunResult>> {
    let (arm_count, first_block) = (experiment.arms.len(), earlier_blocks.len());
    let failure_of = |arm: usize| {
        earlier_blocks.iter().map(|block| &block[arm]).find_map(|result| result.as_ref().err().cloned())
    };
    let failures: Vec<Option<String>> = (0..arm_count).map(failure_of).collect();
    let (next, finished_runs) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let results: Mutex<Vec<Option<RunResult>>> = Mutex::new(vec![None; arm_count * count]);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()).min(arm_count * count);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let run = next.fetch_add(1, Ordering::Relaxed);
                if run >= arm_count * count {
                    return;
                }
                let (block, arm) = (run / arm_count, run % arm_count);
                let result = match &failures[arm] {
                    Some(error) => Err(error.clone()),
                    None => run_arm(experiment, arm, first_block + block, timing_model),
                };
                results.lock().expect("no holder panics")[run] = Some(result);
                let done = arm_count * first_block + finished_runs.fetch_add(1, Ordering::Relaxed) + 1;
                progress(Progress::Runs { done });
            });
        }
    });
    let results = results.into_inner().expect("no holder panics");
    let results: Vec<RunResult> =
        results.into_iter().map(|result| result.expect("every run has a result")).collect();
    results.chunks(arm_count).map(<[RunResult]>::to_vec).collect()
}
