//! Errors in an INI file, with file name and line number.
use thiserror::Error;

/// An error in an INI file.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{file}:{line}: {message}")]
pub struct Diagnostic {
    /// Name of the file, as given by the caller.
    pub file: String,
    /// Line number, starting at 1; 0 if the file cannot be read.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}
