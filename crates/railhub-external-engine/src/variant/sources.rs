//! The files of a variant: the sources, which are copied, and the manifests, which are generated.
use super::error::VariantError;
use std::fs;
use std::path::{Path, PathBuf};

/// Folder of the decision engine's sources, relative to the repository root.
const DECISIONS_FOLDER: &str = "src";
/// Folder of the adapter's sources, relative to the repository root.
const ADAPTER_FOLDER: &str = "crates/railhub-adapter/src";

/// A source file of the copy.
#[derive(Clone, Debug, Hash, PartialEq)]
pub struct SourceFile {
    /// Path relative to the root of the copy.
    pub path: String,
    /// Complete text.
    pub text: String,
}

/// Reads the sources of the decision engine, without their tests. `source` is the root of the repository.
///
/// # Errors
/// A source file cannot be read.
pub fn read_decisions(source: &Path) -> Result<Vec<SourceFile>, VariantError> {
    let mut files = Vec::new();
    collect(&source.join(DECISIONS_FOLDER), "src", &mut files)?;
    Ok(files)
}

/// Adds the sources of the adapter, without their tests.
pub(super) fn collect_adapter(source: &Path, files: &mut Vec<SourceFile>) -> Result<(), VariantError> {
    collect(&source.join(ADAPTER_FOLDER), "adapter/src", files)
}

/// Adds the Rust sources under a folder with the paths `prefix/...`, sorted by name and without tests.
fn collect(folder: &Path, prefix: &str, files: &mut Vec<SourceFile>) -> Result<(), VariantError> {
    for path in sorted_entries(folder)? {
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if name == "tests" || name == "tests.rs" {
            continue;
        }
        let copied_path = format!("{prefix}/{name}");
        if path.is_dir() {
            collect(&path, &copied_path, files)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).map_err(|error| VariantError::io(&path, error))?;
            files.push(SourceFile { path: copied_path, text });
        }
    }
    Ok(())
}

fn sorted_entries(folder: &Path) -> Result<Vec<PathBuf>, VariantError> {
    let entries = fs::read_dir(folder).map_err(|error| VariantError::io(folder, error))?;
    let mut paths: Vec<PathBuf> = entries.filter_map(Result::ok).map(|entry| entry.path()).collect();
    paths.sort();
    Ok(paths)
}

/// Generates the manifests of the copy, which is a separate workspace without external dependencies.
pub(super) fn manifests() -> [SourceFile; 2] {
    let package = "version = \"0.0.0\"\nedition = \"2021\"\n";
    let root =
        format!("[workspace]\nmembers = [\".\", \"adapter\"]\n[package]\nname = \"railhub\"\n{package}");
    let adapter = format!(
        "[package]\nname = \"railhub-adapter\"\n{package}[dependencies]\nrailhub = {{ path = \"..\" }}\n"
    );
    [
        SourceFile { path: "Cargo.toml".to_owned(), text: root },
        SourceFile { path: "adapter/Cargo.toml".to_owned(), text: adapter },
    ]
}

/// Writes the files under a folder.
pub(super) fn write_files(folder: &Path, files: &[SourceFile]) -> Result<(), VariantError> {
    for SourceFile { path, text } in files {
        let path = folder.join(path);
        let parent = path.parent().unwrap_or(folder);
        fs::create_dir_all(parent).map_err(|error| VariantError::io(parent, error))?;
        fs::write(&path, text).map_err(|error| VariantError::io(&path, error))?;
    }
    Ok(())
}
