//! Plays blocks of an experiment on all cores and stops once enough is known.
use crate::figures::{figures, RunFigures};
use crate::outcome::{summed_up, Outcome};
use crate::plan::Experiment;
use railhub_scenario::Scenario;
use railhub_simulator::{run_with_proxy_seed, TimingModel};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// One arm's run, or why there is none.
pub type Ran = Result<RunFigures, String>;

/// Where an experiment stands, told after each run and after each stage.
pub enum Progress<'a> {
    Runs { done: usize },
    Stage(&'a Outcome),
}

/// The day and the seed of a block: days take turns.
fn block_of(experiment: &Experiment, block: usize) -> (usize, u64) {
    let days = experiment.days.len();
    (block % days, experiment.first_seed + (block / days) as u64)
}

fn run_one(experiment: &Experiment, arm: usize, block: usize, physics: TimingModel) -> Ran {
    let (place, seed) = block_of(experiment, block);
    let arm = &experiment.arms[arm];
    let day = Scenario { seed, ..arm.days[place].clone() };
    let events = run_with_proxy_seed(&day, &arm.policy, physics, arm.luck)?;
    figures(&events, place, seed)
}

/// Stops when every difference is known closely enough, or when the budget is spent. An arm that cannot be run,
/// as a version that dies, is out of the rest; the first arm must run.
pub fn compare(
    experiment: &Experiment,
    physics: TimingModel,
    progress: &(dyn Fn(Progress) + Sync),
) -> Result<Outcome, String> {
    let mut blocks: Vec<Vec<Ran>> = Vec::new();
    let days = experiment.days.len();
    loop {
        let more = if blocks.is_empty() { experiment.min_blocks } else { blocks.len().max(4) / 2 };
        // Whole rounds of the days: a stage must not hold more of one day than of another.
        let more = more.div_ceil(days) * days;
        let more = more.min(experiment.max_blocks.saturating_sub(blocks.len()));
        if more > 0 {
            blocks.extend(play_blocks(experiment, physics, &blocks, more, progress));
        }
        if let Some(Err(fault)) = blocks.iter().map(|block| &block[0]).find(|ran| ran.is_err()) {
            return Err(format!("the first arm, {}: {fault}", experiment.arms[0].name));
        }
        let outcome = summed_up(experiment, &blocks);
        progress(Progress::Stage(&outcome));
        if outcome.settled || blocks.len() >= experiment.max_blocks {
            return Ok(outcome);
        }
    }
}

fn play_blocks(
    experiment: &Experiment,
    physics: TimingModel,
    before: &[Vec<Ran>],
    count: usize,
    progress: &(dyn Fn(Progress) + Sync),
) -> Vec<Vec<Ran>> {
    let (arms, from) = (experiment.arms.len(), before.len());
    let is_out =
        |arm: usize| before.iter().map(|block| &block[arm]).find_map(|ran| ran.as_ref().err().cloned());
    let out: Vec<Option<String>> = (0..arms).map(is_out).collect();
    let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let results: Mutex<Vec<Option<Ran>>> = Mutex::new(vec![None; arms * count]);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()).min(arms * count);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= arms * count {
                    return;
                }
                let (block, arm) = (number / arms, number % arms);
                let ran = match &out[arm] {
                    Some(fault) => Err(fault.clone()),
                    None => run_one(experiment, arm, from + block, physics),
                };
                results.lock().expect("no holder panics")[number] = Some(ran);
                let done = arms * from + done.fetch_add(1, Ordering::Relaxed) + 1;
                progress(Progress::Runs { done });
            });
        }
    });
    let results = results.into_inner().expect("no holder panics");
    let ran: Vec<Ran> = results.into_iter().map(|ran| ran.expect("every run was played")).collect();
    ran.chunks(arms).map(<[Ran]>::to_vec).collect()
}
