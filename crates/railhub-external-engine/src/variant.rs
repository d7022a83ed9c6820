//! Builds variants: adapter programs whose decisions use other constants, so that a change can be measured before it is
//! made. Only a copy of the sources is changed, never the repository.
mod constants;
mod error;
mod sources;

pub use constants::set_constants;
pub use error::VariantError;
pub use sources::{read_decisions, SourceFile};

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Path of the built program, relative to the root of the copy.
const PROGRAM: &str = "target/release/railhub-adapter";

/// Checks that the constants of a variant can be set, without building it. `source` is the root of the repository.
///
/// # Errors
/// A source file cannot be read, or a constant cannot be set.
pub fn check(source: &Path, constants: &BTreeMap<String, String>) -> Result<(), VariantError> {
    set_constants(&mut read_decisions(source)?, constants)
}

/// Builds the adapter's program with other constants and returns its path. `source` is the root of the repository. Each
/// variant is kept in a subfolder of `folder` that is named by a hash of its sources, so that no variant is built
/// twice.
///
/// # Errors
/// A source file cannot be read or copied, a constant cannot be set, or the copy does not compile.
pub fn build(
    source: &Path,
    folder: &Path,
    constants: &BTreeMap<String, String>,
) -> Result<PathBuf, VariantError> {
    let mut files = read_decisions(source)?;
    set_constants(&mut files, constants)?;
    sources::collect_adapter(source, &mut files)?;
    files.extend(sources::manifests());
    let variant_folder = folder.join(hash(&files));
    sources::write_files(&variant_folder, &files)?;
    let program = variant_folder.join(PROGRAM);
    if !program.is_file() {
        compile(&variant_folder)?;
    }
    Ok(program)
}

fn hash(files: &[SourceFile]) -> String {
    let mut hasher = DefaultHasher::new();
    files.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}

fn compile(folder: &Path) -> Result<(), VariantError> {
    let cargo = std::env::var_os("CARGO").unwrap_or("cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--release", "--offline", "-p", "railhub-adapter", "--target-dir", "target"]);
    let output = command.current_dir(folder).output();
    let output = output.map_err(|error| VariantError::Build(format!("cannot start cargo: {error}")))?;
    if output.status.success() {
        return Ok(());
    }
    let messages = String::from_utf8_lossy(&output.stderr);
    let first_error = messages.lines().find(|line| line.starts_with("error"));
    Err(VariantError::Build(first_error.unwrap_or("cargo failed without an error message").to_owned()))
}

#[cfg(test)]
mod tests;
