//! Owns the errors of the dashboard.
use railhub_record::RecordError;
use std::io;
use thiserror::Error;

/// Why the dashboard cannot show something.
#[derive(Debug, Error)]
pub enum DashboardError {
    /// The recording cannot be read.
    #[error(transparent)]
    Recording(#[from] RecordError),
    /// The experiment's outcome cannot be read.
    #[error("{file}: {source}")]
    ReadOutcome {
        /// The file's name.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// The experiment's outcome is no JSON.
    #[error("{file}: {source}")]
    ParseOutcome {
        /// The file's name.
        file: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// The terminal cannot be set up, drawn to or read from.
    #[error(transparent)]
    Terminal(#[from] io::Error),
}
