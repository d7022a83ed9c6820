//! One line of the wire protocol: a name followed by fields of the form name=value, separated by spaces.
use crate::error::{FieldProblem, WireError};
use railhub::{HostId, Seconds};
use std::str::FromStr;

/// Microseconds in a second: the wire protocol gives times in whole microseconds.
const MICROS_PER_SECOND: f64 = 1e6;

/// A line and its fields.
pub struct WireLine<'a> {
    /// The line's name; empty for an empty line.
    pub name: &'a str,
    number: usize,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> WireLine<'a> {
    /// Parses a line. `number` is its number, starting at 1.
    ///
    /// # Errors
    /// A part of the line is not of the form name=value.
    pub fn parse(text: &'a str, number: usize) -> Result<WireLine<'a>, WireError> {
        let mut parts = text.split(' ').filter(|part| !part.is_empty());
        let name = parts.next().unwrap_or_default();
        let mut fields = Vec::new();
        for part in parts {
            let Some(field) = part.split_once('=') else {
                let (name, part) = (name.to_owned(), part.to_owned());
                return Err(WireError::MalformedField { line: number, name, part });
            };
            fields.push(field);
        }
        Ok(WireLine { name, number, fields })
    }

    /// The text of a field, if the line has the field.
    pub fn optional(&self, field: &str) -> Option<&'a str> {
        self.fields.iter().find(|(name, _)| *name == field).map(|(_, value)| *value)
    }

    /// The text of a field.
    pub fn text(&self, field: &str) -> Result<&'a str, WireError> {
        self.optional(field).ok_or_else(|| self.error(field, FieldProblem::Missing))
    }

    /// The parsed value of a field.
    pub fn value<T: FromStr>(&self, field: &str) -> Result<T, WireError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| self.invalid(field, text))
    }

    /// The value of a field that must be a finite number, at least 0.
    pub fn non_negative(&self, field: &str) -> Result<f64, WireError> {
        let value: f64 = self.value(field)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid(field, &value.to_string()))
        }
    }

    /// The value in seconds of a field that is in whole microseconds.
    pub fn seconds(&self, field: &str) -> Result<Seconds, WireError> {
        Ok(self.value::<u64>(field)? as f64 / MICROS_PER_SECOND)
    }

    /// The value of a boolean field.
    pub fn flag(&self, field: &str) -> Result<bool, WireError> {
        match self.text(field)? {
            "1" | "true" => Ok(true),
            "0" | "false" => Ok(false),
            other => Err(self.invalid(field, other)),
        }
    }

    /// The host that the line refers to.
    pub fn host(&self) -> Result<HostId, WireError> {
        let name = self.text("host")?;
        HostId::new(name).ok_or_else(|| self.invalid("host", name))
    }

    /// Creates the error for a problem with a field.
    pub fn error(&self, field: &str, problem: FieldProblem) -> WireError {
        let (name, field) = (self.name.to_owned(), field.to_owned());
        WireError::Field { line: self.number, name, field, problem }
    }

    /// Creates the error for an invalid value of a field.
    pub fn invalid(&self, field: &str, value: &str) -> WireError {
        self.error(field, FieldProblem::Invalid(value.to_owned()))
    }
}
