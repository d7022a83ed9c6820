//! The outcome of an experiment: figures of each arm and their differences to the first.
use crate::figures::{FirstViolation, RunFigures};
use crate::plan::Experiment;
use crate::stats::{estimate, verdict, Estimate, Verdict};
use crate::trial::RunResult;
use railhub_timeseries::latency::{LatencyHistogram, LatencyPercentiles};
use railhub_timeseries::service_changes::{detect_changes, ServiceChange};
use serde::Serialize;

/// Quantiles of the runs at the lower and upper edge of a band.
const BAND_QUANTILES: (f64, f64) = (0.1, 0.9);

/// Service of each second in one scenario, over all seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Band {
    pub mean: Vec<f64>,
    /// One run in ten is below `low`, one in ten above `high`.
    pub low: Vec<f64>,
    pub high: Vec<f64>,
    /// Mean number of moves in each second.
    pub moves: Vec<f64>,
    /// When the mean changed its level, and which events came just before on the first seed.
    pub changes: Vec<ServiceChange>,
}

/// Figures of one arm.
#[derive(Clone, Debug, Serialize)]
pub struct ArmOutcome {
    pub name: String,
    /// Values of the swept keys.
    pub swept: Vec<f64>,
    /// Why the arm could not be run, if so; the figures are those of the runs before.
    pub failed: Option<String>,
    pub service: Estimate,
    pub worst_10_s: Estimate,
    pub messages: Estimate,
    pub moves: Estimate,
    pub runs_with_broken_rules: usize,
    /// Seed and violation of the first run that broke a rule.
    #[serde(rename = "first_breach")]
    pub first_violation: Option<(u64, FirstViolation)>,
    /// Difference of service to the first arm, paired by seed; `None` for the first arm itself.
    pub difference: Option<Estimate>,
    pub worst_10_s_difference: Option<Estimate>,
    #[serde(rename = "difference_by_day")]
    pub difference_by_scenario: Vec<Estimate>,
    pub verdict: Option<Verdict>,
    pub worst_10_s_verdict: Option<Verdict>,
    /// By operation class.
    #[serde(rename = "tails")]
    pub latency_percentiles: Vec<LatencyPercentiles>,
    /// By scenario.
    pub bands: Vec<Band>,
    /// Mean load over the runs of the most loaded host, the second, and so on.
    pub loads: Vec<f64>,
    pub runs: Vec<RunFigures>,
}

/// Figures of all arms.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub experiment: String,
    pub how: &'static str,
    #[serde(rename = "days")]
    pub scenario_names: Vec<String>,
    pub sweep: Vec<String>,
    pub blocks: usize,
    /// Whether the differences are known precisely enough.
    pub settled: bool,
    /// Scenarios and seeds on which every arm broke a rule.
    #[serde(rename = "survived_by_none")]
    pub failed_by_all: Vec<(String, u64)>,
    pub arms: Vec<ArmOutcome>,
}

/// Summarizes the blocks that have run so far.
pub fn summarize(experiment: &Experiment, blocks: &[Vec<RunResult>]) -> Outcome {
    let arms: Vec<ArmOutcome> =
        (0..experiment.arms.len()).map(|arm| arm_outcome(experiment, blocks, arm)).collect();
    let is_settled = |arm: &ArmOutcome| {
        let is_precise = arm.difference.is_none_or(|d| d.half_width() <= experiment.max_half_width);
        is_precise || arm.failed.is_some() || arm.runs_with_broken_rules > 0
    };
    let has_violation = |result: &RunResult| result.as_ref().map_or(true, |run| !run.rules_broken.is_empty());
    let blocks_without_survivor = blocks.iter().filter(|block| block.iter().all(has_violation));
    let blocks_without_survivor = blocks_without_survivor.filter_map(|block| block[0].as_ref().ok());
    Outcome {
        experiment: experiment.name.clone(),
        how: "simulated",
        scenario_names: experiment.scenario_names.clone(),
        sweep: experiment.sweep.clone(),
        blocks: blocks.len(),
        settled: arms.iter().all(is_settled),
        failed_by_all: blocks_without_survivor
            .map(|run| (experiment.scenario_names[run.scenario_index].clone(), run.seed))
            .collect(),
        arms,
    }
}

fn arm_outcome(experiment: &Experiment, blocks: &[Vec<RunResult>], arm_index: usize) -> ArmOutcome {
    let arm = &experiment.arms[arm_index];
    let runs: Vec<RunFigures> = blocks.iter().filter_map(|block| block[arm_index].clone().ok()).collect();
    let pairs: Vec<(&RunFigures, &RunFigures)> = blocks
        .iter()
        .filter_map(|block| Some((block[0].as_ref().ok()?, block[arm_index].as_ref().ok()?)))
        .collect();
    let seed = experiment.first_seed;
    let estimate_of =
        |figure: fn(&RunFigures) -> f64| estimate(&runs.iter().map(figure).collect::<Vec<_>>(), seed);
    let difference_to_first = |selects: &dyn Fn(&RunFigures) -> bool, figure: fn(&RunFigures) -> f64| {
        let pairs = pairs.iter().filter(|pair| selects(pair.0));
        estimate(&pairs.map(|(first, run)| figure(run) - figure(first)).collect::<Vec<_>>(), seed)
    };
    let has_pairs = arm_index > 0 && !pairs.is_empty();
    let difference = has_pairs.then(|| difference_to_first(&|_| true, |run| run.service));
    let worst_10_s_difference = has_pairs.then(|| difference_to_first(&|_| true, |run| run.worst_10_s));
    let difference_in = |scenario_index: usize| {
        difference_to_first(&|run| run.scenario_index == scenario_index, |run| run.service)
    };
    let count_with_violations =
        |runs: &mut dyn Iterator<Item = &RunFigures>| runs.filter(|run| !run.rules_broken.is_empty()).count();
    let runs_with_violations = count_with_violations(&mut runs.iter());
    let first_runs_with_violations = count_with_violations(&mut pairs.iter().map(|pair| pair.0));
    let failed = blocks.iter().find_map(|block| block[arm_index].as_ref().err().cloned());
    let judge =
        |difference: &Estimate| match (failed.is_some(), runs_with_violations, first_runs_with_violations) {
            (true, ..) => Verdict::CannotBeRun,
            (_, 1.., 0) => Verdict::BreaksRules,
            (_, 1.., 1..) => Verdict::BothBreakRules,
            (_, 0, 1..) => Verdict::FirstBreaksRules,
            _ => verdict(difference, experiment.min_relevant_difference),
        };
    let first_violations = runs.iter().filter_map(|run| Some((run.seed, run.first_violation.clone()?)));
    ArmOutcome {
        name: arm.name.clone(),
        swept: arm.swept.clone(),
        service: estimate_of(|run| run.service),
        worst_10_s: estimate_of(|run| run.worst_10_s),
        messages: estimate_of(|run| run.messages as f64),
        moves: estimate_of(|run| run.moves as f64),
        runs_with_broken_rules: runs_with_violations,
        first_violation: first_violations.min_by_key(|first| first.0),
        verdict: match (arm_index, &difference) {
            (0, _) => None,
            (_, Some(difference)) => Some(judge(difference)),
            (_, None) => Some(Verdict::CannotBeRun),
        },
        worst_10_s_verdict: worst_10_s_difference.as_ref().map(judge),
        difference,
        worst_10_s_difference,
        difference_by_scenario: match has_pairs {
            true => (0..experiment.scenario_names.len()).map(difference_in).collect(),
            false => Vec::new(),
        },
        latency_percentiles: latency_percentiles(&runs),
        bands: (0..experiment.scenario_names.len())
            .map(|scenario_index| band(&runs, scenario_index))
            .collect(),
        loads: mean_by_rank(runs.iter().map(|run| run.loads.clone())),
        failed,
        runs,
    }
}

/// Latency percentiles by class over all runs.
fn latency_percentiles(runs: &[RunFigures]) -> Vec<LatencyPercentiles> {
    let mut histograms: Vec<LatencyHistogram> = Vec::new();
    for run in runs {
        for (n, histogram) in run.latency_histograms.iter().enumerate() {
            match histograms.get_mut(n) {
                Some(sum) => sum.add(histogram),
                None => histograms.push(histogram.clone()),
            }
        }
    }
    histograms.iter().map(LatencyHistogram::percentiles).collect()
}

/// Mean of the first values, of the second values, and so on.
fn mean_by_rank(series: impl Iterator<Item = Vec<f64>>) -> Vec<f64> {
    let mut sums: Vec<(f64, usize)> = Vec::new();
    for values in series {
        sums.resize(sums.len().max(values.len()), (0.0, 0));
        values.iter().zip(&mut sums).for_each(|(value, sum)| *sum = (sum.0 + value, sum.1 + 1));
    }
    sums.into_iter().map(|(sum, count)| sum / count as f64).collect()
}

/// Service and moves of each second over the runs of one scenario.
fn band(runs: &[RunFigures], scenario_index: usize) -> Band {
    let runs: Vec<&RunFigures> = runs.iter().filter(|run| run.scenario_index == scenario_index).collect();
    let seconds = runs.iter().map(|run| run.service_by_second.len()).min().unwrap_or(0);
    let mut band = Band::default();
    for second in 0..seconds {
        let mut values: Vec<f64> = runs.iter().map(|run| run.service_by_second[second]).collect();
        values.sort_by(f64::total_cmp);
        let quantile = |fraction: f64| values[((values.len() - 1) as f64 * fraction).round() as usize];
        band.low.push(quantile(BAND_QUANTILES.0));
        band.high.push(quantile(BAND_QUANTILES.1));
        band.mean.push(values.iter().sum::<f64>() / values.len() as f64);
        let moves: u32 = runs.iter().map(|run| run.moves_by_second[second]).sum();
        band.moves.push(f64::from(moves) / runs.len() as f64);
    }
    let operator_events = runs.first().map(|run| run.operator_events.as_slice()).unwrap_or_default();
    band.changes = detect_changes(&band.mean, operator_events);
    band
}
