//! The core's counters and measurements.
use hdrhistogram::Histogram;
use railhub::Seconds;
use serde::Serialize;

/// Significant decimal digits with which durations are recorded.
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 3;
/// Durations are recorded in microseconds.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The core's counters and measurements since its start. Times are in seconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Batches that the decision engine has handled.
    #[serde(rename = "rounds")]
    pub batches: u64,
    /// Timers that have fired.
    #[serde(rename = "turns")]
    pub timers_fired: u64,
    /// Versions that were published.
    pub versions: u64,
    /// Sessions that are joined now.
    pub joined: usize,
    /// Deltas that proxies rejected.
    #[serde(rename = "refused")]
    pub nacks: u64,
    /// Sessions closed because the proxy did not respond to a delta in time.
    #[serde(rename = "cut_off")]
    pub response_timeouts: u64,
    /// Publications that were merged into a pending one; counted once the session has ended.
    #[serde(rename = "folded")]
    pub merged: u64,
    /// Load reports that were dropped whole, plus dropped entries (zone and host pairs, slices) of other load reports.
    #[serde(rename = "sums_dropped")]
    pub reports_dropped: u64,
    /// Health checks that were dropped before they started.
    #[serde(rename = "probes_dropped")]
    pub health_checks_dropped: u64,
    /// Load reports that were not recorded in the traffic file.
    pub traffic_dropped: u64,
    /// Median delay between a timer's due time and its handling.
    #[serde(rename = "late_half")]
    pub timer_delay_p50: Seconds,
    /// 99th percentile of the delay between a timer's due time and its handling.
    #[serde(rename = "late_99")]
    pub timer_delay_p99: Seconds,
    /// Longest delay between a timer's due time and its handling.
    #[serde(rename = "late_most")]
    pub timer_delay_max: Seconds,
    /// Longest time that the decision engine took to handle a batch.
    #[serde(rename = "longest_round")]
    pub longest_batch: Seconds,
    /// Median time from the decision on a change to the last proxy's response.
    #[serde(rename = "spread_half")]
    pub propagation_p50: Seconds,
    /// 99th percentile of the time from the decision on a change to the last proxy's response.
    #[serde(rename = "spread_99")]
    pub propagation_p99: Seconds,
    /// Time from the decision to the last proxy's response, for the most recent change that reached all proxies.
    #[serde(rename = "spread_last")]
    pub propagation_latest: Seconds,
}

/// A histogram of durations.
pub(super) struct DurationHistogram(Histogram<u64>);

impl DurationHistogram {
    pub(super) fn new() -> DurationHistogram {
        DurationHistogram(
            Histogram::new(HISTOGRAM_SIGNIFICANT_DIGITS).expect("within the histogram's 0 to 5 digits"),
        )
    }

    pub(super) fn record(&mut self, duration: Seconds) {
        // A duration that is too long for the histogram is not recorded.
        let _ = self.0.record((duration * MICROSECONDS_PER_SECOND) as u64);
    }

    pub(super) fn quantile(&self, quantile: f64) -> Seconds {
        self.0.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_SECOND
    }

    pub(super) fn max(&self) -> Seconds {
        self.0.max() as f64 / MICROSECONDS_PER_SECOND
    }
}
