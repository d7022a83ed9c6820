//! Starts the parts of the controller in order.
use crate::config_file::read_config;
use crate::controller_thread::ControllerThread;
use crate::error::RunError;
use crate::process::{exit_on_panic, use_single_malloc_arena};
use crate::relay::CallSender;
use crate::shared_state::SharedState;
use crate::signals::Signals;
use crate::{discovery_watch, health_checks, listener, relay, status_log};
use railhub_platform::NodeConfig;
use std::path::Path;

/// Maximum number of free coroutine stacks kept for reuse: a controller here has at most some hundred connections.
const STACK_POOL_CAPACITY: usize = 64;

/// Runs the controller with this configuration file until a signal or a panic ends the process.
///
/// # Errors
/// [`RunError`] if the start fails. Does not return otherwise.
pub fn run(path: &Path, signals: Signals) -> Result<(), RunError> {
    exit_on_panic();
    let config = read_config(path)?;
    log_invalid_entries(&config);
    railhub_net::start_runtime_single_worker(STACK_POOL_CAPACITY);
    use_single_malloc_arena();
    let shared = SharedState::new(&config);
    let calls = CallSender::start(&shared);
    let health_checker = health_checks::start(&shared);
    let controller = ControllerThread::new(&config, &shared, calls, health_checker);
    let _listener = listener::open(&config, &shared)?;
    tracing::info!(name = config.name, address = %config.listen, "controller listening");
    relay::start_subscription(&shared);
    discovery_watch::start(&shared);
    signals.handle(path.to_owned(), shared.clone()).map_err(RunError::StartThread)?;
    let builder = std::thread::Builder::new().name("owner".into());
    builder.spawn(move || controller.run()).map_err(RunError::StartThread)?;
    status_log::run(&shared, config.memory_limit_mb)
}

/// Logs invalid entries of the known list. They do not prevent the start, as there would be no controller then.
fn log_invalid_entries(config: &NodeConfig) {
    let invalid_entries = config.known_endpoints.invalid.len();
    if invalid_entries > 0 {
        tracing::warn!(invalid_entries, "invalid entries in the known list, requesting the complete list");
    }
}
