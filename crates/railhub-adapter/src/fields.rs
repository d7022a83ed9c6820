//! One line of the wire: a name, then name=value pairs.
use std::fmt::Display;
use std::str::FromStr;

pub struct Line<'a> {
    pub name: &'a str,
    number: usize,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    pub fn read(text: &'a str, number: usize) -> Result<Line<'a>, String> {
        let mut parts = text.split(' ').filter(|part| !part.is_empty());
        let name = parts.next().unwrap_or_default();
        let mut pairs = Vec::new();
        for part in parts {
            match part.split_once('=') {
                Some(pair) => pairs.push(pair),
                None => return Err(format!("line {number} ({name}): '{part}' is not name=value")),
            }
        }
        Ok(Line { name, number, pairs })
    }

    pub fn maybe(&self, field: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(name, _)| *name == field).map(|(_, value)| *value)
    }

    pub fn text(&self, field: &str) -> Result<&'a str, String> {
        self.maybe(field).ok_or_else(|| self.wrong(field, "is missing"))
    }

    pub fn get<T: FromStr>(&self, field: &str) -> Result<T, String> {
        let value = self.text(field)?;
        value.parse().map_err(|_| self.wrong(field, format!("cannot be '{value}'")))
    }

    /// A number that is finite and not below 0.
    pub fn amount(&self, field: &str) -> Result<f64, String> {
        let value: f64 = self.get(field)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.wrong(field, format!("cannot be '{value}'")))
        }
    }

    /// Microseconds, as seconds.
    pub fn seconds(&self, field: &str) -> Result<f64, String> {
        Ok(self.get::<u64>(field)? as f64 / 1e6)
    }

    pub fn flag(&self, field: &str) -> Result<bool, String> {
        match self.text(field)? {
            "1" | "true" => Ok(true),
            "0" | "false" => Ok(false),
            other => Err(self.wrong(field, format!("cannot be '{other}'"))),
        }
    }

    pub fn host(&self) -> Result<railhub::HostId, String> {
        let name = self.text("host")?;
        railhub::HostId::new(name).ok_or_else(|| self.wrong("host", format!("cannot be '{name}'")))
    }

    pub fn wrong(&self, field: &str, what: impl Display) -> String {
        format!("line {} ({}): field {field} {what}", self.number, self.name)
    }
}
