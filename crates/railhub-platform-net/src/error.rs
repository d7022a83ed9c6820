//! Errors that prevent the start of the controller.
use railhub_platform::ConfigError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why the controller could not be started.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration file cannot be read.
    #[error("cannot read configuration file {}: {source}", path.display())]
    ReadConfig {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The configuration is invalid; the source names the position in the file.
    #[error("{}: {source}", path.display())]
    InvalidConfig {
        /// The file.
        path: PathBuf,
        /// The position in the file and what is invalid there.
        source: ConfigError,
    },
    /// The controller cannot listen on its address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address in the configuration.
        address: SocketAddr,
        /// The error of the system.
        source: std::io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    StartThread(#[source] std::io::Error),
}
