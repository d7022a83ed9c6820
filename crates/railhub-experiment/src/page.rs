//! One self-contained HTML page of an experiment: the result first, then the figures behind it.
use crate::charts::{all_charts, ChartError};
use crate::outcome::Outcome;
use crate::report::{interval, text_report, verdict_text};
use railhub_timeseries::service_changes::format_changes;
use std::fmt::Write;

const STYLE: &str = "body{font:15px sans-serif;max-width:860px;margin:2em auto;padding:0 1em}\
    table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:3px 8px;text-align:left}\
    pre{background:#f4f4f4;padding:8px;overflow:auto}.bad{color:#b00}";

/// The HTML page, with the charts inside.
pub fn page(outcome: &Outcome) -> Result<String, ChartError> {
    let title = escape_html(&outcome.experiment);
    let mut out = format!("<!doctype html>\n<meta charset=\"utf-8\">\n<title>{title}</title>\n");
    let _ = write!(out, "<style>{STYLE}</style>\n<h1>{title}</h1>\n<p>{}</p>\n", summary(outcome));
    out.push_str(&arms_table(outcome));
    out.push_str(&violations(outcome));
    for chart in all_charts(outcome) {
        let _ = writeln!(out, "<h2>{}</h2>\n{}", escape_html(&chart.title), chart.svg()?);
    }
    out.push_str(&service_changes(outcome));
    let _ = writeln!(out, "<h2>All figures</h2>\n<pre>{}</pre>", escape_html(&text_report(outcome)));
    Ok(out)
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// How many blocks were run, and whether the differences are known precisely enough.
fn summary(outcome: &Outcome) -> String {
    let settled = match outcome.settled {
        true => "The differences are known as closely as was asked for.",
        false => "The budget was spent before all differences were known as closely as was asked for.",
    };
    let days = outcome.scenario_names.len();
    let plural = if days == 1 { "day" } else { "days" };
    format!(
        "{} runs, {} blocks of {days} {plural}: in each block all arms met the same hosts and the same \
         operations, and differences are taken block by block. {settled}",
        outcome.how, outcome.blocks
    )
}

fn arms_table(outcome: &Outcome) -> String {
    let mut out =
        "<table><tr><th>arm<th>service<th>less the first<th>verdict<th>worst 10 s<th>moves</tr>\n".to_owned();
    for arm in &outcome.arms {
        let difference = arm.difference.as_ref().map_or("-".to_owned(), interval);
        let verdict = arm.verdict.map_or("compared with", verdict_text);
        let _ = writeln!(
            out,
            "<tr><td>{}<td>{}<td>{difference}<td>{verdict}<td>{:.3}<td>{:.0}</tr>",
            escape_html(&arm.name),
            interval(&arm.service),
            arm.worst_10_s.mean,
            arm.moves.mean
        );
    }
    out + "</table>\n"
}

/// The arms that broke rules or could not be run, and the blocks on which every arm did.
fn violations(outcome: &Outcome) -> String {
    let mut out = String::new();
    for arm in &outcome.arms {
        if let Some((seed, violation)) = &arm.first_violation {
            let _ = writeln!(
                out,
                "<p class=\"bad\">{} broke rules in {} of {} runs; first on seed {seed}, rule {} at {:.2} s: {}</p>",
                escape_html(&arm.name),
                arm.runs_with_broken_rules,
                arm.runs.len(),
                violation.rule,
                violation.at,
                escape_html(&violation.what)
            );
        }
        if let Some(error) = &arm.failed {
            let _ = writeln!(
                out,
                "<p class=\"bad\">{} cannot be run: {}</p>",
                escape_html(&arm.name),
                escape_html(error)
            );
        }
    }
    if !outcome.failed_by_all.is_empty() {
        let blocks = outcome.failed_by_all.iter().map(|(scenario, seed)| format!("{scenario} {seed}"));
        let blocks = blocks.collect::<Vec<_>>().join(", ");
        let _ = writeln!(out, "<p class=\"bad\">No arm keeps all rules on: {}</p>", escape_html(&blocks));
    }
    out
}

/// When service changed its level, by arm and scenario.
fn service_changes(outcome: &Outcome) -> String {
    let mut out = "<h2>When service changed</h2>\n".to_owned();
    for arm in &outcome.arms {
        for (scenario, band) in outcome.scenario_names.iter().zip(&arm.bands) {
            let text = match band.changes.is_empty() {
                true => "one level all day\n".to_owned(),
                false => format_changes(&band.changes),
            };
            let _ = writeln!(
                out,
                "<p>{}, {}</p><pre>{}</pre>",
                escape_html(&arm.name),
                escape_html(scenario),
                escape_html(&text)
            );
        }
    }
    out
}
