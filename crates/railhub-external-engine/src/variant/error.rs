//! Owns the errors of making a variant.
use std::io;
use std::path::Path;
use thiserror::Error;

/// Why a variant cannot be made.
#[derive(Debug, Error)]
pub enum VariantError {
    /// A source cannot be read, or its copy written.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// No source declares the constant.
    #[error("src/decision has no constant {0}")]
    UnknownConstant(String),
    /// Two keys name the same constant.
    #[error("the constant {0} is set twice")]
    DuplicateConstant(String),
    /// The value is not a number.
    #[error("the constant {0} cannot be '{1}': a number is needed")]
    NotANumber(String, String),
    /// The compiler's first error.
    #[error("the variant does not build: {0}")]
    Build(String),
}

impl VariantError {
    pub(super) fn io(path: &Path, error: io::Error) -> VariantError {
        VariantError::Io(path.display().to_string(), error)
    }
}
