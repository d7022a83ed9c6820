//! Errors of the dashboard.
use railhub_record::RecordError;
use std::io;
use thiserror::Error;

/// Reason why the dashboard cannot show a recording or an experiment.
#[derive(Debug, Error)]
pub enum DashboardError {
    /// The recording cannot be read.
    #[error(transparent)]
    Recording(#[from] RecordError),
    /// The outcome file of the experiment cannot be read.
    #[error("{file}: cannot read the experiment's outcome: {source}")]
    ReadOutcome {
        /// Path of the file.
        file: String,
        /// Error reported by the operating system.
        source: io::Error,
    },
    /// The outcome file of the experiment is not valid JSON.
    #[error("{file}: the experiment's outcome is not valid JSON: {source}")]
    ParseOutcome {
        /// Path of the file.
        file: String,
        /// Error reported by the JSON parser.
        source: serde_json::Error,
    },
    /// The terminal cannot be set up, drawn to or read from.
    #[error(transparent)]
    Terminal(#[from] io::Error),
}
