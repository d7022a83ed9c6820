//! The two kinds of lines that matter: section headers and keys.

/// The section that a trimmed line begins, if it is a header.
pub(crate) fn section_header(line: &str) -> Option<&str> {
    Some(line.strip_prefix('[')?.split(']').next()?.trim())
}

/// The key that a trimmed line sets, if it sets one.
pub(crate) fn key(line: &str) -> Option<&str> {
    let is_comment = line.starts_with(';') || line.starts_with('#');
    let (key, _) = line.split_once('=').filter(|_| !is_comment)?;
    Some(key.trim())
}
