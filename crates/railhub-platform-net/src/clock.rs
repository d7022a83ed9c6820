//! The controller's clock: wall time as it was at the start, moved on by the monotonic clock. It compares with the
//! times at which hosts started and is never set back.
use railhub::Seconds;
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds of Unix time, by the wall clock of the process's start.
pub fn now() -> Seconds {
    static OFFSET: OnceLock<Seconds> = OnceLock::new();
    let offset = OFFSET.get_or_init(|| {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
        wall - railhub_net::now()
    });
    offset + railhub_net::now()
}
