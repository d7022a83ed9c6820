//! Strict reading of INI files: unknown keys, unknown sections and duplicates are errors, and each error has the file
//! name and the line number.
//!
//! Steps to read settings:
//!
//! 1. [`Document::open`] reads and parses the file and rejects duplicates.
//! 2. [`Document::section`] returns a [`Section`], whose methods each read and check one key, and record that it was
//!    read.
//! 3. [`Section::reject_unread_keys`] then rejects misspelt keys, and [`Document::reject_unknown_sections`] misspelt
//!    sections.
#![warn(missing_docs)]

mod diagnostic;
mod document;
mod lines;
mod section;

pub use diagnostic::Diagnostic;
pub use document::Document;
pub use section::Section;

#[cfg(test)]
mod tests;
