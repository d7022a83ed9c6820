//! What is wrong with a line. The text goes to the bench.
use std::fmt;
use std::io;

/// Why a line cannot be taken.
#[derive(Debug)]
pub enum WireError {
    /// Standard input cannot be read.
    Input(io::Error),
    /// A part of a line is no field.
    MalformedField {
        /// The line's number, from 1.
        line: usize,
        /// The line's name.
        name: String,
        /// The part.
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
        /// What is wrong with it.
        problem: FieldProblem,
    },
}

/// What is wrong with a field.
#[derive(Debug, PartialEq, Eq)]
pub enum FieldProblem {
    /// The line lacks it.
    Missing,
    /// It has this value, which is not possible.
    Invalid(String),
    /// No line has named the instance.
    NoInstanceSelected,
    /// More entries of a list come than it has announced.
    TooManyEntries,
    /// A stored table is of a slice that was not assigned in this batch.
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
