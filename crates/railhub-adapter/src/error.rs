//! Errors in the input. Their texts are sent to the test bench.
use std::fmt;
use std::io;

/// Why a line of input is rejected.
#[derive(Debug)]
pub enum WireError {
    /// Reading from standard input failed.
    Input(io::Error),
    /// A part of a line is not of the form name=value.
    MalformedField {
        /// The line's number, from 1.
        line: usize,
        /// The line's name.
        name: String,
        /// The malformed part.
        part: String,
    },
    /// A field is missing or has an invalid value.
    Field {
        /// The line's number, from 1.
        line: usize,
        /// The line's name.
        name: String,
        /// The field's name.
        field: String,
        /// The problem with the field.
        problem: FieldProblem,
    },
}

/// The problem with a field.
#[derive(Debug, PartialEq, Eq)]
pub enum FieldProblem {
    /// The line does not have the field.
    Missing,
    /// The field has this value, which is invalid.
    Invalid(String),
    /// No line before has selected an instance.
    NoInstanceSelected,
    /// An endpoint list has more entries than announced.
    TooManyEntries,
    /// The slice of a stored table was not assigned in this batch.
    SliceNotAssigned,
}

impl fmt::Display for WireError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            WireError::Input(error) => write!(out, "standard input: {error}"),
            WireError::MalformedField { line, name, part } => {
                write!(out, "line {line} ({name}): '{part}' is not name=value")
            }
            WireError::Field { line, name, field, problem } => {
                write!(out, "line {line} ({name}): field {field} {problem}")
            }
        }
    }
}

impl std::error::Error for WireError {}

impl fmt::Display for FieldProblem {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FieldProblem::Missing => out.write_str("is missing"),
            FieldProblem::Invalid(value) => write!(out, "cannot be '{value}'"),
            FieldProblem::NoInstanceSelected => out.write_str("is missing: no AT came before"),
            FieldProblem::TooManyEntries => out.write_str("names fewer entries"),
            FieldProblem::SliceNotAssigned => out.write_str("was not given in this batch"),
        }
    }
}
