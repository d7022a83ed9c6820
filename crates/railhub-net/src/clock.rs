//! One monotonic clock for all processes of the machine, so that what crossed the sockets can be put in order.
use std::time::Duration;

/// Seconds that can be waited for at most.
const MAX_WAIT_SECONDS: f64 = 1e6;

/// Seconds since an arbitrary moment, the same for each process, never set back.
///
/// # Panics
/// If the system has no monotonic clock.
pub fn now() -> f64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the call writes one timespec, which is there.
    let failed = unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut time) };
    assert_eq!(failed, 0, "every system that runs us has a monotonic clock");
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// The duration of so many seconds. A span that is too short, too long or no number becomes the nearest that can be
/// waited for.
pub fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count.clamp(0.0, MAX_WAIT_SECONDS).max(0.0))
}
