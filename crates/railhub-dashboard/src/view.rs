//! Draws a scene.
use crate::scene::{Scene, Standing};
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::symbols::Marker;
use ratatui::text::Line;
use ratatui::widgets::{Axis, Block, Cell, Chart, Dataset, GraphType, Paragraph, Row, Table};
use ratatui::Frame;

/// Load above which a host is shown in red: past it queues grow.
const HIGH: f64 = 0.9;
/// Cells of the bar that stands for a load of 1.
const BAR: usize = 12;

pub fn draw(frame: &mut Frame, scene: &Scene, title: &str) {
    let [head, body, foot] =
        Layout::vertical([Constraint::Length(4), Constraint::Min(6), Constraint::Length(1)])
            .areas(frame.area());
    let [left, right] =
        Layout::horizontal([Constraint::Percentage(52), Constraint::Percentage(48)]).areas(body);
    let [chart, told] =
        Layout::vertical([Constraint::Percentage(55), Constraint::Percentage(45)]).areas(right);
    frame.render_widget(summary(scene, title), head);
    frame.render_widget(hosts(scene, left), left);
    service(frame, scene, chart);
    frame.render_widget(happenings(scene), told);
    frame.render_widget(Line::from("q ends   space halts   left and right go 5 s   home, end"), foot);
}

fn summary<'a>(scene: &Scene, title: &str) -> Paragraph<'a> {
    let (line, rate) = scene.service();
    let (deltas, lines) = scene.backlog();
    let service = line.last().map_or("-".to_owned(), |(_, service)| format!("{service:.2}"));
    let backlog = scene.limits.as_ref().map_or(0.0, |limits| limits.max_backlog);
    let steward = if scene.steward_up { "up" } else { "AWAY" };
    let first = format!(
        "{:.1} s   service {service}   {rate} operations/s   steward {steward}   {} proxies joined",
        scene.now,
        scene.joined.len()
    );
    let second = format!(
        "version {}   {deltas} deltas owed, {lines} lines of {backlog:.0}   {} moves   {} withdrawals   {} messages",
        scene.version, scene.moves, scene.withdrawals, scene.messages
    );
    Paragraph::new(vec![Line::from(first), Line::from(second)])
        .block(Block::bordered().title(title.to_owned()))
}

fn hosts<'a>(scene: &Scene, area: Rect) -> Table<'a> {
    let mut all: Vec<_> =
        scene.hosts.iter().filter(|(_, h)| h.standing(scene.now) != Standing::Gone).collect();
    all.sort_by(|a, b| b.1.load(scene.now).total_cmp(&a.1.load(scene.now)));
    let room = usize::from(area.height.saturating_sub(3));
    let left_out = all.len().saturating_sub(room);
    let rows: Vec<Row> = all
        .iter()
        .take(room)
        .map(|(name, host)| {
            let (load, standing) = (host.load(scene.now), host.standing(scene.now));
            let style = match standing {
                Standing::Down => Style::new().fg(Color::DarkGray),
                Standing::Cold => Style::new().fg(Color::Cyan),
                Standing::Draining => Style::new().fg(Color::Yellow),
                _ if load > HIGH => Style::new().fg(Color::Red),
                _ => Style::new(),
            };
            let filled = ((load * BAR as f64).round() as usize).min(BAR);
            let bar = format!("{}{}", "█".repeat(filled), "·".repeat(BAR - filled));
            let mut state = format!("{standing:?}").to_lowercase();
            if host.shut {
                state += ", shut out";
            }
            let port = name.rsplit(':').next().unwrap_or(name).to_owned();
            let cells =
                [port, host.zone.to_string(), state, host.slices.to_string(), format!("{bar} {load:.2}")];
            Row::new(cells.map(Cell::from)).style(style)
        })
        .collect();
    let widths = [
        Constraint::Length(6),
        Constraint::Length(4),
        Constraint::Length(14),
        Constraint::Length(6),
        Constraint::Min(BAR as u16 + 5),
    ];
    let title = match left_out {
        0 => format!("{} hosts, by load", all.len()),
        _ => format!("{} hosts, by load; {left_out} more below", all.len()),
    };
    let header = Row::new(["port", "zone", "standing", "slices", "load"])
        .style(Style::new().add_modifier(Modifier::BOLD));
    Table::new(rows, widths).header(header).block(Block::bordered().title(title))
}

fn service(frame: &mut Frame, scene: &Scene, area: Rect) {
    let (line, _) = scene.service();
    let (from, until) = match (line.first(), line.last()) {
        (Some(first), Some(last)) if first.0 < last.0 => (first.0, last.0),
        _ => (0.0, 1.0),
    };
    let low = line.iter().map(|point| point.1).fold(1.0, f64::min);
    let low = ((low - 0.02) * 10.0).floor().max(0.0) / 10.0;
    let data = Dataset::default().marker(Marker::Braille).graph_type(GraphType::Line).data(&line);
    let label = |value: f64| format!("{value:.1}");
    let across =
        Axis::default().bounds([from, until]).labels([format!("{from:.0} s"), format!("{until:.0} s")]);
    let up = Axis::default().bounds([low, 1.0]).labels([label(low), label(1.0)]);
    let chart = Chart::new(vec![data]).x_axis(across).y_axis(up);
    frame.render_widget(chart.block(Block::bordered().title("service")), area);
}

fn happenings<'a>(scene: &Scene) -> Paragraph<'a> {
    let mut lines: Vec<Line> = Vec::new();
    for level in scene.levels.values() {
        let share = level.share.min(1.0) * 100.0;
        lines.push(Line::from(format!("{}: {share:.0} % let in, {}", level.class, level.second_try)));
    }
    for trouble in &scene.troubles {
        lines.push(Line::from(format!("on: {trouble}")).style(Style::new().fg(Color::Red)));
    }
    let told = scene.told.iter().rev().map(|(at, what)| Line::from(format!("{at:>6.1} s {what}")));
    lines.extend(told);
    Paragraph::new(lines).block(Block::bordered().title("levels, troubles, what happened"))
}
