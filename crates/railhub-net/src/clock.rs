//! The monotonic clock, which all processes of a machine share, so that events on both ends of a socket can be ordered.
use std::time::Duration;

/// Longest wait that [`seconds`] returns.
const MAX_WAIT_SECONDS: f64 = 1e6;

/// Seconds since an arbitrary moment, which is the same for each process of the machine. Never goes backwards.
///
/// # Panics
/// If the system has no monotonic clock.
pub fn now() -> f64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to one timespec, which the call writes.
    let failed = unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut time) };
    assert_eq!(failed, 0, "the system has no monotonic clock");
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Converts a number of seconds to a duration. Negative numbers and NaN give 0, numbers above a million seconds give
/// that.
pub fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count.clamp(0.0, MAX_WAIT_SECONDS).max(0.0))
}
