//! Builds the module with some of its constants changed, so that a departure can be tried before it is made.
//! The source is copied; nothing in the tree is touched.
use std::collections::BTreeMap;
use std::fs;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use std::process::Command;
use thiserror::Error;

const MODULE: &str = "src/decision/mod.rs";
const ADAPTER: &str = "crates/railhub-adapter/src";

#[derive(Debug, Error)]
pub enum VariantFault {
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    #[error("{MODULE} has no constant {0}")]
    Unknown(String),
    #[error("the constant {0} cannot be '{1}': a number is needed")]
    NoNumber(String, String),
    #[error("the variant does not build: {0}")]
    Build(String),
}

fn at<T>(path: &Path, done: std::io::Result<T>) -> Result<T, VariantFault> {
    done.map_err(|error| VariantFault::File(path.display().to_string(), error))
}

/// The module's text with constants changed; a constant is a line `const NAME: TYPE = VALUE;`.
pub fn changed(module: &str, constants: &BTreeMap<String, String>) -> Result<String, VariantFault> {
    // What stands there is compiled and run: nothing but a number may.
    if let Some((name, value)) = constants.iter().find(|(_, value)| !is_number(value)) {
        return Err(VariantFault::NoNumber(name.clone(), value.clone()));
    }
    let mut left = constants.clone();
    let mut line = |text: &str| -> String {
        let declared = text.strip_prefix("const ").and_then(|rest| rest.split_once(':'));
        let value = declared.and_then(|(name, _)| left.remove(name.trim()));
        match (value, text.split_once('=')) {
            (Some(value), Some((before, _))) => format!("{before}= {value};"),
            _ => text.to_owned(),
        }
    };
    let text = module.lines().map(&mut line).collect::<Vec<_>>().join("\n") + "\n";
    match left.into_keys().next() {
        Some(unknown) => Err(VariantFault::Unknown(unknown)),
        None => Ok(text),
    }
}

fn is_number(text: &str) -> bool {
    text.parse::<f64>().is_ok_and(f64::is_finite)
}

/// Whether such a variant can be made at all, without building it.
pub fn check(source: &Path, constants: &BTreeMap<String, String>) -> Result<(), VariantFault> {
    let module = source.join(MODULE);
    changed(&at(&module, fs::read_to_string(&module))?, constants).map(|_| ())
}

/// The adapter's program with such constants. `source`: the tree; `folder`: where variants are kept, one folder
/// for each text, so that what is built once is built.
pub fn build(
    source: &Path,
    folder: &Path,
    constants: &BTreeMap<String, String>,
) -> Result<PathBuf, VariantFault> {
    let mut files = Vec::new();
    collect(&source.join("src"), "src", &mut files)?;
    collect(&source.join(ADAPTER), "adapter/src", &mut files)?;
    for (_, text) in files.iter_mut().filter(|(name, _)| name == MODULE) {
        *text = changed(text, constants)?;
    }
    files.extend(manifests());
    let mut hasher = DefaultHasher::new();
    files.hash(&mut hasher);
    let home = folder.join(format!("{:016x}", hasher.finish()));
    for (name, text) in &files {
        let path = home.join(name);
        let parent = path.parent().unwrap_or(&home);
        at(parent, fs::create_dir_all(parent))?;
        at(&path, fs::write(&path, text))?;
    }
    let program = home.join("target/release/railhub-adapter");
    if !program.is_file() {
        compile(&home)?;
    }
    Ok(program)
}

/// The Rust sources under a folder, in the order of their names, as `prefix/...`; no tests, which no build needs.
fn collect(folder: &Path, prefix: &str, files: &mut Vec<(String, String)>) -> Result<(), VariantFault> {
    let mut paths: Vec<PathBuf> =
        at(folder, fs::read_dir(folder))?.filter_map(Result::ok).map(|entry| entry.path()).collect();
    paths.sort();
    for path in paths {
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if name == "tests" || name == "tests.rs" {
            continue;
        }
        if path.is_dir() {
            collect(&path, &format!("{prefix}/{name}"), files)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push((format!("{prefix}/{name}"), at(&path, fs::read_to_string(&path))?));
        }
    }
    Ok(())
}

/// The copy stands alone: a workspace of its own, and nothing to fetch.
fn manifests() -> [(String, String); 2] {
    let package = "version = \"0.0.0\"\nedition = \"2021\"\n";
    let root =
        format!("[workspace]\nmembers = [\".\", \"adapter\"]\n[package]\nname = \"railhub\"\n{package}");
    let adapter = format!(
        "[package]\nname = \"railhub-adapter\"\n{package}[dependencies]\nrailhub = {{ path = \"..\" }}\n"
    );
    [("Cargo.toml".to_owned(), root), ("adapter/Cargo.toml".to_owned(), adapter)]
}

fn compile(home: &Path) -> Result<(), VariantFault> {
    let cargo = std::env::var_os("CARGO").unwrap_or("cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--release", "--offline", "-p", "railhub-adapter", "--target-dir", "target"]);
    let built = command.current_dir(home).output();
    let built = built.map_err(|error| VariantFault::Build(format!("cargo cannot be started: {error}")))?;
    if built.status.success() {
        return Ok(());
    }
    let words = String::from_utf8_lossy(&built.stderr).into_owned();
    let fault = words.lines().find(|line| line.starts_with("error")).unwrap_or("it failed").to_owned();
    Err(VariantFault::Build(fault))
}

#[cfg(test)]
mod tests;
