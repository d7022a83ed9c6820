//! The status of the controller, which the controller thread publishes for the log, the outage monitor and the
//! discovery watch.
use hdrhistogram::Histogram;
use railhub::Seconds;

/// Upper limit of a recorded duration in seconds; longer ones are recorded as this.
const MAX_RECORDED_DURATION: Seconds = 60.0;
/// Number of significant decimal digits of a recorded duration.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The 99th percentile and the maximum of one kind of duration.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationSummary {
    /// 99th percentile in seconds.
    pub p99: Seconds,
    /// Maximum in seconds.
    pub max: Seconds,
}

/// The status of the controller. Counts are since the start of the process, unless they are described as current.
#[derive(Clone, Debug, Default)]
pub struct ControllerStatus {
    /// Generation of the current endpoint list.
    pub generation: u64,
    /// Current number of joined proxies.
    pub proxies: usize,
    /// Current number of listed hosts.
    pub hosts: usize,
    /// Current number of commands that the relay has not accepted yet.
    pub pending_commands: usize,
    /// Number of batches handled by the decisions.
    pub batches: u64,
    /// Whether the first snapshot of the relay has been applied, so that commands may be decided.
    pub snapshot_applied: bool,
    /// Load reports dropped because a queue was full.
    pub reports_dropped: u64,
    /// Health checks dropped because their queue was full.
    pub health_checks_dropped: u64,
    /// Health checks whose host had moved, restarted or left before they were completed.
    pub health_checks_stale: u64,
    /// Commands that were replaced by a later command about the same target.
    pub commands_coalesced: u64,
    /// Commands dropped because the table that they were decided on has changed, or may have.
    pub commands_discarded: u64,
    /// Admission rates that were omitted because the configuration has no name for their class.
    pub unnamed_classes: u64,
    /// Delay of timers after their due time.
    pub timer_lateness: DurationSummary,
    /// Time from sending a call to the relay to its answer.
    pub call_latency: DurationSummary,
    /// Time from the oldest load report since the previous call to the answer to the next call.
    pub report_latency: DurationSummary,
    /// Duration of the longest batch in seconds.
    pub longest_batch: Seconds,
}

/// Records durations of one kind in a histogram.
pub struct DurationRecorder(Histogram<u64>);

impl Default for DurationRecorder {
    fn default() -> DurationRecorder {
        let histogram = Histogram::new_with_max(micros(MAX_RECORDED_DURATION), SIGNIFICANT_DIGITS);
        DurationRecorder(histogram.expect("valid bounds of the histogram"))
    }
}

impl DurationRecorder {
    /// Adds a duration; a negative one counts as zero.
    pub fn record(&mut self, duration: Seconds) {
        self.0.saturating_record(micros(duration));
    }

    /// The percentile and the maximum of all durations so far.
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
