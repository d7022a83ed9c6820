//! Service and verdicts out of a record.
use railhub_invariants::Verdict;
use railhub_record::{Event, EventKind, Limits, OperationEnd, Outcome};
use serde::Serialize;
use std::fmt::Write;

/// Seconds of a window, and of the worst one.
const WINDOW: f64 = 5.0;
const WORST: f64 = 10.0;

/// Gain answered within the contract time over gain asked for.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    pub whole: f64,
    pub worst_10_s: f64,
    pub worst_from: f64,
    pub operations: u64,
    pub classes: Vec<ClassService>,
    pub windows: Vec<f64>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassService {
    pub name: String,
    pub operations: u64,
    pub completed: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub gave_up: u64,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub day: String,
    /// loopback or simulated.
    pub how: &'static str,
    pub seed: u64,
    pub service: Service,
    /// The same day with tables fixed at the start.
    pub fixed: Option<Service>,
    pub rules: Vec<Verdict>,
    pub rules_kept: bool,
}

pub fn service(events: &[Event], limits: &Limits) -> Service {
    let ends: Vec<&OperationEnd> = (events.iter())
        .filter_map(|event| match &event.kind {
            Some(EventKind::OperationEnd(end)) => Some(end),
            _ => None,
        })
        .collect();
    let gain = |end: &OperationEnd| {
        limits.classes.get(end.class as usize).map_or(0.0, |class| class.priority_weight)
    };
    let between = |from: f64, until: f64| {
        let inside = ends.iter().filter(|end| (from..until).contains(&(end.began - limits.from)));
        let (mut asked, mut answered) = (0.0, 0.0);
        for end in inside {
            asked += gain(end);
            answered += if end.outcome() == Outcome::Completed { gain(end) } else { 0.0 };
        }
        if asked > 0.0 {
            answered / asked
        } else {
            1.0
        }
    };
    let length = limits.until - limits.from;
    let starts = (0..).map(f64::from).take_while(|from| from + WORST <= length.max(WORST));
    let worst = starts.map(|from| (between(from, from + WORST), from)).min_by(|a, b| a.0.total_cmp(&b.0));
    let (worst_10_s, worst_from) = worst.unwrap_or((1.0, 0.0));
    let windows = (0..(length / WINDOW).ceil() as u32).map(f64::from);
    Service {
        whole: between(0.0, f64::INFINITY),
        worst_10_s,
        worst_from,
        operations: ends.len() as u64,
        classes: limits
            .classes
            .iter()
            .enumerate()
            .map(|(n, class)| of_class(&ends, n, &class.name))
            .collect(),
        windows: windows.map(|n| between(n * WINDOW, (n + 1.0) * WINDOW)).collect(),
    }
}

fn of_class(ends: &[&OperationEnd], number: usize, name: &str) -> ClassService {
    let mut sum = ClassService { name: name.to_owned(), ..ClassService::default() };
    for end in ends.iter().filter(|end| end.class as usize == number) {
        sum.operations += 1;
        *match end.outcome() {
            Outcome::Completed => &mut sum.completed,
            Outcome::Late => &mut sum.late,
            Outcome::Refused => &mut sum.refused,
            Outcome::Failed => &mut sum.failed,
            Outcome::GaveUp => &mut sum.gave_up,
        } += 1;
    }
    sum
}

/// The report for a person.
pub fn words(report: &Report) -> String {
    let mut out = String::new();
    let service = &report.service;
    let _ = writeln!(
        out,
        "{} (seed {}), {}, {} operations",
        report.day, report.seed, report.how, service.operations
    );
    let _ = write!(out, "service {:.3}", service.whole);
    if let Some(fixed) = &report.fixed {
        let _ = write!(out, "   with tables fixed at the start {:.3}", fixed.whole);
    }
    let _ = write!(out, "\nworst 10 s {:.3} (from {:.0} s)", service.worst_10_s, service.worst_from);
    if let Some(fixed) = &report.fixed {
        let _ = write!(out, "   fixed {:.3} (from {:.0} s)", fixed.worst_10_s, fixed.worst_from);
    }
    out.push('\n');
    for class in &service.classes {
        let _ = writeln!(
            out,
            "  {:<16} {:>6} operations: {} completed, {} late, {} refused, {} failed, {} given up",
            class.name,
            class.operations,
            class.completed,
            class.late,
            class.refused,
            class.failed,
            class.gave_up
        );
    }
    let figures = |windows: &[f64]| windows.iter().map(|w| format!("{w:.2}")).collect::<Vec<_>>().join(" ");
    let _ = writeln!(out, "by 5 s  {}", figures(&service.windows));
    if let Some(fixed) = &report.fixed {
        let _ = writeln!(out, "fixed   {}", figures(&fixed.windows));
    }
    out.push_str(&rules_words(&report.rules));
    out
}

pub fn rules_words(rules: &[Verdict]) -> String {
    let mut out = String::new();
    for verdict in rules {
        let kept = if verdict.kept { "kept" } else { "BROKEN" };
        let _ = writeln!(
            out,
            "rule {} {:<30} {:<6} {:>5.0} % of the limit, {} looks",
            verdict.rule,
            verdict.name,
            kept,
            verdict.worst * 100.0,
            verdict.checked
        );
        for violation in &verdict.violations {
            let _ = writeln!(out, "    at {:.3}: {}", violation.at, violation.description);
        }
        if verdict.violation_count > verdict.violations.len() as u64 {
            let _ =
                writeln!(out, "    and {} more", verdict.violation_count - verdict.violations.len() as u64);
        }
    }
    out
}
