//! Reads the configuration file, at the start of the process and at each reload.
use crate::error::RunError;
use railhub_platform::NodeConfig;
use std::path::Path;

/// Reads and validates the configuration.
///
/// # Errors
/// [`RunError::ReadConfig`] if the file cannot be read, [`RunError::InvalidConfig`] if its content is invalid.
pub fn read_config(path: &Path) -> Result<NodeConfig, RunError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| RunError::ReadConfig { path: path.to_owned(), source })?;
    NodeConfig::parse(&text).map_err(|source| RunError::InvalidConfig { path: path.to_owned(), source })
}
