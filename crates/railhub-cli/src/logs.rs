//! Logs to standard error, written by a thread of their own: a reader that stops must not stop a steward.
use crate::LogFormat;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait for the reader; further ones are dropped.
const MAX_BUFFERED_LINES: usize = 10_000;

/// The variable that sets what is logged; without it `usual` is.
pub const FILTER_VARIABLE: &str = "RAILHUB_LOG";

/// Lines are written until the guard is dropped.
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
