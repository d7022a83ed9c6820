//! soon
use std::path::Path;
pub fn import(_: &Path, _: &Path, _: Option<usize>) -> Result<Vec<String>, String> {
    Err("soon".into())
}
