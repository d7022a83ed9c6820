//! What an experiment came to, for a person and as a table.
use crate::stats::{Estimate, Verdict};
use crate::trial::Outcome;
use std::fmt::Write;

fn interval(estimate: &Estimate) -> String {
    format!("{:.4} [{:.4}, {:.4}]", estimate.mean, estimate.low, estimate.high)
}

pub fn words(outcome: &Outcome) -> String {
    let mut out = String::new();
    let known = if outcome.settled { "known well enough" } else { "budget spent" };
    let _ = writeln!(out, "{}, {}, {} seeds, {known}", outcome.experiment, outcome.how, outcome.blocks);
    for arm in &outcome.arms {
        let _ = writeln!(out, "{:<20} service {}", arm.name, interval(&arm.service));
        let _ = writeln!(out, "{:<20} worst 10 s {}", "", interval(&arm.worst_10_s));
        if let (Some(difference), Some(verdict)) = (&arm.difference, arm.verdict) {
            let verdict = match verdict {
                Verdict::Better => "better",
                Verdict::Worse => "worse",
                Verdict::NoDifferenceWorthHaving => "no difference worth having",
                Verdict::NotKnownYet => "not known yet",
            };
            let _ = writeln!(out, "{:<20} less the first: {} - {verdict}", "", interval(difference));
        }
        if arm.runs_with_broken_rules > 0 {
            let _ = writeln!(out, "{:<20} rules BROKEN on {} seeds", "", arm.runs_with_broken_rules);
        }
    }
    out
}

/// One line a run.
pub fn csv(outcome: &Outcome) -> String {
    let mut out = "arm,seed,service,worst_10_s,messages,operations,rules_broken\n".to_owned();
    for arm in &outcome.arms {
        for run in &arm.runs {
            let broken = run.rules_broken.iter().map(u8::to_string).collect::<Vec<_>>().join(" ");
            let _ = writeln!(
                out,
                "{},{},{:.6},{:.6},{},{},{broken}",
                arm.name, run.seed, run.service, run.worst_10_s, run.messages, run.operations
            );
        }
    }
    out
}
