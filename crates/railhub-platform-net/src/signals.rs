//! Signal handling: SIGTERM ends the process immediately; SIGHUP reloads the configuration.
use crate::config_file::read_config;
use crate::process::exit_now;
use crate::shared_state::SharedState;
use crate::{discovery_watch, relay};
use railhub_platform::NodeConfig;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The registered signals. Signals that arrive before they are handled are kept.
pub struct Signals(signal_hook::iterator::Signals);

impl Signals {
    /// Registers the signals. To be called first in the process: until then, a signal has its default effect and ends
    /// the process.
    ///
    /// # Errors
    /// The error of the system if a handler cannot be registered.
    pub fn register() -> std::io::Result<Signals> {
        signal_hook::iterator::Signals::new([SIGHUP, SIGTERM]).map(Signals)
    }

    /// Handles the signals on a separate thread, beginning with those that have arrived already.
    pub(crate) fn handle(mut self, path: PathBuf, shared: Arc<SharedState>) -> std::io::Result<()> {
        let handle_signals = move || {
            for signal in self.0.forever() {
                if signal == SIGTERM {
                    exit_now();
                }
                reload(&path, &shared);
            }
        };
        std::thread::Builder::new().name("signals".into()).spawn(handle_signals).map(drop)
    }
}

/// Reads the configuration again and applies its addresses. An invalid file changes nothing.
fn reload(path: &Path, shared: &Arc<SharedState>) {
    match read_config(path) {
        Ok(config) => apply_addresses(&config, shared),
        Err(error) => tracing::error!(%error, "configuration reload failed, keeping the current one"),
    }
}

/// Applies the new addresses immediately. The old connections stay open until the new ones are active.
fn apply_addresses(config: &NodeConfig, shared: &Arc<SharedState>) {
    let addresses = shared.addresses.replace(config.relay, config.discovery);
    tracing::info!(relay = %addresses.relay, discovery = %addresses.discovery, "configuration reloaded");
    relay::start_subscription(shared);
    discovery_watch::start(shared);
}
