//! A section of an INI file, with typed access to its keys.
use crate::diagnostic::Diagnostic;
use crate::document::Document;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::str::FromStr;

/// A section of an INI file. It records which keys are read, so that unknown keys can be rejected.
pub struct Section<'a> {
    document: &'a Document,
    /// Name of the section, without brackets.
    pub name: String,
    properties: Option<&'a ini::Properties>,
    read_keys: RefCell<BTreeSet<String>>,
}

impl Document {
    /// The section with this name; empty if the file does not have it.
    pub fn section(&self, name: &str) -> Section<'_> {
        Section {
            document: self,
            name: name.to_owned(),
            properties: self.ini.section(Some(name)),
            read_keys: RefCell::default(),
        }
    }
}

impl Section<'_> {
    /// Whether the file has this section.
    pub fn exists(&self) -> bool {
        self.properties.is_some()
    }

    /// Value of a key as text; `None` if the key is missing. Records the key as read.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.read_keys.borrow_mut().insert(key.to_owned());
        self.properties?.get(key)
    }

    /// Creates a diagnostic with the line number of a key.
    pub fn diagnostic(&self, key: &str, message: impl Display) -> Diagnostic {
        self.document.diagnostic(&self.name, Some(key), format!("[{}] {key} {message}", self.name))
    }

    fn parse<T: FromStr>(&self, key: &str, text: &str) -> Result<T, Diagnostic> {
        text.parse().map_err(|_| self.diagnostic(key, format!("cannot be '{text}'")))
    }

    /// Value of a key, or `default` if the key is missing.
    ///
    /// # Errors
    /// If the value cannot be parsed.
    pub fn value_or<T: FromStr>(&self, key: &str, default: T) -> Result<T, Diagnostic> {
        match self.text(key) {
            None => Ok(default),
            Some(text) => self.parse(key, text),
        }
    }

    /// Value of a required key.
    ///
    /// # Errors
    /// If the key is missing or its value cannot be parsed.
    pub fn required<T: FromStr>(&self, key: &str) -> Result<T, Diagnostic> {
        match self.text(key) {
            None => Err(self.diagnostic(key, "is missing")),
            Some(text) => self.parse(key, text),
        }
    }

    /// The one of `choices` that a key's value names, or that `default` names if the key is missing.
    ///
    /// # Errors
    /// If no choice has that name.
    pub fn choice<T: Clone>(&self, key: &str, default: &str, choices: &[(&str, T)]) -> Result<T, Diagnostic> {
        self.parse_choice(key, self.text(key).unwrap_or(default), choices)
    }

    /// The one of `choices` that `text` names, which is the value of `key` or a part of it.
    ///
    /// # Errors
    /// If no choice has that name.
    pub fn parse_choice<T: Clone>(
        &self,
        key: &str,
        text: &str,
        choices: &[(&str, T)],
    ) -> Result<T, Diagnostic> {
        if let Some((_, value)) = choices.iter().find(|(name, _)| *name == text) {
            return Ok(value.clone());
        }
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let allowed = match names.split_last() {
            Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
            _ => names.join(""),
        };
        Err(self.diagnostic(key, format!("cannot be '{text}', expected {allowed}")))
    }

    /// A number from `min` to `max`, both inclusive, or `default` if the key is missing.
    ///
    /// # Errors
    /// If the value is not a number or is out of range.
    pub fn in_range(&self, key: &str, default: f64, min: f64, max: f64) -> Result<f64, Diagnostic> {
        let value: f64 = self.value_or(key, default)?;
        if (min..=max).contains(&value) {
            Ok(value)
        } else {
            Err(self.diagnostic(key, format!("is {value}, expected {min} to {max}")))
        }
    }

    /// A required number from `min` to `max`, both inclusive.
    ///
    /// # Errors
    /// If the key is missing, or its value is not a number or is out of range.
    pub fn required_in_range(&self, key: &str, min: f64, max: f64) -> Result<f64, Diagnostic> {
        let value: f64 = self.required(key)?;
        self.in_range(key, value, min, max)
    }

    /// True for the value `yes`, false for `no`, or `default` if the key is missing.
    ///
    /// # Errors
    /// If the value is neither `yes` nor `no`.
    pub fn flag(&self, key: &str, default: bool) -> Result<bool, Diagnostic> {
        match self.text(key) {
            None => Ok(default),
            Some("yes") => Ok(true),
            Some("no") => Ok(false),
            Some(text) => Err(self.diagnostic(key, format!("cannot be '{text}', expected yes or no"))),
        }
    }

    /// The comma-separated parts of a key's value, trimmed and without empty ones; empty if the key is missing.
    pub fn list(&self, key: &str) -> Vec<String> {
        let parts = self.text(key).unwrap_or_default().split(',').map(str::trim);
        parts.filter(|part| !part.is_empty()).map(str::to_owned).collect()
    }

    fn present_keys(&self) -> impl Iterator<Item = &str> {
        self.properties.into_iter().flat_map(|properties| properties.iter().map(|(key, _)| key))
    }

    /// Names of all keys, in the order of the file.
    pub fn keys(&self) -> Vec<String> {
        self.present_keys().map(str::to_owned).collect()
    }

    /// Checks that each key was read.
    ///
    /// # Errors
    /// For the first key that was not read, which is therefore unknown.
    pub fn reject_unread_keys(&self) -> Result<(), Diagnostic> {
        let read_keys = self.read_keys.borrow();
        match self.present_keys().find(|key| !read_keys.contains(*key)) {
            Some(key) => Err(self.diagnostic(key, "is not known")),
            None => Ok(()),
        }
    }
}
