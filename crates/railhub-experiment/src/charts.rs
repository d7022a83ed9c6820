//! The charts of an experiment. Each is a [`Picture`]: what it shows, apart from how it is kept, as SVG or PNG.
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

/// Points of a chart, across and down.
const SIZE: (u32, u32) = (760, 340);
/// Part of the span left free above and below what is drawn.
const MARGIN: f64 = 0.08;
/// How much of a band's colour is seen through.
const BAND_MIX: f64 = 0.15;
/// Arms that one chart can tell apart; more have no place in it.
const ARMS_MOST: usize = 8;

pub type Fault = Box<dyn Error + Send + Sync>;

/// A chart that can be drawn.
pub struct Picture<'a> {
    /// A file's name, without its ending.
    pub name: String,
    pub title: String,
    what: What<'a>,
}

enum What<'a> {
    Service(&'a [ArmOutcome]),
    OverTime(Vec<(&'a str, &'a Band)>),
    Moves(Vec<(&'a str, &'a Band)>),
    Loads(&'a [ArmOutcome]),
    BySeed(&'a ArmOutcome, &'a ArmOutcome),
    ByDay(&'a ArmOutcome, &'a [String]),
    Sweep(&'a [ArmOutcome], &'a str),
}

/// All charts of an outcome, in the order of a report.
pub fn pictures(outcome: &Outcome) -> Vec<Picture<'_>> {
    let arms = &outcome.arms[..outcome.arms.len().min(ARMS_MOST)];
    let mut all = vec![Picture {
        name: "service".into(),
        title: "Service by arm, mean with its 95 % interval".into(),
        what: What::Service(arms),
    }];
    if let Some(key) = outcome.sweep.first() {
        let title = match outcome.sweep.get(1) {
            Some(second) => format!("Service by {key}, a line for each {second}"),
            None => format!("Service by {key}"),
        };
        all.push(Picture { name: "sweep".into(), title, what: What::Sweep(&outcome.arms, key) });
    }
    for (n, day) in outcome.days.iter().enumerate() {
        let bands = || arms.iter().map(|arm| (arm.name.as_str(), &arm.bands[n])).collect();
        all.push(Picture {
            name: format!("over-time-{}", n + 1),
            title: format!("{day}: service by second, mean and the middle 80 of 100 runs"),
            what: What::OverTime(bands()),
        });
        all.push(Picture {
            name: format!("moves-{}", n + 1),
            title: format!("{day}: moves of slices by second, mean"),
            what: What::Moves(bands()),
        });
    }
    all.push(Picture {
        name: "loads".into(),
        title: "Hosts by load, the most loaded first, mean over runs".into(),
        what: What::Loads(arms),
    });
    for (n, arm) in arms.iter().enumerate().skip(1).filter(|(_, arm)| !arm.runs.is_empty()) {
        let first = &outcome.arms[0];
        all.push(Picture {
            name: format!("difference-{n}"),
            title: format!("{} less {}, by seed", arm.name, first.name),
            what: What::BySeed(first, arm),
        });
        if outcome.days.len() > 1 {
            all.push(Picture {
                name: format!("difference-by-day-{n}"),
                title: format!("{} less {}, by day, with 95 % intervals", arm.name, first.name),
                what: What::ByDay(arm, &outcome.days),
            });
        }
    }
    all
}

/// Machines need not have any font: the one that is drawn with comes along.
fn with_font() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        for style in [FontStyle::Normal, FontStyle::Bold] {
            let _ = register_font("sans-serif", style, UBUNTU_LIGHT);
        }
    });
}

impl Picture<'_> {
    pub fn svg(&self) -> Result<String, Fault> {
        with_font();
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            self.draw(&area)?;
        }
        Ok(svg)
    }

    pub fn save_png(&self, path: &Path) -> Result<(), Fault> {
        with_font();
        let area = BitMapBackend::new(path, SIZE).into_drawing_area();
        self.draw(&area)
    }

    fn draw<DB: DrawingBackend>(&self, area: &DrawingArea<DB, Shift>) -> Result<(), Fault>
    where
        DB::ErrorType: 'static,
    {
        area.fill(&WHITE)?;
        match &self.what {
            What::Service(arms) => {
                let points = arms.iter().map(|arm| (arm.name.as_str(), arm.service));
                intervals(area, &points.collect::<Vec<_>>(), "service")
            }
            What::ByDay(arm, days) => {
                let points = days.iter().map(String::as_str).zip(arm.difference_by_day.iter().copied());
                intervals(area, &points.collect::<Vec<_>>(), "difference of service")
            }
            What::OverTime(bands) => over_time(area, bands),
            What::Moves(bands) => {
                let lines = bands.iter().map(|(name, band)| (*name, band.moves.as_slice()));
                lines_of(area, &lines.collect::<Vec<_>>(), ("second of the day", "moves a second"))
            }
            What::Loads(arms) => {
                let lines = arms.iter().map(|arm| (arm.name.as_str(), arm.loads.as_slice()));
                lines_of(
                    area,
                    &lines.collect::<Vec<_>>(),
                    ("host, by load", "work asked for over what it can"),
                )
            }
            What::BySeed(first, arm) => by_seed(area, first, arm),
            What::Sweep(arms, key) => sweep(area, arms, key),
        }?;
        area.present()?;
        Ok(())
    }
}

/// A span that holds all values with some room.
fn span(values: impl Iterator<Item = f64>) -> Range<f64> {
    let (low, high) = values
        .filter(|value| value.is_finite())
        .fold((f64::MAX, f64::MIN), |(low, high), value| (low.min(value), high.max(value)));
    let room = ((high - low) * MARGIN).max(1e-3);
    if low <= high {
        low - room..high + room
    } else {
        0.0..1.0
    }
}

fn ends(estimate: &Estimate) -> [f64; 2] {
    [estimate.low, estimate.high]
}

fn colour(n: usize) -> RGBColor {
    let (r, g, b) = Palette99::pick(n).rgb();
    RGBColor(r, g, b)
}

fn intervals<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    points: &[(&str, Estimate)],
    what: &str,
) -> Result<(), Fault>
where
    DB::ErrorType: 'static,
{
    let values = span(points.iter().flat_map(|point| ends(&point.1)));
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
        .y_desc(what)
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

fn over_time<DB: DrawingBackend>(area: &DrawingArea<DB, Shift>, bands: &[(&str, &Band)]) -> Result<(), Fault>
where
    DB::ErrorType: 'static,
{
    let steps = bands.iter().map(|(_, band)| band.mean.len()).max().unwrap_or(1).max(2);
    let values = span(bands.iter().flat_map(|(_, band)| band.low.iter().chain(&band.high).copied()));
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..(steps - 1) as f64, values)?;
    chart.configure_mesh().x_desc("second of the day").y_label_formatter(&|v| format!("{v:.2}")).draw()?;
    for (n, (name, band)) in bands.iter().enumerate() {
        let colour = colour(n);
        let low = band.low.iter().enumerate().map(|(step, value)| (step as f64, *value));
        let high = band.high.iter().enumerate().rev().map(|(step, value)| (step as f64, *value));
        chart.draw_series([Polygon::new(low.chain(high).collect::<Vec<_>>(), colour.mix(BAND_MIX))])?;
        let mean = band.mean.iter().enumerate().map(|(step, value)| (step as f64, *value));
        let drawn = chart.draw_series(LineSeries::new(mean, colour.stroke_width(2)))?;
        drawn
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    Ok(())
}

fn lines_of<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    lines: &[(&str, &[f64])],
    (across, up): (&str, &str),
) -> Result<(), Fault>
where
    DB::ErrorType: 'static,
{
    let steps = lines.iter().map(|(_, line)| line.len()).max().unwrap_or(1).max(2);
    let values = span(lines.iter().flat_map(|(_, line)| line.iter().copied()).chain([0.0]));
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..(steps - 1) as f64, values)?;
    chart.configure_mesh().x_desc(across).y_desc(up).draw()?;
    for (n, (name, line)) in lines.iter().enumerate() {
        let colour = colour(n);
        let points = line.iter().enumerate().map(|(step, value)| (step as f64, *value));
        let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        drawn
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    Ok(())
}

fn by_seed<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    first: &ArmOutcome,
    arm: &ArmOutcome,
) -> Result<(), Fault>
where
    DB::ErrorType: 'static,
{
    let of_first = |day: usize, seed: u64| first.runs.iter().find(|run| (run.day, run.seed) == (day, seed));
    let points: Vec<(f64, f64)> = (arm.runs.iter())
        .filter_map(|run| Some((run.seed as f64, run.service - of_first(run.day, run.seed)?.service)))
        .collect();
    let seeds = span(points.iter().map(|point| point.0));
    let values = span(points.iter().map(|point| point.1).chain([0.0]));
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

fn sweep<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    arms: &[ArmOutcome],
    key: &str,
) -> Result<(), Fault>
where
    DB::ErrorType: 'static,
{
    let arms: Vec<&ArmOutcome> =
        arms.iter().filter(|arm| !arm.swept.is_empty() && arm.service.mean.is_finite()).collect();
    let mut seconds: Vec<Option<f64>> = Vec::new();
    for arm in &arms {
        let second = arm.swept.get(1).copied();
        if !seconds.contains(&second) {
            seconds.push(second);
        }
    }
    let across = span(arms.iter().map(|arm| arm.swept[0]));
    let values = span(arms.iter().flat_map(|arm| ends(&arm.service)));
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(64)
        .build_cartesian_2d(across, values)?;
    chart.configure_mesh().x_desc(key).y_label_formatter(&|value| format!("{value:.3}")).draw()?;
    for (n, second) in seconds.iter().enumerate() {
        let colour = colour(n);
        let mut line: Vec<&&ArmOutcome> =
            arms.iter().filter(|arm| arm.swept.get(1).copied() == *second).collect();
        line.sort_by(|a, b| a.swept[0].total_cmp(&b.swept[0]));
        let points = line.iter().map(|arm| (arm.swept[0], arm.service.mean));
        let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        if let Some(second) = second {
            drawn
                .label(second.to_string())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart.draw_series(line.iter().map(|arm| {
            let Estimate { low, mean, high, .. } = arm.service;
            ErrorBar::new_vertical(arm.swept[0], low, mean, high, colour.filled(), 10)
        }))?;
    }
    if seconds.len() > 1 {
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
    }
    Ok(())
}
