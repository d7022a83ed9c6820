//! One monotonic clock for all processes of the machine, so that what crossed the sockets can be put in order.
use std::time::Duration;

/// Seconds since an arbitrary moment, the same for each process, never set back.
pub fn now() -> f64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the call writes one timespec, which is there.
    let failed = unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut time) };
    assert_eq!(failed, 0, "every system that runs us has a monotonic clock");
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// A span that is too short, too long or no number becomes the nearest that can be waited for.
pub fn seconds(span: f64) -> Duration {
    Duration::from_secs_f64(span.clamp(0.0, 1e6).max(0.0))
}
