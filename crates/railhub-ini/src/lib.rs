//! INI files, read so that each error names the file, the line and what is wrong there. Keys that nobody has read,
//! sections that nobody knows and what is given twice are errors. Owns the text of one file; decides nothing.
//!
//! The numbered way of one setting: [`Document::open`] reads and parses the file and rejects duplicates;
//! [`Document::section`] gives a [`Section`], whose methods read and check one key each and note that it was read;
//! [`Section::reject_unread_keys`] then finds misspelt keys, [`Document::reject_unknown_sections`] misspelt sections.
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
