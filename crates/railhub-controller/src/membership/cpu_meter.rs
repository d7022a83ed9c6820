//! Measures the CPU usage of this process.

/// Lower bound of the interval between two readings, so that the result stays finite.
const MIN_INTERVAL_SECONDS: f64 = 0.001;

/// Measures the CPU time used between two readings.
pub(super) struct CpuMeter {
    measured_at: f64,
    cpu_seconds: f64,
}

impl CpuMeter {
    pub(super) fn start(now: f64) -> CpuMeter {
        CpuMeter { measured_at: now, cpu_seconds: cpu_seconds() }
    }

    /// Average number of busy cores since the last reading.
    pub(super) fn busy_cores(&mut self, now: f64) -> f32 {
        let reading = CpuMeter::start(now);
        let before = std::mem::replace(self, reading);
        ((self.cpu_seconds - before.cpu_seconds) / (now - before.measured_at).max(MIN_INTERVAL_SECONDS))
            as f32
    }
}

/// CPU time that this process has used, user and system.
fn cpu_seconds() -> f64 {
    // SAFETY: getrusage writes to the one rusage it is given, and all zeroes are a valid rusage.
    let usage = unsafe {
        let mut usage = std::mem::zeroed::<libc::rusage>();
        libc::getrusage(libc::RUSAGE_SELF, &mut usage);
        usage
    };
    seconds_of(usage.ru_utime) + seconds_of(usage.ru_stime)
}

fn seconds_of(time: libc::timeval) -> f64 {
    time.tv_sec as f64 + time.tv_usec as f64 / 1e6
}
