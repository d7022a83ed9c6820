//! Builds the decisions with some of their constants changed, so that a change can be tried before it is made. The
//! sources are copied; nothing in the tree is touched.
use crate::constant_names;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use std::process::Command;
use thiserror::Error;

const PACKAGE: &str = "src";
const ADAPTER: &str = "crates/railhub-adapter/src";

/// Why a variant cannot be made.
#[derive(Debug, Error)]
pub enum VariantFault {
    /// A source cannot be read, or its copy written.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// No source declares the constant.
    #[error("src/decision has no constant {0}")]
    Unknown(String),
    /// Two keys name the same constant.
    #[error("the constant {0} is set twice")]
    Twice(String),
    /// The value is not a number.
    #[error("the constant {0} cannot be '{1}': a number is needed")]
    NoNumber(String, String),
    /// The compiler's first error.
    #[error("the variant does not build: {0}")]
    Build(String),
}

/// A source file: its path in the copy, and its text.
#[derive(Clone, Debug, Hash, PartialEq)]
pub struct SourceFile {
    /// From the root of the copy.
    pub path: String,
    /// All of it.
    pub text: String,
}

fn at<T>(path: &Path, done: std::io::Result<T>) -> Result<T, VariantFault> {
    done.map_err(|error| VariantFault::File(path.display().to_string(), error))
}

/// Changes constants, each by its name or its alias ([`constant_names`]). A constant is a line
/// `const NAME: TYPE = VALUE;`, `pub` or not.
pub fn change(files: &mut [SourceFile], constants: &BTreeMap<String, String>) -> Result<(), VariantFault> {
    let mut changed = BTreeSet::new();
    for (key, value) in constants {
        // What stands there is compiled and run: nothing but a number may.
        if !is_number(value) {
            return Err(VariantFault::NoNumber(key.clone(), value.clone()));
        }
        let known = constant_names::find(key);
        let name = known.map_or(key.as_str(), |constant| constant.name);
        if !changed.insert(name.to_owned()) {
            return Err(VariantFault::Twice(name.to_owned()));
        }
        let may_declare = |file: &&mut SourceFile| known.is_none_or(|constant| constant.file == file.path);
        let declared = files.iter_mut().filter(may_declare).any(|file| set_constant(file, name, value));
        if !declared {
            return Err(VariantFault::Unknown(key.clone()));
        }
    }
    Ok(())
}

/// Sets a constant in the file that declares it; whether this one does.
fn set_constant(file: &mut SourceFile, name: &str, value: &str) -> bool {
    let declares = |line: &str| {
        let declaration = line.strip_prefix("pub ").unwrap_or(line).strip_prefix("const ");
        declaration.and_then(|rest| rest.split_once(':')).is_some_and(|(declared, _)| declared.trim() == name)
    };
    let Some(line) = file.text.lines().find(|line| declares(line)) else { return false };
    let Some((before, _)) = line.split_once('=') else { return false };
    file.text = file.text.replacen(&format!("{line}\n"), &format!("{before}= {value};\n"), 1);
    true
}

fn is_number(text: &str) -> bool {
    text.parse::<f64>().is_ok_and(f64::is_finite)
}

/// Whether such a variant can be made at all, without building it.
pub fn check(source: &Path, constants: &BTreeMap<String, String>) -> Result<(), VariantFault> {
    change(&mut decisions(source)?, constants)
}

/// The sources of the decisions, without their tests.
pub fn decisions(source: &Path) -> Result<Vec<SourceFile>, VariantFault> {
    let mut files = Vec::new();
    collect(&source.join(PACKAGE), "src", &mut files)?;
    Ok(files)
}

/// The adapter's program with such constants. `source`: the tree; `folder`: where variants are kept, one folder
/// for each text, so that what is built once is built.
pub fn build(
    source: &Path,
    folder: &Path,
    constants: &BTreeMap<String, String>,
) -> Result<PathBuf, VariantFault> {
    let mut files = decisions(source)?;
    change(&mut files, constants)?;
    collect(&source.join(ADAPTER), "adapter/src", &mut files)?;
    files.extend(manifests());
    let mut hasher = DefaultHasher::new();
    files.hash(&mut hasher);
    let home = folder.join(format!("{:016x}", hasher.finish()));
    for SourceFile { path, text } in &files {
        let path = home.join(path);
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
fn collect(folder: &Path, prefix: &str, files: &mut Vec<SourceFile>) -> Result<(), VariantFault> {
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
            let text = at(&path, fs::read_to_string(&path))?;
            files.push(SourceFile { path: format!("{prefix}/{name}"), text });
        }
    }
    Ok(())
}

/// The copy stands alone: a workspace of its own, and nothing to fetch.
fn manifests() -> [SourceFile; 2] {
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
