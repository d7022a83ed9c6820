//! The controller's status, as the controller thread publishes it for the log, the outage monitor and the watch.
use hdrhistogram::Histogram;
use railhub::Seconds;

/// Seconds past which a duration is recorded as this one.
const MAX_RECORDED_DURATION: Seconds = 60.0;
/// Significant decimal digits of a recorded duration.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Percentiles of one kind of duration.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationSummary {
    /// Seconds that 99 of 100 stayed within.
    pub p99: Seconds,
    /// Seconds of the longest.
    pub max: Seconds,
}

/// What is logged of the controller, since the start of the process unless it is a current value.
#[derive(Clone, Debug, Default)]
pub struct ControllerStatus {
    /// Generation of the endpoint list now.
    pub generation: u64,
    /// Proxies joined now.
    pub proxies: usize,
    /// Hosts listed now.
    pub hosts: usize,
    /// Commands that the relay has not accepted yet.
    pub pending_commands: usize,
    /// Batches handled by the decisions.
    pub batches: u64,
    /// The relay's first snapshot has been applied: commands may be decided.
    pub snapshot_applied: bool,
    /// Load reports dropped for want of room.
    pub reports_dropped: u64,
    /// Health checks dropped for want of room.
    pub health_checks_dropped: u64,
    /// Health checks whose host had moved, restarted or left by the time they ended.
    pub health_checks_stale: u64,
    /// Commands that a later one about the same thing replaced.
    pub commands_coalesced: u64,
    /// Admission rates left out, as the configuration does not name their class.
    pub unnamed_classes: u64,
    /// By how much timers ran late.
    pub timer_lateness: DurationSummary,
    /// Time of a call to the relay.
    pub call_latency: DurationSummary,
    /// From the first load report that no call had followed to the answer of the next call.
    pub report_latency: DurationSummary,
    /// Seconds of the longest batch.
    pub longest_batch: Seconds,
}

/// Records durations of one kind.
pub struct DurationRecorder(Histogram<u64>);

impl Default for DurationRecorder {
    fn default() -> DurationRecorder {
        let histogram = Histogram::new_with_max(micros(MAX_RECORDED_DURATION), SIGNIFICANT_DIGITS);
        DurationRecorder(histogram.expect("the digits are in the histogram's range"))
    }
}

impl DurationRecorder {
    /// Adds a duration; a negative one counts as zero.
    pub fn record(&mut self, duration: Seconds) {
        self.0.saturating_record(micros(duration));
    }

    /// The percentiles so far.
    pub fn summary(&self) -> DurationSummary {
        DurationSummary { p99: seconds(self.0.value_at_quantile(0.99)), max: seconds(self.0.max()) }
    }
}

fn micros(duration: Seconds) -> u64 {
    (duration.max(0.0) * 1e6) as u64
}

fn seconds(micros: u64) -> Seconds {
    micros as f64 / 1e6
}
