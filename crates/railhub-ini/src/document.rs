//! One file.
use crate::diagnostic::Diagnostic;
use crate::lines;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::path::Path;

/// A parsed file with its text, for the line numbers of diagnostics.
pub struct Document {
    file: String,
    text: String,
    pub(crate) ini: ini::Ini,
}

impl Document {
    /// Reads and parses a file.
    ///
    /// # Errors
    /// The file cannot be read, is no INI file, or gives a section or a key twice.
    pub fn open(path: &Path) -> Result<Document, Diagnostic> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Document::parse(&file, &text),
            Err(error) => Err(Diagnostic { file, line: 0, message: format!("cannot be read: {error}") }),
        }
    }

    /// Parses a text; `file` is its name in diagnostics.
    ///
    /// # Errors
    /// The text is no INI file, or gives a section or a key twice.
    pub fn parse(file: &str, text: &str) -> Result<Document, Diagnostic> {
        let ini = ini::Ini::load_from_str_noescape(text).map_err(|error| Diagnostic {
            file: file.to_owned(),
            line: error.line + 1,
            message: error.msg.to_string(),
        })?;
        let document = Document { file: file.to_owned(), text: text.to_owned(), ini };
        document.reject_duplicates()?;
        Ok(document)
    }

    /// Of a key or section that is given twice one would be ignored silently.
    fn reject_duplicates(&self) -> Result<(), Diagnostic> {
        let mut seen = BTreeSet::new();
        let mut section = String::new();
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            let name = if let Some(header) = lines::section_header(line) {
                section = header.to_owned();
                format!("[{section}]")
            } else if let Some(key) = lines::key(line) {
                format!("[{section}] {key}")
            } else {
                continue;
            };
            if !seen.insert(name.clone()) {
                return Err(self.diagnostic_at(index + 1, format!("{name} is given twice")));
            }
        }
        Ok(())
    }

    /// Names of all sections, in the order of the file.
    pub fn section_names(&self) -> Vec<String> {
        self.ini.sections().flatten().map(str::to_owned).collect()
    }

    /// A digest of all sections and keys, except those that `excludes` names (section, key). Order, blanks and comments
    /// do not count.
    pub fn digest(&self, excludes: impl Fn(&str, &str) -> bool) -> u64 {
        let mut settings = BTreeSet::new();
        for (section, properties) in self.ini.iter() {
            let Some(section) = section else { continue };
            for (key, value) in properties.iter() {
                if !excludes(section, key) {
                    settings.insert((section, key, value));
                }
            }
        }
        let mut text = String::new();
        for (section, key, value) in settings {
            text += &format!("{section}\n{key}\n{value}\n");
        }
        xxhash_rust::xxh3::xxh3_64(text.as_bytes())
    }

    /// Checks that each section is known.
    ///
    /// # Errors
    /// The first section whose name `is_known` refuses, or a key before the first section.
    pub fn reject_unknown_sections(&self, is_known: impl Fn(&str) -> bool) -> Result<(), Diagnostic> {
        if self.ini.general_section().iter().next().is_some() {
            return Err(self.diagnostic_at(1, "a key stands before the first [section]"));
        }
        match self.section_names().into_iter().find(|name| !is_known(name)) {
            Some(name) => Err(self.diagnostic(&name, None, format!("[{name}] is not known"))),
            None => Ok(()),
        }
    }

    fn diagnostic_at(&self, line: usize, message: impl Display) -> Diagnostic {
        Diagnostic { file: self.file.clone(), line, message: message.to_string() }
    }

    pub(crate) fn diagnostic(&self, section: &str, key: Option<&str>, message: impl Display) -> Diagnostic {
        self.diagnostic_at(self.line_of(section, key), message)
    }

    /// The line of a key; that of the section's header where the key is missing; 1 where the section is missing too.
    fn line_of(&self, section: &str, key: Option<&str>) -> usize {
        let mut is_inside = false;
        let mut header_line = 1;
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = lines::section_header(line) {
                is_inside = name == section;
                if is_inside {
                    header_line = index + 1;
                }
            }
            if is_inside && key.is_some() && lines::key(line) == key {
                return index + 1;
            }
        }
        header_line
    }
}
