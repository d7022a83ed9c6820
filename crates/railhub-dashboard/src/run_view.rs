//! Drawing of a run: summary, host table, chart of service, and log.
use crate::host::{HostState, HostStatus};
use crate::run_state::{AdmissionStatus, RunState};
use railhub_proto::RetryCondition;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::symbols::Marker;
use ratatui::text::Line;
use ratatui::widgets::{Axis, Block, Cell, Chart, Dataset, GraphType, Paragraph, Row, Table};
use ratatui::Frame;

/// Load above which a host is shown in red.
const HIGH_LOAD: f64 = 0.9;
/// Width of the bar for a load of 1, in terminal cells.
const LOAD_BAR_CELLS: usize = 12;
/// Number of lines of the host table taken by its borders and header.
const HOST_TABLE_FRAME_LINES: u16 = 3;
/// Minimum distance between the lowest value and the lower end of the service axis, which is rounded down to tenths.
const CHART_MARGIN: f64 = 0.02;

/// Draws the state of a run under a title.
pub fn draw(frame: &mut Frame, state: &RunState, title: &str) {
    let [head, body, foot] =
        Layout::vertical([Constraint::Length(4), Constraint::Min(6), Constraint::Length(1)])
            .areas(frame.area());
    let [left, right] =
        Layout::horizontal([Constraint::Percentage(52), Constraint::Percentage(48)]).areas(body);
    let [chart, log] =
        Layout::vertical([Constraint::Percentage(55), Constraint::Percentage(45)]).areas(right);
    frame.render_widget(summary(state, title), head);
    frame.render_widget(host_table(state, left), left);
    draw_service(frame, state, chart);
    frame.render_widget(log_panel(state), log);
    frame.render_widget(
        Line::from("q: quit   space: pause   left, right: 5 s back, forward   home: start   end: follow"),
        foot,
    );
}

fn summary<'a>(state: &RunState, title: &str) -> Paragraph<'a> {
    let lines = vec![Line::from(service_line(state)), Line::from(table_line(state))];
    Paragraph::new(lines).block(Block::bordered().title(title.to_owned()))
}

fn service_line(state: &RunState) -> String {
    let history = state.service();
    let service = history.points.last().map_or("-".to_owned(), |(_, service)| format!("{service:.2}"));
    let controller = if state.controller_running { "up" } else { "AWAY" };
    format!(
        "{:.1} s   service {service}   {} operations/s   controller {controller}   {} proxies connected",
        state.now,
        history.operations_per_second,
        state.connected_proxies.len()
    )
}

fn table_line(state: &RunState) -> String {
    let deltas = state.unacknowledged().delta_count();
    let lines = state.unacknowledged().line_count();
    let max_backlog = state.limits.as_ref().map_or(0.0, |limits| limits.max_backlog);
    format!(
        "version {}   unacknowledged: {deltas} deltas, {lines} of max {max_backlog:.0} lines   {} moves   {} lines cleared   {} messages",
        state.version, state.moves, state.cleared_lines, state.messages
    )
}

fn host_table<'a>(state: &RunState, area: Rect) -> Table<'a> {
    let now = state.now;
    let mut hosts: Vec<_> =
        state.hosts.iter().filter(|(_, host)| host.state(now) != HostState::Removed).collect();
    hosts.sort_by(|a, b| b.1.load(now).total_cmp(&a.1.load(now)));
    let visible = usize::from(area.height.saturating_sub(HOST_TABLE_FRAME_LINES));
    let rows: Vec<Row> = hosts.iter().take(visible).map(|(name, host)| host_row(name, host, now)).collect();
    let title = match hosts.len().saturating_sub(visible) {
        0 => format!("{} hosts, by load", hosts.len()),
        hidden => format!("{} hosts, by load; {hidden} not shown", hosts.len()),
    };
    let widths = [
        Constraint::Length(6),
        Constraint::Length(4),
        Constraint::Length(14),
        Constraint::Length(6),
        Constraint::Min(LOAD_BAR_CELLS as u16 + 5),
    ];
    let header = Row::new(["port", "zone", "standing", "slices", "load"])
        .style(Style::new().add_modifier(Modifier::BOLD));
    Table::new(rows, widths).header(header).block(Block::bordered().title(title))
}

fn host_row<'a>(name: &str, host: &HostStatus, now: f64) -> Row<'a> {
    let load = host.load(now);
    let state = host.state(now);
    let port = name.rsplit(':').next().unwrap_or(name).to_owned();
    let exclusion = if host.excluded { ", excluded" } else { "" };
    let state_text = format!("{}{exclusion}", state.label());
    let load_text = format!("{} {load:.2}", load_bar(load));
    let cells = [port, host.zone.to_string(), state_text, host.slices.to_string(), load_text];
    Row::new(cells.map(Cell::from)).style(host_style(state, load))
}

fn host_style(state: HostState, load: f64) -> Style {
    match state {
        HostState::Down => Style::new().fg(Color::DarkGray),
        HostState::Warming => Style::new().fg(Color::Cyan),
        HostState::Draining => Style::new().fg(Color::Yellow),
        _ if load > HIGH_LOAD => Style::new().fg(Color::Red),
        _ => Style::new(),
    }
}

fn load_bar(load: f64) -> String {
    let filled = ((load * LOAD_BAR_CELLS as f64).round() as usize).min(LOAD_BAR_CELLS);
    format!("{}{}", "█".repeat(filled), "·".repeat(LOAD_BAR_CELLS - filled))
}

fn draw_service(frame: &mut Frame, state: &RunState, area: Rect) {
    let points = state.service().points;
    let (start, end) = match (points.first(), points.last()) {
        (Some(first), Some(last)) if first.0 < last.0 => (first.0, last.0),
        _ => (0.0, 1.0),
    };
    let lowest = points.iter().map(|point| point.1).fold(1.0, f64::min);
    let bottom = ((lowest - CHART_MARGIN) * 10.0).floor().max(0.0) / 10.0;
    let data = Dataset::default().marker(Marker::Braille).graph_type(GraphType::Line).data(&points);
    let time_axis =
        Axis::default().bounds([start, end]).labels([format!("{start:.0} s"), format!("{end:.0} s")]);
    let service_axis =
        Axis::default().bounds([bottom, 1.0]).labels([format!("{bottom:.1}"), format!("{:.1}", 1.0)]);
    let chart = Chart::new(vec![data]).x_axis(time_axis).y_axis(service_axis);
    frame.render_widget(chart.block(Block::bordered().title("service")), area);
}

/// Admission by class, active faults, and the log with its newest entry first.
fn log_panel<'a>(state: &RunState) -> Paragraph<'a> {
    let mut lines: Vec<Line> = Vec::new();
    for admission in state.admission.values() {
        lines.push(Line::from(admission_text(admission)));
    }
    for fault in &state.active_faults {
        lines.push(Line::from(format!("on: {fault}")).style(Style::new().fg(Color::Red)));
    }
    for entry in state.log.iter().rev() {
        lines.push(Line::from(format!("{:>6.1} s {}", entry.at, entry.description)));
    }
    Paragraph::new(lines).block(Block::bordered().title("admission, active faults, events"))
}

fn admission_text(admission: &AdmissionStatus) -> String {
    let percent = admission.rate.min(1.0) * 100.0;
    let retry = match admission.retry {
        RetryCondition::Never => "no retry",
        RetryCondition::IfNotExecuted => "retry if not executed",
        RetryCondition::AfterFailure => "retry after failure",
    };
    format!("{}: {percent:.0} % admitted, {retry}", admission.class)
}
