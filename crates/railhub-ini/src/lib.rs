//! INI files, read so that every complaint names the file, the line and what is wrong, and keys that nobody
//! asked for are errors. Owns the text of one file; decides nothing.
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::path::Path;
use std::str::FromStr;
use thiserror::Error;

#[derive(Debug, Error, PartialEq, Eq)]
#[error("{file}:{line}: {what}")]
pub struct Complaint {
    pub file: String,
    pub line: usize,
    pub what: String,
}

/// One file.
pub struct Sheet {
    file: String,
    text: String,
    ini: ini::Ini,
}

/// One section of it, which remembers the keys it was asked for.
pub struct Section<'a> {
    sheet: &'a Sheet,
    pub name: String,
    properties: Option<&'a ini::Properties>,
    asked: RefCell<BTreeSet<String>>,
}

impl Sheet {
    pub fn open(path: &Path) -> Result<Sheet, Complaint> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| Complaint {
            file: file.clone(),
            line: 0,
            what: format!("cannot be read: {e}"),
        })?;
        Sheet::read(&file, &text)
    }

    pub fn read(file: &str, text: &str) -> Result<Sheet, Complaint> {
        let ini = ini::Ini::load_from_str_noescape(text).map_err(|e| Complaint {
            file: file.to_owned(),
            line: e.line + 1,
            what: e.msg.to_string(),
        })?;
        let sheet = Sheet { file: file.to_owned(), text: text.to_owned(), ini };
        sheet.no_twice()?;
        Ok(sheet)
    }

    /// A key or section given twice is a mistake: one of the two would be lost in silence.
    fn no_twice(&self) -> Result<(), Complaint> {
        let mut seen = BTreeSet::new();
        let mut section = String::new();
        for (number, line) in self.text.lines().enumerate() {
            let line = line.trim();
            let name = if let Some(name) = header(line) {
                section = name.to_owned();
                format!("[{section}]")
            } else if let Some(key) = key_of(line) {
                format!("[{section}] {key}")
            } else {
                continue;
            };
            if !seen.insert(name.clone()) {
                return Err(self.complaint_at(number + 1, format!("{name} is given twice")));
            }
        }
        Ok(())
    }

    pub fn section(&self, name: &str) -> Section<'_> {
        Section {
            sheet: self,
            name: name.to_owned(),
            properties: self.ini.section(Some(name)),
            asked: RefCell::default(),
        }
    }

    /// Names of sections, in the order of the file.
    pub fn sections(&self) -> Vec<String> {
        self.ini.sections().flatten().map(str::to_owned).collect()
    }

    /// A digest of all sections and keys but those that are left out; order, blanks and comments do not count.
    pub fn digest(&self, leave_out: impl Fn(&str, &str) -> bool) -> u64 {
        let sections = self.ini.iter().filter_map(|(name, keys)| Some((name?, keys)));
        let lines = sections.flat_map(|(name, keys)| keys.iter().map(move |(key, value)| (name, key, value)));
        let lines: BTreeSet<_> = lines.filter(|(name, key, _)| !leave_out(name, key)).collect();
        let text: String =
            lines.into_iter().map(|(name, key, value)| format!("{name}\n{key}\n{value}\n")).collect();
        xxhash_rust::xxh3::xxh3_64(text.as_bytes())
    }

    /// Complains of a section whose name does not pass.
    pub fn only(&self, known: impl Fn(&str) -> bool) -> Result<(), Complaint> {
        if self.ini.general_section().iter().next().is_some() {
            return Err(self.complaint_at(1, "a key stands before the first [section]"));
        }
        match self.sections().into_iter().find(|name| !known(name)) {
            Some(name) => Err(self.complaint(&name, None, format!("[{name}] is not known"))),
            None => Ok(()),
        }
    }

    fn complaint_at(&self, line: usize, what: impl Display) -> Complaint {
        Complaint { file: self.file.clone(), line, what: what.to_string() }
    }

    fn complaint(&self, section: &str, key: Option<&str>, what: impl Display) -> Complaint {
        self.complaint_at(self.line_of(section, key), what)
    }

    fn line_of(&self, section: &str, key: Option<&str>) -> usize {
        let (mut inside, mut at) = (false, 1);
        for (number, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = header(line) {
                inside = name == section;
                at = if inside { number + 1 } else { at };
            }
            if inside && key.is_some() && key_of(line) == key {
                return number + 1;
            }
        }
        at
    }
}

fn header(line: &str) -> Option<&str> {
    Some(line.strip_prefix('[')?.split(']').next()?.trim())
}

fn key_of(line: &str) -> Option<&str> {
    let is_comment = line.starts_with(';') || line.starts_with('#');
    let (key, _) = line.split_once('=').filter(|_| !is_comment)?;
    Some(key.trim())
}

impl Section<'_> {
    pub fn is_there(&self) -> bool {
        self.properties.is_some()
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        self.asked.borrow_mut().insert(key.to_owned());
        self.properties?.get(key)
    }

    pub fn wrong(&self, key: &str, what: impl Display) -> Complaint {
        self.sheet.complaint(&self.name, Some(key), format!("[{}] {key} {what}", self.name))
    }

    /// A value, or what stands in for it.
    pub fn or<T: FromStr>(&self, key: &str, otherwise: T) -> Result<T, Complaint> {
        match self.text(key) {
            None => Ok(otherwise),
            Some(text) => text.parse().map_err(|_| self.wrong(key, format!("cannot be '{text}'"))),
        }
    }

    pub fn need<T: FromStr>(&self, key: &str) -> Result<T, Complaint> {
        match self.text(key) {
            None => Err(self.wrong(key, "is missing")),
            Some(text) => text.parse().map_err(|_| self.wrong(key, format!("cannot be '{text}'"))),
        }
    }

    /// One of some names; `otherwise` where the key is missing.
    pub fn choice<T: Clone>(&self, key: &str, otherwise: &str, all: &[(&str, T)]) -> Result<T, Complaint> {
        self.chosen(key, self.text(key).unwrap_or(otherwise), all)
    }

    /// Which of some names a part of a value is.
    pub fn chosen<T: Clone>(&self, key: &str, text: &str, all: &[(&str, T)]) -> Result<T, Complaint> {
        let found = all.iter().find(|(name, _)| *name == text).map(|(_, value)| value.clone());
        found.ok_or_else(|| {
            let names: Vec<&str> = all.iter().map(|(name, _)| *name).collect();
            let may = match names.split_last() {
                Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
                _ => names.join(""),
            };
            self.wrong(key, format!("cannot be '{text}': {may}"))
        })
    }

    /// A number from `least` to `most`.
    pub fn within(&self, key: &str, otherwise: f64, least: f64, most: f64) -> Result<f64, Complaint> {
        let value: f64 = self.or(key, otherwise)?;
        if (least..=most).contains(&value) {
            Ok(value)
        } else {
            Err(self.wrong(key, format!("is {value}, it may be {least} to {most}")))
        }
    }

    pub fn need_within(&self, key: &str, least: f64, most: f64) -> Result<f64, Complaint> {
        let value: f64 = self.need(key)?;
        self.within(key, value, least, most)
    }

    pub fn flag(&self, key: &str, otherwise: bool) -> Result<bool, Complaint> {
        match self.text(key) {
            None => Ok(otherwise),
            Some("yes") => Ok(true),
            Some("no") => Ok(false),
            Some(text) => Err(self.wrong(key, format!("cannot be '{text}': yes or no"))),
        }
    }

    pub fn list(&self, key: &str) -> Vec<String> {
        let parts = self.text(key).unwrap_or_default().split(',').map(str::trim);
        parts.filter(|part| !part.is_empty()).map(str::to_owned).collect()
    }

    /// All keys, in the order of the file.
    pub fn keys(&self) -> Vec<String> {
        self.properties.into_iter().flat_map(|all| all.iter().map(|(key, _)| key.to_owned())).collect()
    }

    /// Complains of the first key that nothing asked for.
    pub fn done(&self) -> Result<(), Complaint> {
        let asked = self.asked.borrow();
        let mut keys = self.properties.into_iter().flat_map(|all| all.iter().map(|(key, _)| key));
        match keys.find(|key| !asked.contains(*key)) {
            Some(key) => Err(self.wrong(key, "is not known")),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
