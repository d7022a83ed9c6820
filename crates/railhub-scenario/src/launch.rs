//! How a scenario starts a controller: the caller provides a function that launches the process.
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// A controller that was launched from its settings.
pub struct LaunchedController {
    /// Address at which it listens for proxies.
    pub address: SocketAddr,
    /// Address at which other controllers reach it, if it is one of several.
    pub peer_address: Option<SocketAddr>,
    /// Its process number in the membership of the controllers, if it is one of several.
    pub process_number: Option<u64>,
    /// Pauses (`true`) or resumes (`false`) its process; none if that is not possible.
    pub set_paused: Option<Arc<dyn Fn(bool) + Send + Sync>>,
    /// Kills its process.
    pub kill: Box<dyn FnOnce() + Send>,
}

/// Why a controller was not launched.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// A file that the controller needs cannot be written.
    #[error("{}: cannot be written: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The controller does not accept connections at the address in time.
    #[error("no controller accepted a connection at {0} in time")]
    NotListening(SocketAddr),
    /// The process does not start, for the reason given.
    #[error("{0}")]
    Process(String),
}

impl From<String> for LaunchError {
    fn from(message: String) -> LaunchError {
        LaunchError::Process(message)
    }
}

/// Starts a controller from the text of its settings (INI) and returns when it listens.
pub type ControllerLauncher = Arc<dyn Fn(&str) -> Result<LaunchedController, LaunchError> + Send + Sync>;
