//! Why a run ends with an error.
use railhub_platform::ConfigError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// An error that ends the start of the controller.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration file cannot be read.
    #[error("{}: {source}", path.display())]
    ReadConfig {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The configuration is invalid; the source names the place in the file.
    #[error("{}: {source}", path.display())]
    InvalidConfig {
        /// The file.
        path: PathBuf,
        /// The place and what is wrong there.
        source: ConfigError,
    },
    /// The controller's address cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address of the configuration.
        address: SocketAddr,
        /// The error of the system.
        source: std::io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start: {0}")]
    StartThread(#[source] std::io::Error),
}
