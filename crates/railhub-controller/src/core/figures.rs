//! What the core counts and measures.
use hdrhistogram::Histogram;
use railhub::Seconds;
use serde::Serialize;

/// Significant digits of a recorded duration.
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 3;
/// Steps of a second that durations are recorded in.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// What the core has done so far; times are seconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Batches that the decisions handled.
    #[serde(rename = "rounds")]
    pub batches: u64,
    /// Timers that were due.
    #[serde(rename = "turns")]
    pub timers_fired: u64,
    /// Versions published.
    pub versions: u64,
    /// Sessions that are joined now.
    pub joined: usize,
    /// Deltas that proxies rejected.
    #[serde(rename = "refused")]
    pub nacks: u64,
    /// Sessions ended because a delta was left without a response.
    #[serde(rename = "cut_off")]
    pub response_timeouts: u64,
    /// Publications that were merged into a pending one, in sessions that have ended.
    #[serde(rename = "folded")]
    pub merged: u64,
    /// Load reports, and pairs and slices in them, that were dropped.
    #[serde(rename = "sums_dropped")]
    pub reports_dropped: u64,
    /// Health checks that were not made.
    #[serde(rename = "probes_dropped")]
    pub health_checks_dropped: u64,
    /// Reports that were not recorded in the traffic file.
    pub traffic_dropped: u64,
    /// Delay of timers: the median.
    #[serde(rename = "late_half")]
    pub timer_delay_p50: Seconds,
    /// Delay of timers: the 99th percentile.
    #[serde(rename = "late_99")]
    pub timer_delay_p99: Seconds,
    /// Delay of timers: the longest.
    #[serde(rename = "late_most")]
    pub timer_delay_max: Seconds,
    /// The longest time that the decisions took for a batch.
    #[serde(rename = "longest_round")]
    pub longest_batch: Seconds,
    /// From the decision to the last proxy's response: the median of all changes.
    #[serde(rename = "spread_half")]
    pub propagation_p50: Seconds,
    /// From the decision to the last proxy's response: the 99th percentile.
    #[serde(rename = "spread_99")]
    pub propagation_p99: Seconds,
    /// From the decision to the last proxy's response: the latest change.
    #[serde(rename = "spread_last")]
    pub propagation_latest: Seconds,
}

/// Durations and their quantiles.
pub(super) struct DurationHistogram(Histogram<u64>);

impl DurationHistogram {
    pub(super) fn new() -> DurationHistogram {
        DurationHistogram(Histogram::new(HISTOGRAM_SIGNIFICANT_DIGITS).expect("so many digits are allowed"))
    }

    pub(super) fn record(&mut self, duration: Seconds) {
        // One that is too long to be recorded is left out.
        let _ = self.0.record((duration * MICROSECONDS_PER_SECOND) as u64);
    }

    pub(super) fn quantile(&self, share: f64) -> Seconds {
        self.0.value_at_quantile(share) as f64 / MICROSECONDS_PER_SECOND
    }

    pub(super) fn max(&self) -> Seconds {
        self.0.max() as f64 / MICROSECONDS_PER_SECOND
    }
}
