//! Keeps an outcome in a folder: tables, charts, the page, and while it runs, how far it is.
use crate::charts::{pictures, Fault};
use crate::outcome::Outcome;
use crate::page::page;
use crate::report::{arms_csv, loads_csv, over_time_csv, runs_csv};
use std::fs;
use std::path::Path;

/// What a watcher reads while the experiment runs, and after.
pub const OUTCOME: &str = "outcome.json";

/// After each stage: the outcome so far, whole or not at all.
pub fn write_stage(folder: &Path, outcome: &Outcome) -> Result<(), Fault> {
    fs::create_dir_all(folder)?;
    let (fresh, place) = (folder.join("outcome.part"), folder.join(OUTCOME));
    fs::write(&fresh, serde_json::to_vec(outcome)?)?;
    fs::rename(fresh, place)?;
    Ok(())
}

pub fn write(folder: &Path, outcome: &Outcome) -> Result<(), Fault> {
    write_stage(folder, outcome)?;
    fs::write(folder.join("runs.csv"), runs_csv(outcome))?;
    fs::write(folder.join("arms.csv"), arms_csv(outcome))?;
    fs::write(folder.join("over-time.csv"), over_time_csv(outcome))?;
    fs::write(folder.join("loads.csv"), loads_csv(outcome))?;
    fs::write(folder.join("report.html"), page(outcome)?)?;
    let charts = folder.join("charts");
    fs::create_dir_all(&charts)?;
    for picture in pictures(outcome) {
        fs::write(charts.join(format!("{}.svg", picture.name)), picture.svg()?)?;
        picture.save_png(&charts.join(format!("{}.png", picture.name)))?;
    }
    Ok(())
}
