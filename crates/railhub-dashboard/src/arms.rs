//! Shows an experiment's folder: arms with their intervals so far.
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::Line;
use ratatui::widgets::{Block, Paragraph, Row, Table};
use ratatui::Frame;
use serde_json::Value;

/// Cells of the strip that intervals are drawn in.
const STRIP: usize = 31;

/// `outcome`: what `railhub compare --keep` writes as it goes.
pub fn draw(frame: &mut Frame, outcome: &Value) {
    if outcome.is_null() {
        let words = "no stage of an experiment is done here yet";
        return frame.render_widget(Paragraph::new(words).block(Block::bordered()), frame.area());
    }
    let [head, body] = Layout::vertical([Constraint::Length(4), Constraint::Min(4)]).areas(frame.area());
    let text = |name: &str| outcome[name].as_str().unwrap_or("-").to_owned();
    let settled = if outcome["settled"] == true { "known well enough" } else { "not settled" };
    let lines = vec![
        Line::from(format!("{}   {} blocks   {settled}", text("how"), outcome["blocks"])),
        Line::from("difference from the first arm: strip from the lowest to the highest end, | is 0"),
    ];
    frame.render_widget(Paragraph::new(lines).block(Block::bordered().title(text("experiment"))), head);
    let none = Vec::new();
    let arms = outcome["arms"].as_array().unwrap_or(&none);
    let ends = arms.iter().flat_map(|arm| ["low", "high"].map(|end| arm["difference"][end].as_f64()));
    let furthest = ends.flatten().map(f64::abs).fold(1e-4, f64::max);
    let rows = arms.iter().map(|arm| row(arm, furthest));
    let widths = [
        Constraint::Min(16),
        Constraint::Length(7),
        Constraint::Length(25),
        Constraint::Length(STRIP as u16),
        Constraint::Min(14),
    ];
    let header = Row::new(["arm", "service", "less the first", "", "verdict"]);
    let header = header.style(Style::new().add_modifier(Modifier::BOLD));
    frame.render_widget(Table::new(rows, widths).header(header).block(Block::bordered().title("arms")), body);
}

fn row<'a>(arm: &Value, furthest: f64) -> Row<'a> {
    let number = |value: &Value| value.as_f64().map_or("-".to_owned(), |value| format!("{value:.3}"));
    let difference = &arm["difference"];
    let (low, high) = (difference["low"].as_f64(), difference["high"].as_f64());
    let interval = match (low, high) {
        (Some(low), Some(high)) => format!("{} [{low:.4}, {high:.4}]", number(&difference["mean"])),
        _ => String::new(),
    };
    let verdict = arm["verdict"].as_str().unwrap_or("").replace('_', " ");
    let style = match verdict.as_str() {
        "better" => Style::new().fg(Color::Green),
        "worse" | "breaks rules" | "cannot be run" => Style::new().fg(Color::Red),
        _ => Style::new(),
    };
    let strip = low.zip(high).map_or(String::new(), |(low, high)| strip(low / furthest, high / furthest));
    let name = arm["name"].as_str().unwrap_or("").to_owned();
    Row::new([name, number(&arm["service"]["mean"]), interval, strip, verdict]).style(style)
}

/// An interval between -1 and 1.
fn strip(low: f64, high: f64) -> String {
    let place = |at: f64| ((at.clamp(-1.0, 1.0) + 1.0) / 2.0 * (STRIP - 1) as f64).round() as usize;
    let cell = |n: usize| match n {
        n if n == STRIP / 2 => '|',
        n if (place(low)..=place(high)).contains(&n) => '=',
        _ => ' ',
    };
    (0..STRIP).map(cell).collect()
}

#[cfg(test)]
mod tests;
