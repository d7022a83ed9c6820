//! Drawing of an experiment: its arms with the confidence intervals known so far.
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::Line;
use ratatui::widgets::{Block, Paragraph, Row, Table};
use ratatui::Frame;
use serde_json::Value;

/// Width of the strip that shows a confidence interval, in terminal cells.
const STRIP_CELLS: usize = 31;
/// Lower bound of the difference that the edge of a strip stands for.
const MIN_STRIP_BOUND: f64 = 1e-4;

/// Draws `outcome`, the JSON that `railhub compare --keep` writes after each stage; null before the first stage has
/// finished.
pub fn draw(frame: &mut Frame, outcome: &Value) {
    if outcome.is_null() {
        let message = "no experiment stage has finished in this folder yet";
        frame.render_widget(Paragraph::new(message).block(Block::bordered()), frame.area());
        return;
    }
    let [head, body] = Layout::vertical([Constraint::Length(4), Constraint::Min(4)]).areas(frame.area());
    frame.render_widget(summary(outcome), head);
    frame.render_widget(arm_table(outcome), body);
}

fn summary<'a>(outcome: &Value) -> Paragraph<'a> {
    let method = text(outcome, "how");
    let settled = if outcome["settled"] == true { "settled" } else { "not settled" };
    let lines = vec![
        Line::from(format!("{method}   {} blocks   {settled}", outcome["blocks"])),
        Line::from("difference from the first arm: strips show the intervals on a common scale, | marks 0"),
    ];
    Paragraph::new(lines).block(Block::bordered().title(text(outcome, "experiment")))
}

fn text(outcome: &Value, field: &str) -> String {
    outcome[field].as_str().unwrap_or("-").to_owned()
}

fn arm_table<'a>(outcome: &Value) -> Table<'a> {
    let arms = outcome["arms"].as_array().map(Vec::as_slice).unwrap_or_default();
    let bound = strip_bound(arms);
    let rows = arms.iter().map(|arm| arm_row(arm, bound));
    let widths = [
        Constraint::Min(16),
        Constraint::Length(7),
        Constraint::Length(25),
        Constraint::Length(STRIP_CELLS as u16),
        Constraint::Min(14),
    ];
    let header = Row::new(["arm", "service", "minus first arm", "", "verdict"])
        .style(Style::new().add_modifier(Modifier::BOLD));
    Table::new(rows, widths).header(header).block(Block::bordered().title("arms"))
}

/// The largest absolute bound of all intervals, which is the difference at the edge of the strips.
fn strip_bound(arms: &[Value]) -> f64 {
    let bounds = arms.iter().flat_map(|arm| ["low", "high"].map(|name| arm["difference"][name].as_f64()));
    bounds.flatten().map(f64::abs).fold(MIN_STRIP_BOUND, f64::max)
}

fn arm_row<'a>(arm: &Value, strip_bound: f64) -> Row<'a> {
    let difference = &arm["difference"];
    let (interval, strip) = match (difference["low"].as_f64(), difference["high"].as_f64()) {
        (Some(low), Some(high)) => (
            format!("{} [{low:.4}, {high:.4}]", three_digits(&difference["mean"])),
            strip(low / strip_bound, high / strip_bound),
        ),
        _ => (String::new(), String::new()),
    };
    let verdict = arm["verdict"].as_str().unwrap_or("").replace('_', " ");
    let style = verdict_style(&verdict);
    let name = arm["name"].as_str().unwrap_or("").to_owned();
    Row::new([name, three_digits(&arm["service"]["mean"]), interval, strip, verdict]).style(style)
}

fn three_digits(value: &Value) -> String {
    value.as_f64().map_or("-".to_owned(), |number| format!("{number:.3}"))
}

fn verdict_style(verdict: &str) -> Style {
    match verdict {
        "better" => Style::new().fg(Color::Green),
        "worse" | "breaks rules" | "cannot be run" => Style::new().fg(Color::Red),
        _ => Style::new(),
    }
}

/// Draws an interval on a scale from -1 to 1; `|` marks 0.
fn strip(low: f64, high: f64) -> String {
    let covered = strip_cell(low)..=strip_cell(high);
    let mut strip = String::with_capacity(STRIP_CELLS);
    for cell in 0..STRIP_CELLS {
        strip.push(match cell {
            _ if cell == STRIP_CELLS / 2 => '|',
            _ if covered.contains(&cell) => '=',
            _ => ' ',
        });
    }
    strip
}

/// Index of the cell for a value, which is clamped to [-1, 1].
fn strip_cell(value: f64) -> usize {
    ((value.clamp(-1.0, 1.0) + 1.0) / 2.0 * (STRIP_CELLS - 1) as f64).round() as usize
}

#[cfg(test)]
mod tests;
