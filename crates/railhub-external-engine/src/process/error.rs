//! Owns the errors of an engine.
use crate::wire::WireError;
use std::path::Path;
use std::sync::{Arc, Mutex};
use thiserror::Error;

/// An engine that cannot be used any longer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the version {program}: {cause}")]
pub struct EngineError {
    /// Path of the program.
    pub program: String,
    /// What went wrong.
    pub cause: EngineErrorCause,
}

impl EngineError {
    pub(super) fn new(program: &Path, cause: EngineErrorCause) -> EngineError {
        EngineError { program: program.display().to_string(), cause }
    }
}

/// What went wrong with an engine. Errors of the operating system are kept as text, so that a cause can be cloned.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EngineErrorCause {
    /// The process cannot be started.
    #[error("cannot be started: {0}")]
    Start(String),
    /// Its standard input is not available.
    #[error("has no input")]
    NoInput,
    /// Its standard output is not available.
    #[error("has no output")]
    NoOutput,
    /// It has not read the batch before and has written nothing.
    #[error("does not read")]
    InputNotRead,
    /// Its input is closed or full; the last line that it wrote.
    #[error("{0}")]
    LastLine(String),
    /// It has not replied within the timeout, in seconds.
    #[error("gave no answer for {0} s")]
    Timeout(String),
    /// It has closed its output.
    #[error("ended")]
    OutputClosed,
    /// Its output cannot be read.
    #[error("{0}")]
    Read(String),
    /// A line of its reply cannot be applied.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Where the owner of a run finds the first error of its engine.
pub type EngineErrorSlot = Arc<Mutex<Option<EngineError>>>;
