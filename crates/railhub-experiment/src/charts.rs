//! The charts of an experiment. Each is a [`Chart`], which can be written as SVG or PNG.
use crate::outcome::{ArmOutcome, Band, Outcome};
use crate::stats::Estimate;
use epaint_default_fonts::UBUNTU_LIGHT;
use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::{register_font, FontStyle};
use std::error::Error;
use std::ops::Range;
use std::path::Path;
use std::sync::Once;

/// Width and height of a chart.
const SIZE_PIXELS: (u32, u32) = (760, 340);
/// Fraction of the value range that stays free above and below the values.
const AXIS_MARGIN_FRACTION: f64 = 0.08;
/// Opacity of a band.
const BAND_OPACITY: f64 = 0.15;
/// Most arms in one chart; more could not be told apart, and are left out.
const MAX_CHART_ARMS: usize = 8;

/// Any error while a chart is drawn or a file is written.
pub type ChartError = Box<dyn Error + Send + Sync>;

/// A chart that can be drawn.
pub struct Chart<'a> {
    /// File name without extension.
    pub name: String,
    pub title: String,
    kind: ChartKind<'a>,
}

/// What a chart shows.
enum ChartKind<'a> {
    Service(&'a [ArmOutcome]),
    OverTime(Vec<(&'a str, &'a Band)>),
    Moves(Vec<(&'a str, &'a Band)>),
    Loads(&'a [ArmOutcome]),
    BySeed(&'a ArmOutcome, &'a ArmOutcome),
    ByScenario(&'a ArmOutcome, &'a [String]),
    Sweep(&'a [ArmOutcome], &'a str),
}

/// All charts of an outcome, in the order of the report.
pub fn all_charts(outcome: &Outcome) -> Vec<Chart<'_>> {
    let arms = &outcome.arms[..outcome.arms.len().min(MAX_CHART_ARMS)];
    let mut charts = vec![Chart {
        name: "service".into(),
        title: "Service by arm, mean with its 95 % interval".into(),
        kind: ChartKind::Service(arms),
    }];
    if let Some(key) = outcome.sweep.first() {
        let title = match outcome.sweep.get(1) {
            Some(second_value) => format!("Service by {key}, a line for each {second_value}"),
            None => format!("Service by {key}"),
        };
        charts.push(Chart { name: "sweep".into(), title, kind: ChartKind::Sweep(&outcome.arms, key) });
    }
    for (n, scenario) in outcome.scenario_names.iter().enumerate() {
        let bands = || arms.iter().map(|arm| (arm.name.as_str(), &arm.bands[n])).collect();
        charts.push(Chart {
            name: format!("over-time-{}", n + 1),
            title: format!("{scenario}: service by second, mean and the middle 80 of 100 runs"),
            kind: ChartKind::OverTime(bands()),
        });
        charts.push(Chart {
            name: format!("moves-{}", n + 1),
            title: format!("{scenario}: moves of slices by second, mean"),
            kind: ChartKind::Moves(bands()),
        });
    }
    charts.push(Chart {
        name: "loads".into(),
        title: "Hosts by load, the most loaded first, mean over runs".into(),
        kind: ChartKind::Loads(arms),
    });
    for (n, arm) in arms.iter().enumerate().skip(1).filter(|(_, arm)| !arm.runs.is_empty()) {
        let first = &outcome.arms[0];
        charts.push(Chart {
            name: format!("difference-{n}"),
            title: format!("{} less {}, by seed", arm.name, first.name),
            kind: ChartKind::BySeed(first, arm),
        });
        if outcome.scenario_names.len() > 1 {
            charts.push(Chart {
                name: format!("difference-by-day-{n}"),
                title: format!("{} less {}, by day, with 95 % intervals", arm.name, first.name),
                kind: ChartKind::ByScenario(arm, &outcome.scenario_names),
            });
        }
    }
    charts
}

/// Registers the built-in font, since the machine may have none.
fn register_chart_font() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        for style in [FontStyle::Normal, FontStyle::Bold] {
            let _ = register_font("sans-serif", style, UBUNTU_LIGHT);
        }
    });
}

impl Chart<'_> {
    pub fn svg(&self) -> Result<String, ChartError> {
        register_chart_font();
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE_PIXELS).into_drawing_area();
            self.draw(&area)?;
        }
        Ok(svg)
    }

    pub fn save_png(&self, path: &Path) -> Result<(), ChartError> {
        register_chart_font();
        let area = BitMapBackend::new(path, SIZE_PIXELS).into_drawing_area();
        self.draw(&area)
    }

    fn draw<DB: DrawingBackend>(&self, area: &DrawingArea<DB, Shift>) -> Result<(), ChartError>
    where
        DB::ErrorType: 'static,
    {
        area.fill(&WHITE)?;
        match &self.kind {
            ChartKind::Service(arms) => {
                let points = arms.iter().map(|arm| (arm.name.as_str(), arm.service));
                draw_intervals(area, &points.collect::<Vec<_>>(), "service")
            }
            ChartKind::ByScenario(arm, scenario_names) => {
                let points =
                    scenario_names.iter().map(String::as_str).zip(arm.difference_by_scenario.iter().copied());
                draw_intervals(area, &points.collect::<Vec<_>>(), "difference of service")
            }
            ChartKind::OverTime(bands) => draw_bands(area, bands),
            ChartKind::Moves(bands) => {
                let lines = bands.iter().map(|(name, band)| (*name, band.moves.as_slice()));
                draw_lines(area, &lines.collect::<Vec<_>>(), ("second of the day", "moves a second"))
            }
            ChartKind::Loads(arms) => {
                let lines = arms.iter().map(|arm| (arm.name.as_str(), arm.loads.as_slice()));
                draw_lines(
                    area,
                    &lines.collect::<Vec<_>>(),
                    ("host, by load", "work asked for over what it can"),
                )
            }
            ChartKind::BySeed(first, arm) => draw_differences_by_seed(area, first, arm),
            ChartKind::Sweep(arms, key) => draw_sweep(area, arms, key),
        }?;
        area.present()?;
        Ok(())
    }
}

/// A range that contains all values, with a margin.
fn axis_range(values: impl Iterator<Item = f64>) -> Range<f64> {
    let (low, high) = values
        .filter(|value| value.is_finite())
        .fold((f64::MAX, f64::MIN), |(low, high), value| (low.min(value), high.max(value)));
    let margin = ((high - low) * AXIS_MARGIN_FRACTION).max(1e-3);
    if low <= high {
        low - margin..high + margin
    } else {
        0.0..1.0
    }
}

fn bounds(estimate: &Estimate) -> [f64; 2] {
    [estimate.low, estimate.high]
}

fn color(n: usize) -> RGBColor {
    let (r, g, b) = Palette99::pick(n).rgb();
    RGBColor(r, g, b)
}

fn draw_intervals<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    points: &[(&str, Estimate)],
    y_label: &str,
) -> Result<(), ChartError>
where
    DB::ErrorType: 'static,
{
    let values = axis_range(points.iter().flat_map(|point| bounds(&point.1)));
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(64)
        .build_cartesian_2d(-0.5..points.len() as f64 - 0.5, values)?;
    let name = |at: &f64| match points.get(at.round() as usize) {
        Some(point) if (at - at.round()).abs() < 0.01 => point.0.to_owned(),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(points.len() * 2 + 1)
        .x_label_formatter(&name)
        .y_desc(y_label)
        .y_label_formatter(&|value| format!("{value:.3}"))
        .draw()?;
    chart.draw_series(points.iter().enumerate().filter(|(_, point)| point.1.mean.is_finite()).map(
        |(n, point)| {
            let Estimate { low, mean, high, .. } = point.1;
            ErrorBar::new_vertical(n as f64, low, mean, high, BLUE.filled(), 14)
        },
    ))?;
    Ok(())
}

fn draw_bands<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    bands: &[(&str, &Band)],
) -> Result<(), ChartError>
where
    DB::ErrorType: 'static,
{
    let seconds = bands.iter().map(|(_, band)| band.mean.len()).max().unwrap_or(1).max(2);
    let values = axis_range(bands.iter().flat_map(|(_, band)| band.low.iter().chain(&band.high).copied()));
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..(seconds - 1) as f64, values)?;
    chart.configure_mesh().x_desc("second of the day").y_label_formatter(&|v| format!("{v:.2}")).draw()?;
    for (n, (name, band)) in bands.iter().enumerate() {
        let color = color(n);
        let low = band.low.iter().enumerate().map(|(second, value)| (second as f64, *value));
        let high = band.high.iter().enumerate().rev().map(|(second, value)| (second as f64, *value));
        chart.draw_series([Polygon::new(low.chain(high).collect::<Vec<_>>(), color.mix(BAND_OPACITY))])?;
        let mean = band.mean.iter().enumerate().map(|(second, value)| (second as f64, *value));
        let drawn = chart.draw_series(LineSeries::new(mean, color.stroke_width(2)))?;
        drawn
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    Ok(())
}

fn draw_lines<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    lines: &[(&str, &[f64])],
    (x_label, y_label): (&str, &str),
) -> Result<(), ChartError>
where
    DB::ErrorType: 'static,
{
    let seconds = lines.iter().map(|(_, line)| line.len()).max().unwrap_or(1).max(2);
    let values = axis_range(lines.iter().flat_map(|(_, line)| line.iter().copied()).chain([0.0]));
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..(seconds - 1) as f64, values)?;
    chart.configure_mesh().x_desc(x_label).y_desc(y_label).draw()?;
    for (n, (name, line)) in lines.iter().enumerate() {
        let color = color(n);
        let points = line.iter().enumerate().map(|(second, value)| (second as f64, *value));
        let drawn = chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
        drawn
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    Ok(())
}

fn draw_differences_by_seed<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    first: &ArmOutcome,
    arm: &ArmOutcome,
) -> Result<(), ChartError>
where
    DB::ErrorType: 'static,
{
    let first_run = |scenario_index: usize, seed: u64| {
        first.runs.iter().find(|run| (run.scenario_index, run.seed) == (scenario_index, seed))
    };
    let points: Vec<(f64, f64)> = (arm.runs.iter())
        .filter_map(|run| {
            Some((run.seed as f64, run.service - first_run(run.scenario_index, run.seed)?.service))
        })
        .collect();
    let seeds = axis_range(points.iter().map(|point| point.0));
    let values = axis_range(points.iter().map(|point| point.1).chain([0.0]));
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(64)
        .build_cartesian_2d(seeds.clone(), values)?;
    chart
        .configure_mesh()
        .x_desc("seed")
        .x_label_formatter(&|seed| format!("{seed:.0}"))
        .y_label_formatter(&|value| format!("{value:+.3}"))
        .draw()?;
    chart.draw_series(LineSeries::new([(seeds.start, 0.0), (seeds.end, 0.0)], BLACK))?;
    chart.draw_series(points.iter().map(|point| Circle::new(*point, 3, BLUE.filled())))?;
    if let Some(difference) = &arm.difference {
        let mean = difference.mean;
        chart.draw_series(LineSeries::new([(seeds.start, mean), (seeds.end, mean)], RED))?;
    }
    Ok(())
}

fn draw_sweep<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    arms: &[ArmOutcome],
    key: &str,
) -> Result<(), ChartError>
where
    DB::ErrorType: 'static,
{
    let arms: Vec<&ArmOutcome> =
        arms.iter().filter(|arm| !arm.swept.is_empty() && arm.service.mean.is_finite()).collect();
    let mut second_values: Vec<Option<f64>> = Vec::new();
    for arm in &arms {
        let second_value = arm.swept.get(1).copied();
        if !second_values.contains(&second_value) {
            second_values.push(second_value);
        }
    }
    let x_range = axis_range(arms.iter().map(|arm| arm.swept[0]));
    let values = axis_range(arms.iter().flat_map(|arm| bounds(&arm.service)));
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(64)
        .build_cartesian_2d(x_range, values)?;
    chart.configure_mesh().x_desc(key).y_label_formatter(&|value| format!("{value:.3}")).draw()?;
    for (n, second_value) in second_values.iter().enumerate() {
        let color = color(n);
        let mut line: Vec<&&ArmOutcome> =
            arms.iter().filter(|arm| arm.swept.get(1).copied() == *second_value).collect();
        line.sort_by(|a, b| a.swept[0].total_cmp(&b.swept[0]));
        let points = line.iter().map(|arm| (arm.swept[0], arm.service.mean));
        let drawn = chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
        if let Some(second_value) = second_value {
            drawn
                .label(second_value.to_string())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        chart.draw_series(line.iter().map(|arm| {
            let Estimate { low, mean, high, .. } = arm.service;
            ErrorBar::new_vertical(arm.swept[0], low, mean, high, color.filled(), 10)
        }))?;
    }
    if second_values.len() > 1 {
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
    }
    Ok(())
}
