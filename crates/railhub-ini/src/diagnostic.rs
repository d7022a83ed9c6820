//! What is wrong in a file, and where.
use thiserror::Error;

/// One error in a file.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{file}:{line}: {message}")]
pub struct Diagnostic {
    /// The file, as it was named.
    pub file: String,
    /// The line, from 1; 0 where the file cannot be read.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}
