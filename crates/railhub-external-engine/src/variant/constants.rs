//! Sets constants in source files. A constant is a line `const NAME: TYPE = VALUE;`, with or without `pub`.
use super::error::VariantError;
use super::sources::SourceFile;
use crate::constant_names::{self, ConstantName};
use std::collections::{BTreeMap, BTreeSet};

/// Sets constants, each addressed by its name or its alias ([`constant_names`]).
///
/// # Errors
/// A value is not a number, a constant is set twice, or no file declares it.
pub fn set_constants(
    files: &mut [SourceFile],
    constants: &BTreeMap<String, String>,
) -> Result<(), VariantError> {
    let mut names_set = BTreeSet::new();
    for (key, value) in constants {
        // The value is compiled and executed as code, so only a number is accepted.
        if !is_number(value) {
            return Err(VariantError::NotANumber(key.clone(), value.clone()));
        }
        let known = constant_names::find(key);
        let name = known.map_or(key.as_str(), |constant| constant.name);
        if !names_set.insert(name.to_owned()) {
            return Err(VariantError::DuplicateConstant(name.to_owned()));
        }
        if !set_in_files(files, known, name, value) {
            return Err(VariantError::UnknownConstant(key.clone()));
        }
    }
    Ok(())
}

fn is_number(text: &str) -> bool {
    text.parse::<f64>().is_ok_and(f64::is_finite)
}

/// Sets a constant in the first file that declares it; a known constant is set only in the file listed for it. Returns
/// whether a file declares it.
fn set_in_files(files: &mut [SourceFile], known: Option<&ConstantName>, name: &str, value: &str) -> bool {
    for file in files {
        let may_declare = known.is_none_or(|constant| constant.file == file.path);
        if may_declare && set_in_file(file, name, value) {
            return true;
        }
    }
    false
}

/// Sets a constant in a file; returns whether the file declares it.
fn set_in_file(file: &mut SourceFile, name: &str, value: &str) -> bool {
    let Some(line) = file.text.lines().find(|line| declares(line, name)) else { return false };
    let Some((declaration, _)) = line.split_once('=') else { return false };
    file.text = file.text.replacen(&format!("{line}\n"), &format!("{declaration}= {value};\n"), 1);
    true
}

fn declares(line: &str, name: &str) -> bool {
    let without_pub = line.strip_prefix("pub ").unwrap_or(line);
    let Some(declaration) = without_pub.strip_prefix("const ") else { return false };
    declaration.split_once(':').is_some_and(|(declared, _)| declared.trim() == name)
}
