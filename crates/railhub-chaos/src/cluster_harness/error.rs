//! Why a run on real processes could not be played.
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a controller's process did not start.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The log cannot be written.
    #[error("{}: {source}", path.display())]
    Log {
        /// The log's path.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The program cannot be run.
    #[error("{}: {source}", binary.display())]
    Spawn {
        /// The program's path.
        binary: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The process has no standard output.
    #[error("a steward does not start: no standard output")]
    NoStandardOutput,
    /// The process did not print its addresses in time.
    #[error("a steward does not start: it says nothing")]
    StartTimeout,
    /// The process ended before it printed its addresses.
    #[error("a steward does not start: it ended")]
    ExitedEarly,
    /// The first line that the process printed does not hold its addresses.
    #[error("a steward does not start: {line:?}: {source}")]
    Addresses {
        /// The line.
        line: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The process did not start; its log has the details.
    #[error("{error}; its log: {}", log.display())]
    Logged {
        /// Why.
        error: Box<ProcessError>,
        /// The log's path.
        log: PathBuf,
    },
}

/// Why a run on real processes could not be played.
#[derive(Debug, Error)]
pub enum HarnessError {
    /// A file or folder of the run cannot be written.
    #[error("{}: {source}", path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// An observation cannot be recorded.
    #[error("{0}")]
    Record(#[from] serde_json::Error),
    /// No port is free for a link.
    #[error("no port for a link: {0}")]
    LinkPort(io::Error),
    /// No port is free for the observer.
    #[error("no port to look from: {0}")]
    ObserverPort(io::Error),
    /// A controller did not start.
    #[error(transparent)]
    Process(#[from] ProcessError),
}

impl HarnessError {
    /// Names the path of a file that cannot be written.
    pub(super) fn file(path: &std::path::Path) -> impl FnOnce(io::Error) -> HarnessError {
        let path = path.to_owned();
        move |source| HarnessError::File { path, source }
    }
}
