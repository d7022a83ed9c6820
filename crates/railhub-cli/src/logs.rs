//! Logs to standard error, written by a thread of their own: a reader that stops must not stop a steward.
use crate::LogForm;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait for the reader; further ones are dropped.
const WAITING: usize = 10_000;

/// The variable that sets what is logged; without it `usual` is.
pub const WHAT: &str = "RAILHUB_LOG";

/// Lines are written until the guard is dropped.
pub fn start(form: LogForm, usual: &str) -> Option<WorkerGuard> {
    if form == LogForm::Off {
        return None;
    }
    let (writer, guard) =
        NonBlockingBuilder::default().buffered_lines_limit(WAITING).lossy(true).finish(std::io::stderr());
    let filter =
        EnvFilter::try_from_env(WHAT).unwrap_or_else(|_| EnvFilter::new(format!("{usual},may=warn")));
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).with_target(false);
    match form {
        LogForm::Json => logs.json().init(),
        _ => logs.with_ansi(false).init(),
    }
    Some(guard)
}
