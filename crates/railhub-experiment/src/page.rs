//! One self-contained page of an experiment: the answer first, then why it can be believed.
use crate::charts::{pictures, Fault};
use crate::outcome::Outcome;
use crate::report::{interval, text_report, verdict_words};
use railhub_timeseries::service_changes::format_changes;
use std::fmt::Write;

const STYLE: &str = "body{font:15px sans-serif;max-width:860px;margin:2em auto;padding:0 1em}\
    table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:3px 8px;text-align:left}\
    pre{background:#f4f4f4;padding:8px;overflow:auto}.bad{color:#b00}";

/// The page, HTML with the charts inside.
pub fn page(outcome: &Outcome) -> Result<String, Fault> {
    let title = escaped(&outcome.experiment);
    let mut out = format!("<!doctype html>\n<meta charset=\"utf-8\">\n<title>{title}</title>\n");
    let _ = write!(out, "<style>{STYLE}</style>\n<h1>{title}</h1>\n<p>{}</p>\n", lead(outcome));
    out.push_str(&table(outcome));
    out.push_str(&breaches(outcome));
    for picture in pictures(outcome) {
        let _ = writeln!(out, "<h2>{}</h2>\n{}", escaped(&picture.title), picture.svg()?);
    }
    out.push_str(&changes(outcome));
    let _ = writeln!(out, "<h2>All figures</h2>\n<pre>{}</pre>", escaped(&text_report(outcome)));
    Ok(out)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn lead(outcome: &Outcome) -> String {
    let known = match outcome.settled {
        true => "The differences are known as closely as was asked for.",
        false => "The budget was spent before all differences were known as closely as was asked for.",
    };
    let days = outcome.days.len();
    let plural = if days == 1 { "day" } else { "days" };
    format!(
        "{} runs, {} blocks of {days} {plural}: in each block all arms met the same hosts and the same \
         operations, and differences are taken block by block. {known}",
        outcome.how, outcome.blocks
    )
}

fn table(outcome: &Outcome) -> String {
    let mut out =
        "<table><tr><th>arm<th>service<th>less the first<th>verdict<th>worst 10 s<th>moves</tr>\n".to_owned();
    for arm in &outcome.arms {
        let less = arm.difference.as_ref().map_or("-".to_owned(), interval);
        let verdict = arm.verdict.map_or("compared with", verdict_words);
        let _ = writeln!(
            out,
            "<tr><td>{}<td>{}<td>{less}<td>{verdict}<td>{:.3}<td>{:.0}</tr>",
            escaped(&arm.name),
            interval(&arm.service),
            arm.worst_10_s.mean,
            arm.moves.mean
        );
    }
    out + "</table>\n"
}

fn breaches(outcome: &Outcome) -> String {
    let mut out = String::new();
    for arm in &outcome.arms {
        if let Some((seed, moment)) = &arm.first_breach {
            let _ = writeln!(
                out,
                "<p class=\"bad\">{} broke rules in {} of {} runs; first on seed {seed}, rule {} at {:.2} s: {}</p>",
                escaped(&arm.name),
                arm.runs_with_broken_rules,
                arm.runs.len(),
                moment.rule,
                moment.at,
                escaped(&moment.what)
            );
        }
        if let Some(fault) = &arm.failed {
            let _ = writeln!(
                out,
                "<p class=\"bad\">{} cannot be run: {}</p>",
                escaped(&arm.name),
                escaped(fault)
            );
        }
    }
    if !outcome.survived_by_none.is_empty() {
        let blocks = outcome.survived_by_none.iter().map(|(day, seed)| format!("{day} {seed}"));
        let blocks = blocks.collect::<Vec<_>>().join(", ");
        let _ = writeln!(out, "<p class=\"bad\">No arm keeps all rules on: {}</p>", escaped(&blocks));
    }
    out
}

fn changes(outcome: &Outcome) -> String {
    let mut out = "<h2>When service changed</h2>\n".to_owned();
    for arm in &outcome.arms {
        for (day, band) in outcome.days.iter().zip(&arm.bands) {
            let words = match band.changes.is_empty() {
                true => "one level all day\n".to_owned(),
                false => format_changes(&band.changes),
            };
            let _ = writeln!(
                out,
                "<p>{}, {}</p><pre>{}</pre>",
                escaped(&arm.name),
                escaped(day),
                escaped(&words)
            );
        }
    }
    out
}
