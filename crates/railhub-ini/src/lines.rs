//! Recognition of section headers and keys in the lines of an INI file.

/// Name of the section if the trimmed line is a section header.
pub(crate) fn section_header(line: &str) -> Option<&str> {
    Some(line.strip_prefix('[')?.split(']').next()?.trim())
}

/// Name of the key if the trimmed line sets one.
pub(crate) fn key(line: &str) -> Option<&str> {
    let is_comment = line.starts_with(';') || line.starts_with('#');
    let (key, _) = line.split_once('=').filter(|_| !is_comment)?;
    Some(key.trim())
}
