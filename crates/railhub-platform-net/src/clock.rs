//! The controller's clock: the wall time of the process start, advanced by the monotonic clock. Its times are
//! comparable with the start times of hosts, and it never goes backwards.
use railhub::Seconds;
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in seconds, by the wall clock at the first call and the monotonic clock since then.
pub fn now() -> Seconds {
    static OFFSET: OnceLock<Seconds> = OnceLock::new();
    let offset = OFFSET.get_or_init(|| {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
        wall - railhub_net::now()
    });
    offset + railhub_net::now()
}
