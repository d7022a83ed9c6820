//! Reports as text for a person.
use super::{ClassService, Report, Service};
use railhub_invariants::Verdict;
use std::fmt::Write;

/// The report of a run.
pub fn report_text(report: &Report) -> String {
    let mut out = String::new();
    let service = &report.service;
    let (name, seed, source) = (&report.scenario, report.seed, report.source);
    let _ = writeln!(out, "{name} (seed {seed}), {source}, {} operations", service.operations);
    write_service(&mut out, service, report.fixed.as_ref());
    for class in &service.classes {
        write_class(&mut out, class);
    }
    let _ = writeln!(out, "by 5 s  {}", windows_text(&service.windows));
    if let Some(fixed) = &report.fixed {
        let _ = writeln!(out, "fixed   {}", windows_text(&fixed.windows));
    }
    out.push_str(&verdicts_text(&report.rules));
    out
}

fn write_service(out: &mut String, service: &Service, fixed: Option<&Service>) {
    let _ = write!(out, "service {:.3}", service.overall);
    if let Some(fixed) = fixed {
        let _ = write!(out, "   with tables fixed at the start {:.3}", fixed.overall);
    }
    let _ = write!(out, "\nworst 10 s {:.3} (from {:.0} s)", service.worst_10_s, service.worst_from);
    if let Some(fixed) = fixed {
        let _ = write!(out, "   fixed {:.3} (from {:.0} s)", fixed.worst_10_s, fixed.worst_from);
    }
    out.push('\n');
}

fn write_class(out: &mut String, class: &ClassService) {
    let _ = writeln!(
        out,
        "  {:<16} {:>6} operations: {} completed, {} late, {} refused, {} failed, {} given up",
        class.name, class.operations, class.completed, class.late, class.refused, class.failed, class.gave_up
    );
}

fn windows_text(windows: &[f64]) -> String {
    windows.iter().map(|service| format!("{service:.2}")).collect::<Vec<_>>().join(" ")
}

/// The verdicts of the invariants, with their first violations.
pub fn verdicts_text(verdicts: &[Verdict]) -> String {
    let mut out = String::new();
    for verdict in verdicts {
        write_verdict(&mut out, verdict);
    }
    out
}

fn write_verdict(out: &mut String, verdict: &Verdict) {
    let kept = if verdict.kept { "kept" } else { "BROKEN" };
    let _ = writeln!(
        out,
        "rule {} {:<30} {:<6} {:>5.0} % of the limit, {} checks",
        verdict.rule,
        verdict.name,
        kept,
        verdict.max_limit_fraction * 100.0,
        verdict.check_count
    );
    for violation in &verdict.violations {
        let _ = writeln!(out, "    at {:.3}: {}", violation.at, violation.description);
    }
    let listed = verdict.violations.len() as u64;
    if verdict.violation_count > listed {
        let _ = writeln!(out, "    and {} more", verdict.violation_count - listed);
    }
}
