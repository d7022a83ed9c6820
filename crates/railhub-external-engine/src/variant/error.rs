//! Errors of building a variant.
use std::io;
use std::path::Path;
use thiserror::Error;

/// Why a variant cannot be built.
#[derive(Debug, Error)]
pub enum VariantError {
    /// A source file cannot be read, or its copy cannot be written.
    #[error("cannot read or write {0}: {1}")]
    Io(String, io::Error),
    /// No source file declares the constant.
    #[error("src/decision has no constant {0}")]
    UnknownConstant(String),
    /// The constant is set twice: by its name and by its alias.
    #[error("the constant {0} is set twice, by its name and by its alias")]
    DuplicateConstant(String),
    /// The value is not a finite number.
    #[error("the constant {0} must be a finite number, not '{1}'")]
    NotANumber(String, String),
    /// The copy does not compile; the first error of cargo or the compiler.
    #[error("the variant does not build: {0}")]
    Build(String),
}

impl VariantError {
    pub(super) fn io(path: &Path, error: io::Error) -> VariantError {
        VariantError::Io(path.display().to_string(), error)
    }
}
