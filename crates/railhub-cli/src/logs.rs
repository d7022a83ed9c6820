//! Logging to standard error by a separate thread, so that a reader that stops reading cannot block a controller.
use crate::LogFormat;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum lines that wait to be written; further lines are dropped.
const MAX_BUFFERED_LINES: usize = 10_000;

/// Environment variable with the filter directives of the log, such as `info`.
pub const FILTER_VARIABLE: &str = "RAILHUB_LOG";

/// Starts logging with the filter of [`FILTER_VARIABLE`], or at `default_level` if that is unset or invalid; the
/// coroutine runtime then logs warnings only. Lines are written until the guard is dropped.
pub fn start(format: LogFormat, default_level: &str) -> Option<WorkerGuard> {
    if format == LogFormat::Off {
        return None;
    }
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stderr());
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE)
        .unwrap_or_else(|_| EnvFilter::new(format!("{default_level},may=warn")));
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).with_target(false);
    match format {
        LogFormat::Json => subscriber.json().init(),
        _ => subscriber.with_ansi(false).init(),
    }
    Some(guard)
}
