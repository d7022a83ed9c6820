//! Errors of runs on real processes.
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a controller's process did not start. The messages of all variants except [`ProcessError::Log`] and
/// [`ProcessError::Logged`] are part of JSON reports.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The log file cannot be created.
    #[error("cannot create the log file {}: {source}", path.display())]
    Log {
        /// Path of the log file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The program cannot be started.
    #[error("{}: {source}", binary.display())]
    Spawn {
        /// Path of the program.
        binary: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The standard output of the process is not available.
    #[error("a steward does not start: no standard output")]
    NoStandardOutput,
    /// The process did not print its addresses within the start timeout.
    #[error("a steward does not start: it says nothing")]
    StartTimeout,
    /// The process exited before it printed its addresses.
    #[error("a steward does not start: it ended")]
    ExitedEarly,
    /// The first line that the process printed does not contain its addresses.
    #[error("a steward does not start: {line:?}: {source}")]
    Addresses {
        /// The line that was printed.
        line: String,
        /// Why the line could not be decoded.
        source: serde_json::Error,
    },
    /// The process did not start; its log file may have the details.
    #[error("{error}; log of the process: {}", log.display())]
    Logged {
        /// Why the process did not start.
        error: Box<ProcessError>,
        /// Path of the log file.
        log: PathBuf,
    },
}

/// Why a run on real processes failed.
#[derive(Debug, Error)]
pub enum HarnessError {
    /// A file or directory of the run cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    File {
        /// Path of the file or directory.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An observation cannot be written to the recording.
    #[error("cannot write an observation to the recording: {0}")]
    Record(#[from] serde_json::Error),
    /// The UDP socket of a link endpoint cannot be opened.
    #[error("cannot open a UDP socket for a link endpoint: {0}")]
    LinkPort(io::Error),
    /// The UDP socket of the observer cannot be opened.
    #[error("cannot open a UDP socket for the observer: {0}")]
    ObserverPort(io::Error),
    /// A controller did not start.
    #[error(transparent)]
    Process(#[from] ProcessError),
}

impl HarnessError {
    /// Returns a function that adds the path of a file or directory to an I/O error.
    pub(super) fn file(path: &std::path::Path) -> impl FnOnce(io::Error) -> HarnessError {
        let path = path.to_owned();
        move |source| HarnessError::File { path, source }
    }
}
