//! One self-contained page of an experiment: figures, service by arm with its interval, differences seed by seed.
use crate::report::words;
use crate::stats::Estimate;
use crate::trial::{ArmOutcome, Outcome};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;
use std::ops::Range;

/// Points of a chart, across and down.
const SIZE: (u32, u32) = (760, 320);
/// Part of the span left free above and below what is drawn.
const MARGIN: f64 = 0.08;

type Fault = Box<dyn Error + Send + Sync>;

/// The page, HTML with the charts inside.
pub fn page(outcome: &Outcome) -> Result<String, Fault> {
    let mut out = format!(
        "<!doctype html>\n<meta charset=\"utf-8\">\n<title>{0}</title>\n<h1>{0}</h1>\n<pre>{1}</pre>\n",
        escaped(&outcome.experiment),
        escaped(&words(outcome))
    );
    out.push_str("<h2>Service by arm, mean with its 95 % interval</h2>\n");
    out.push_str(&drawn(|area| by_arm(area, &outcome.arms))?);
    for arm in outcome.arms.iter().skip(1) {
        let first = &outcome.arms[0];
        out.push_str(&format!("<h2>{} less {}, by seed</h2>\n", escaped(&arm.name), escaped(&first.name)));
        out.push_str(&drawn(|area| by_seed(area, first, arm))?);
    }
    Ok(out)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn drawn(draw: impl FnOnce(&Area) -> Result<(), Fault>) -> Result<String, Fault> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        area.present()?;
    }
    Ok(svg)
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

fn by_arm(area: &Area, arms: &[ArmOutcome]) -> Result<(), Fault> {
    let ends = |estimate: &Estimate| [estimate.low, estimate.high];
    let values = span(arms.iter().flat_map(|arm| ends(&arm.service)));
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(64)
        .build_cartesian_2d(-0.5..arms.len() as f64 - 0.5, values)?;
    let name = |at: &f64| match arms.get(at.round() as usize) {
        Some(arm) if (at - at.round()).abs() < 0.01 => arm.name.clone(),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(arms.len() * 2 + 1)
        .x_label_formatter(&name)
        .y_label_formatter(&|value| format!("{value:.3}"))
        .draw()?;
    chart.draw_series(arms.iter().enumerate().map(|(n, arm)| {
        let Estimate { low, mean, high, .. } = arm.service;
        ErrorBar::new_vertical(n as f64, low, mean, high, BLUE.filled(), 14)
    }))?;
    Ok(())
}

fn by_seed(area: &Area, first: &ArmOutcome, arm: &ArmOutcome) -> Result<(), Fault> {
    let pairs = first.runs.iter().zip(&arm.runs);
    let points: Vec<(f64, f64)> = pairs.map(|(a, b)| (a.seed as f64, b.service - a.service)).collect();
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
