//! Writes an outcome to a folder: tables, charts, the page, and the outcome so far while the experiment runs.
use crate::charts::{all_charts, ChartError};
use crate::outcome::Outcome;
use crate::page::page;
use crate::report::{arms_csv, loads_csv, over_time_csv, runs_csv};
use std::fs;
use std::path::Path;

/// File with the outcome so far, which the dashboard reads.
pub const OUTCOME_FILE: &str = "outcome.json";

/// Writes the outcome after a stage; the file is replaced atomically, so that readers never see a part of it.
pub fn write_stage(folder: &Path, outcome: &Outcome) -> Result<(), ChartError> {
    fs::create_dir_all(folder)?;
    let (temporary, target) = (folder.join("outcome.part"), folder.join(OUTCOME_FILE));
    fs::write(&temporary, serde_json::to_vec(outcome)?)?;
    fs::rename(temporary, target)?;
    Ok(())
}

/// Writes the outcome of a finished experiment with its tables, page and charts.
pub fn write(folder: &Path, outcome: &Outcome) -> Result<(), ChartError> {
    write_stage(folder, outcome)?;
    fs::write(folder.join("runs.csv"), runs_csv(outcome))?;
    fs::write(folder.join("arms.csv"), arms_csv(outcome))?;
    fs::write(folder.join("over-time.csv"), over_time_csv(outcome))?;
    fs::write(folder.join("loads.csv"), loads_csv(outcome))?;
    fs::write(folder.join("report.html"), page(outcome)?)?;
    let charts = folder.join("charts");
    fs::create_dir_all(&charts)?;
    for chart in all_charts(outcome) {
        fs::write(charts.join(format!("{}.svg", chart.name)), chart.svg()?)?;
        chart.save_png(&charts.join(format!("{}.png", chart.name)))?;
    }
    Ok(())
}
