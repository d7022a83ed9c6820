//! A parsed INI file.
use crate::diagnostic::Diagnostic;
use crate::lines;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::path::Path;

/// A parsed INI file. The text is kept to find the line numbers of diagnostics.
pub struct Document {
    file: String,
    text: String,
    pub(crate) ini: ini::Ini,
}

impl Document {
    /// Reads and parses a file.
    ///
    /// # Errors
    /// If the file cannot be read, is not an INI file, or has a duplicate section or key.
    pub fn open(path: &Path) -> Result<Document, Diagnostic> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Document::parse(&file, &text),
            Err(error) => Err(Diagnostic { file, line: 0, message: format!("cannot be read: {error}") }),
        }
    }

    /// Parses the text of an INI file; `file` is the file name for diagnostics.
    ///
    /// # Errors
    /// If the text is not in INI format, or has a duplicate section or key.
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

    /// Rejects duplicate sections and keys: one of the two would be ignored silently.
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

    /// Hash of all sections, keys and values, except those for which `excludes(section, key)` is true. Order,
    /// whitespace and comments do not affect it.
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

    /// Checks that each section is known and that no key precedes the first section.
    ///
    /// # Errors
    /// If a key precedes the first section; else for the first section whose name `is_known` rejects.
    pub fn reject_unknown_sections(&self, is_known: impl Fn(&str) -> bool) -> Result<(), Diagnostic> {
        if self.ini.general_section().iter().next().is_some() {
            return Err(self.diagnostic_at(1, "a key precedes the first [section]"));
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

    /// Line number of a key; of the section header if the key is missing; 1 if the section is missing too.
    fn line_of(&self, section: &str, key: Option<&str>) -> usize {
        let mut in_section = false;
        let mut header_line = 1;
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = lines::section_header(line) {
                in_section = name == section;
                if in_section {
                    header_line = index + 1;
                }
            }
            if in_section && key.is_some() && lines::key(line) == key {
                return index + 1;
            }
        }
        header_line
    }
}
