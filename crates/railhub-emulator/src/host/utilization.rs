//! Measures the utilization of a host's cores.

/// Measures the mean fraction of the cores in use over consecutive intervals.
#[derive(Default)]
pub struct UtilizationMeter {
    /// Time up to which core seconds have been counted, in seconds.
    counted_to: f64,
    /// Core seconds in use since the start of the interval.
    busy_core_seconds: f64,
    /// Start of the current interval, in seconds.
    interval_start: f64,
    /// Utilization of the last complete interval.
    last: Option<f64>,
}

impl UtilizationMeter {
    /// Starts measuring at a time in seconds.
    pub fn new(at: f64) -> UtilizationMeter {
        UtilizationMeter { counted_to: at, interval_start: at, ..UtilizationMeter::default() }
    }

    /// Counts the time since the last call up to `at`, during which `running` cores were in use.
    pub fn count(&mut self, running: usize, at: f64) {
        self.busy_core_seconds += (at - self.counted_to).max(0.0) * running as f64;
        self.counted_to = at;
    }

    /// Returns the utilization of the last complete interval, if there is one. An interval lasts at least `interval`
    /// seconds and ends with a call of this function; with an `interval` of 0 nothing is measured.
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
