//! Measures how busy a host's cores are.

/// The fraction of the cores in use, over intervals.
#[derive(Default)]
pub struct UtilizationMeter {
    /// Core seconds are counted up to this time, in seconds.
    counted_to: f64,
    /// Core seconds in use since the interval began.
    busy_core_seconds: f64,
    interval_start: f64,
    last: Option<f64>,
}

impl UtilizationMeter {
    /// Starts at a time in seconds.
    pub fn new(at: f64) -> UtilizationMeter {
        UtilizationMeter { counted_to: at, interval_start: at, ..UtilizationMeter::default() }
    }

    /// Counts the time up to `at`, with `running` cores in use.
    pub fn count(&mut self, running: usize, at: f64) {
        self.busy_core_seconds += (at - self.counted_to).max(0.0) * running as f64;
        self.counted_to = at;
    }

    /// The utilization of the last complete interval of `interval` seconds; 0: never any.
    pub fn sample(&mut self, running: usize, cores: usize, interval: f64, at: f64) -> Option<f64> {
        if interval > 0.0 && at - self.interval_start >= interval {
            self.count(running, at);
            self.last =
                Some((self.busy_core_seconds / (cores as f64 * (at - self.interval_start))).clamp(0.0, 1.0));
            (self.busy_core_seconds, self.interval_start) = (0.0, at);
        }
        self.last
    }
}
