//! Errors of an external engine.
//!
//! An experiment stores the text of an [`EngineError`] in its `outcome.json`, so the texts here and in
//! [`WireError`] must not change.
use crate::wire::WireError;
use std::path::Path;
use std::sync::{Arc, Mutex};
use thiserror::Error;

/// An error after which the engine cannot be used any longer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the version {program}: {cause}")]
pub struct EngineError {
    /// Path of the program.
    pub program: String,
    /// Cause of the failure.
    pub cause: EngineErrorCause,
}

impl EngineError {
    pub(super) fn new(program: &Path, cause: EngineErrorCause) -> EngineError {
        EngineError { program: program.display().to_string(), cause }
    }
}

/// Why an engine failed. Operating system errors are kept as text, so that a cause can be cloned and compared.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum EngineErrorCause {
    /// The process cannot be started.
    #[error("cannot be started: {0}")]
    Start(String),
    /// The standard input of the process is not available.
    #[error("has no input")]
    NoInput,
    /// The standard output of the process is not available.
    #[error("has no output")]
    NoOutput,
    /// The batch could not be sent, because the process has not read the earlier ones or has closed its input, and it
    /// has written nothing since.
    #[error("does not read")]
    InputNotRead,
    /// The batch could not be sent, as with [`EngineErrorCause::InputNotRead`]; the last line that the process wrote.
    #[error("{0}")]
    LastLine(String),
    /// The reply was not complete within the timeout, in seconds.
    #[error("gave no answer for {0} s")]
    Timeout(String),
    /// The process has closed its output, usually because it has exited.
    #[error("ended")]
    OutputClosed,
    /// The output of the process cannot be read.
    #[error("{0}")]
    Read(String),
    /// A line of the reply cannot be applied.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Holds the first error of an engine, for the code that runs the simulation; `None` while the engine works.
pub type EngineErrorSlot = Arc<Mutex<Option<EngineError>>>;
