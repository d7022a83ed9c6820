//! Starts the parts of the controller in their order.
use crate::config_file::read_config;
use crate::controller_thread::ControllerThread;
use crate::error::RunError;
use crate::process::{exit_on_panic, use_one_heap};
use crate::relay::CallSender;
use crate::shared_state::SharedState;
use crate::signals::Signals;
use crate::{discovery_watch, health_checks, listener, relay, status_log};
use railhub_platform::NodeConfig;
use std::path::Path;

/// Coroutine stacks kept for reuse: a controller here has some hundred connections at most.
const KEPT_STACKS: usize = 64;

/// Runs the controller that the configuration file describes, until a signal or a panic ends the process.
///
/// # Errors
/// [`RunError`] if the start fails; it does not return otherwise.
pub fn run(path: &Path, signals: Signals) -> Result<(), RunError> {
    exit_on_panic();
    let config = read_config(path)?;
    log_invalid_entries(&config);
    railhub_net::start_runtime_single_worker(KEPT_STACKS);
    use_one_heap();
    let shared = SharedState::new(&config);
    let calls = CallSender::start(&shared);
    let health_checker = health_checks::start(&shared);
    let controller = ControllerThread::new(&config, &shared, calls, health_checker);
    let _listener = listener::open(&config, &shared)?;
    tracing::info!(name = config.name, address = %config.listen, "controller listening");
    relay::follow(&shared);
    discovery_watch::follow(&shared);
    signals.handle(path.to_owned(), shared.clone()).map_err(RunError::StartThread)?;
    let thread = std::thread::Builder::new().name("owner".into());
    thread.spawn(move || controller.run()).map_err(RunError::StartThread)?;
    status_log::run(&shared, config.memory_limit_mb)
}

/// An invalid entry of the known list does not end the start, which would leave nobody in control.
fn log_invalid_entries(config: &NodeConfig) {
    let invalid_entries = config.known_endpoints.invalid.len();
    if invalid_entries > 0 {
        tracing::warn!(invalid_entries, "invalid entries in the known list, requesting the complete list");
    }
}
