//! The outcome of an experiment as text and as CSV tables.
use crate::outcome::{ArmOutcome, Outcome};
use crate::stats::{Estimate, Verdict};
use railhub_timeseries::latency::LatencyPercentiles;
use std::fmt::Write;

/// Width of the column with the names of the arms.
const NAME_COLUMN_WIDTH: usize = 28;

pub fn interval(estimate: &Estimate) -> String {
    format!("{:.4} [{:.4}, {:.4}]", estimate.mean, estimate.low, estimate.high)
}

pub fn verdict_text(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Better => "better",
        Verdict::Worse => "worse",
        Verdict::NoDifferenceWorthHaving => "no difference worth having",
        Verdict::NotKnownYet => "not known yet",
        Verdict::BreaksRules => "loses: it breaks rules",
        Verdict::FirstBreaksRules => "wins: the first breaks rules",
        Verdict::BothBreakRules => "both break rules: neither is to be used",
        Verdict::CannotBeRun => "cannot be run",
    }
}

/// The report for the terminal and the page.
pub fn text_report(outcome: &Outcome) -> String {
    let mut out = String::new();
    let state = if outcome.settled { "known well enough" } else { "budget spent" };
    let days = match outcome.scenario_names.len() {
        1 => String::new(),
        days => format!(" over {days} days"),
    };
    let _ =
        writeln!(out, "{}, {}, {} blocks{days}, {state}", outcome.experiment, outcome.how, outcome.blocks);
    for arm in &outcome.arms {
        write_arm(&mut out, arm, outcome);
    }
    if let Some((scenario, seed)) = outcome.failed_by_all.first() {
        let count = outcome.failed_by_all.len();
        let _ = writeln!(
            out,
            "no arm keeps all rules on {count} of {} blocks, first {scenario}, seed {seed}",
            outcome.blocks
        );
    }
    out
}

fn write_arm(out: &mut String, arm: &ArmOutcome, outcome: &Outcome) {
    let _ = writeln!(out, "{:<NAME_COLUMN_WIDTH$} service {}", arm.name, interval(&arm.service));
    let mut line = |text: String| _ = writeln!(out, "{:<NAME_COLUMN_WIDTH$} {text}", "");
    line(format!("worst 10 s {}", interval(&arm.worst_10_s)));
    if let (Some(difference), Some(verdict)) = (&arm.difference, arm.verdict) {
        line(format!("less the first: {} - {}", interval(difference), verdict_text(verdict)));
    }
    if let (Some(difference), Some(verdict)) = (&arm.worst_10_s_difference, arm.worst_10_s_verdict) {
        line(format!("worst 10 s less the first's: {} - {}", interval(difference), verdict_text(verdict)));
    }
    if arm.difference_by_scenario.len() > 1 {
        for (scenario, difference) in outcome.scenario_names.iter().zip(&arm.difference_by_scenario) {
            line(format!("  {scenario:<24} {}", interval(difference)));
        }
    }
    line(format!("{:.0} moves, {:.0} messages a run", arm.moves.mean, arm.messages.mean));
    for percentiles in &arm.latency_percentiles {
        line(latency_text(percentiles));
    }
    if let Some(error) = &arm.failed {
        line(format!("cannot be run: {error}"));
    }
    if let Some((seed, violation)) = &arm.first_violation {
        let (count, runs) = (arm.runs_with_broken_rules, arm.runs.len());
        line(format!("rules BROKEN in {count} of {runs} runs"));
        line(format!(
            "  first on seed {seed}, rule {} at {:.2} s: {}",
            violation.rule, violation.at, violation.what
        ));
    }
}

fn latency_text(percentiles: &LatencyPercentiles) -> String {
    let time = |time: Option<f64>| time.map_or("never".to_owned(), |time| format!("{time:.3} s"));
    let (p50, p99, p999) = (time(percentiles.p50), time(percentiles.p99), time(percentiles.p999));
    format!("{}: half answered within {p50}, 99 % {p99}, 99.9 % {p999}", percentiles.class)
}

/// Quotes a field that contains a separator.
fn csv_field(text: &str) -> String {
    if text.contains([',', '"', '\n']) {
        format!("\"{}\"", text.replace('"', "\"\""))
    } else {
        text.to_owned()
    }
}

/// One line per run.
pub fn runs_csv(outcome: &Outcome) -> String {
    let mut out = "arm,day,seed,service,worst_10_s,moves,messages,operations,rules_broken\n".to_owned();
    for arm in &outcome.arms {
        for run in &arm.runs {
            let broken = run.rules_broken.iter().map(u8::to_string).collect::<Vec<_>>().join(" ");
            let (name, scenario) =
                (csv_field(&arm.name), csv_field(&outcome.scenario_names[run.scenario_index]));
            let _ = writeln!(
                out,
                "{name},{scenario},{},{:.6},{:.6},{},{},{},{broken}",
                run.seed, run.service, run.worst_10_s, run.moves, run.messages, run.operations
            );
        }
    }
    out
}

/// One line per arm.
pub fn arms_csv(outcome: &Outcome) -> String {
    let mut out =
        "arm,runs,service,low,high,less_first,less_first_low,less_first_high,verdict,worst_10_s,moves,\
                   messages,runs_with_broken_rules\n"
            .to_owned();
    for arm in &outcome.arms {
        let difference =
            arm.difference.map_or(",,".to_owned(), |d| format!("{:.6},{:.6},{:.6}", d.mean, d.low, d.high));
        let verdict = arm.verdict.map_or("", verdict_text);
        let Estimate { mean, low, high, count } = arm.service;
        let _ = writeln!(
            out,
            "{},{count},{mean:.6},{low:.6},{high:.6},{difference},{},{:.6},{:.2},{:.2},{}",
            csv_field(&arm.name),
            csv_field(verdict),
            arm.worst_10_s.mean,
            arm.moves.mean,
            arm.messages.mean,
            arm.runs_with_broken_rules
        );
    }
    out
}

/// One line per arm, scenario and second.
pub fn over_time_csv(outcome: &Outcome) -> String {
    let mut out = "arm,day,second,service,low,high,moves\n".to_owned();
    for arm in &outcome.arms {
        for (scenario, band) in outcome.scenario_names.iter().zip(&arm.bands) {
            for second in 0..band.mean.len() {
                let (mean, low, high) = (band.mean[second], band.low[second], band.high[second]);
                let (name, scenario, moves) = (csv_field(&arm.name), csv_field(scenario), band.moves[second]);
                let _ = writeln!(out, "{name},{scenario},{second},{mean:.5},{low:.5},{high:.5},{moves:.3}");
            }
        }
    }
    out
}

/// One line per arm and host, the most loaded first.
pub fn loads_csv(outcome: &Outcome) -> String {
    let mut out = "arm,rank,load\n".to_owned();
    for arm in &outcome.arms {
        for (rank, load) in arm.loads.iter().enumerate() {
            let _ = writeln!(out, "{},{},{load:.5}", csv_field(&arm.name), rank + 1);
        }
    }
    out
}
