//! How a scenario starts a controller: the caller supplies the process.
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// A controller that was launched from its settings.
pub struct LaunchedController {
    /// Where it listens for proxies.
    pub address: SocketAddr,
    /// Where other controllers reach it, if it is one of several.
    pub fleet: Option<SocketAddr>,
    /// The number of its process among the controllers, if it is one of several.
    pub process: Option<u64>,
    /// Stops its process (`true`) or lets it continue (`false`); none where that cannot be done.
    pub pause: Option<Arc<dyn Fn(bool) + Send + Sync>>,
    /// Kills its process.
    pub kill: Box<dyn FnOnce() + Send>,
}

/// Why a controller was not launched.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// A file that the controller needs cannot be written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// Nothing accepts connections at the address in time.
    #[error("no steward listens on {0}")]
    NotListening(SocketAddr),
    /// The process does not start.
    #[error("{0}")]
    Process(String),
}

impl From<String> for LaunchError {
    fn from(message: String) -> LaunchError {
        LaunchError::Process(message)
    }
}

/// Starts a controller from the text of its settings and returns when it listens.
pub type ControllerLauncher = Arc<dyn Fn(&str) -> Result<LaunchedController, LaunchError> + Send + Sync>;
