//! What an experiment came to.
use crate::figures::{Moment, RunFigures};
use crate::plan::Experiment;
use crate::stats::{estimate, verdict, Estimate, Verdict};
use crate::trial::Ran;
use railhub_timeseries::causes::{changes, Told};
use railhub_timeseries::tail::{Tail, TailFigures};
use serde::Serialize;

/// Shares of the runs that lie below and above a band.
const BAND: (f64, f64) = (0.1, 0.9);

/// Service second by second on one day, over all seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Band {
    pub mean: Vec<f64>,
    /// One run in ten is below, one in ten above.
    pub low: Vec<f64>,
    pub high: Vec<f64>,
    /// Moves by second, mean.
    pub moves: Vec<f64>,
    /// When the mean changed its level, and what came just before on the first seed.
    pub changes: Vec<Told>,
}

#[derive(Clone, Debug, Serialize)]
pub struct ArmOutcome {
    pub name: String,
    /// Its values in a sweep.
    pub swept: Vec<f64>,
    /// Why it could not be run, if so; the figures are of the runs before.
    pub failed: Option<String>,
    pub service: Estimate,
    pub worst_10_s: Estimate,
    pub messages: Estimate,
    pub moves: Estimate,
    pub runs_with_broken_rules: usize,
    pub first_breach: Option<(u64, Moment)>,
    /// Less the first arm's, seed by seed; none for the first itself.
    pub difference: Option<Estimate>,
    pub worst_10_s_difference: Option<Estimate>,
    pub difference_by_day: Vec<Estimate>,
    pub verdict: Option<Verdict>,
    pub worst_10_s_verdict: Option<Verdict>,
    pub tails: Vec<TailFigures>,
    /// By day.
    pub bands: Vec<Band>,
    /// Load of the most loaded host, the second, and so on, mean over runs.
    pub loads: Vec<f64>,
    pub runs: Vec<RunFigures>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub experiment: String,
    pub how: &'static str,
    pub days: Vec<String>,
    pub sweep: Vec<String>,
    pub blocks: usize,
    /// The differences were known well enough before the budget was spent.
    pub settled: bool,
    /// Days and seeds on which every arm broke a rule.
    pub survived_by_none: Vec<(String, u64)>,
    pub arms: Vec<ArmOutcome>,
}

pub fn summed_up(experiment: &Experiment, blocks: &[Vec<Ran>]) -> Outcome {
    let arms: Vec<ArmOutcome> =
        (0..experiment.arms.len()).map(|arm| arm_outcome(experiment, blocks, arm)).collect();
    let known = |arm: &ArmOutcome| {
        let close = arm.difference.is_none_or(|d| d.half_width() <= experiment.close_enough);
        close || arm.failed.is_some() || arm.runs_with_broken_rules > 0
    };
    let is_broken = |ran: &Ran| ran.as_ref().map_or(true, |run| !run.rules_broken.is_empty());
    let lost = blocks.iter().filter(|block| block.iter().all(is_broken));
    let lost = lost.filter_map(|block| block[0].as_ref().ok());
    Outcome {
        experiment: experiment.name.clone(),
        how: "simulated",
        days: experiment.days.clone(),
        sweep: experiment.sweep.clone(),
        blocks: blocks.len(),
        settled: arms.iter().all(known),
        survived_by_none: lost.map(|run| (experiment.days[run.day].clone(), run.seed)).collect(),
        arms,
    }
}

fn arm_outcome(experiment: &Experiment, blocks: &[Vec<Ran>], number: usize) -> ArmOutcome {
    let arm = &experiment.arms[number];
    let runs: Vec<RunFigures> = blocks.iter().filter_map(|block| block[number].clone().ok()).collect();
    let pairs: Vec<(&RunFigures, &RunFigures)> = blocks
        .iter()
        .filter_map(|block| Some((block[0].as_ref().ok()?, block[number].as_ref().ok()?)))
        .collect();
    let seed = experiment.first_seed;
    let column =
        |figure: fn(&RunFigures) -> f64| estimate(&runs.iter().map(figure).collect::<Vec<_>>(), seed);
    let less_first = |of: &dyn Fn(&RunFigures) -> bool, figure: fn(&RunFigures) -> f64| {
        let pairs = pairs.iter().filter(|pair| of(pair.0));
        estimate(&pairs.map(|(first, run)| figure(run) - figure(first)).collect::<Vec<_>>(), seed)
    };
    let compared = number > 0 && !pairs.is_empty();
    let difference = compared.then(|| less_first(&|_| true, |run| run.service));
    let worst = compared.then(|| less_first(&|_| true, |run| run.worst_10_s));
    let by_day = |day: usize| less_first(&|run| run.day == day, |run| run.service);
    let broken =
        |runs: &mut dyn Iterator<Item = &RunFigures>| runs.filter(|r| !r.rules_broken.is_empty()).count();
    let broken_here = broken(&mut runs.iter());
    let broken_first = broken(&mut pairs.iter().map(|pair| pair.0));
    let failed = blocks.iter().find_map(|block| block[number].as_ref().err().cloned());
    let judged = |difference: &Estimate| match (failed.is_some(), broken_here, broken_first) {
        (true, ..) => Verdict::CannotBeRun,
        (_, 1.., 0) => Verdict::BreaksRules,
        (_, 1.., 1..) => Verdict::BothBreakRules,
        (_, 0, 1..) => Verdict::FirstBreaksRules,
        _ => verdict(difference, experiment.worth_having),
    };
    let breaches = runs.iter().filter_map(|run| Some((run.seed, run.first_breach.clone()?)));
    ArmOutcome {
        name: arm.name.clone(),
        swept: arm.swept.clone(),
        service: column(|run| run.service),
        worst_10_s: column(|run| run.worst_10_s),
        messages: column(|run| run.messages as f64),
        moves: column(|run| run.moves as f64),
        runs_with_broken_rules: broken_here,
        first_breach: breaches.min_by_key(|breach| breach.0),
        verdict: match (number, &difference) {
            (0, _) => None,
            (_, Some(difference)) => Some(judged(difference)),
            (_, None) => Some(Verdict::CannotBeRun),
        },
        worst_10_s_verdict: worst.as_ref().map(judged),
        difference,
        worst_10_s_difference: worst,
        difference_by_day: match compared {
            true => (0..experiment.days.len()).map(by_day).collect(),
            false => Vec::new(),
        },
        tails: tails(&runs),
        bands: (0..experiment.days.len()).map(|day| band(&runs, day)).collect(),
        loads: mean_by_place(runs.iter().map(|run| run.loads.clone())),
        failed,
        runs,
    }
}

fn tails(runs: &[RunFigures]) -> Vec<TailFigures> {
    let mut all: Vec<Tail> = Vec::new();
    for run in runs {
        for (n, tail) in run.tails.iter().enumerate() {
            match all.get_mut(n) {
                Some(sum) => sum.add(tail),
                None => all.push(tail.clone()),
            }
        }
    }
    all.iter().map(Tail::figures).collect()
}

fn mean_by_place(lines: impl Iterator<Item = Vec<f64>>) -> Vec<f64> {
    let mut sums: Vec<(f64, usize)> = Vec::new();
    for line in lines {
        sums.resize(sums.len().max(line.len()), (0.0, 0));
        line.iter().zip(&mut sums).for_each(|(value, sum)| *sum = (sum.0 + value, sum.1 + 1));
    }
    sums.into_iter().map(|(sum, count)| sum / count as f64).collect()
}

fn band(runs: &[RunFigures], day: usize) -> Band {
    let runs: Vec<&RunFigures> = runs.iter().filter(|run| run.day == day).collect();
    let steps = runs.iter().map(|run| run.line.len()).min().unwrap_or(0);
    let mut band = Band::default();
    for step in 0..steps {
        let mut values: Vec<f64> = runs.iter().map(|run| run.line[step]).collect();
        values.sort_by(f64::total_cmp);
        let at = |share: f64| values[((values.len() - 1) as f64 * share).round() as usize];
        band.low.push(at(BAND.0));
        band.high.push(at(BAND.1));
        band.mean.push(values.iter().sum::<f64>() / values.len() as f64);
        let moves: u32 = runs.iter().map(|run| run.moves_line[step]).sum();
        band.moves.push(f64::from(moves) / runs.len() as f64);
    }
    let happened = runs.first().map(|run| run.happened.as_slice()).unwrap_or_default();
    band.changes = changes(&band.mean, happened);
    band
}
