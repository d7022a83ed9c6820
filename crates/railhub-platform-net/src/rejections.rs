//! Counts messages and connections that were rejected, by cause, and logs few of them: floods cost the log little.
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Rejections by cause since the start.
#[derive(Default)]
pub struct Rejections(Mutex<BTreeMap<&'static str, u64>>);

impl Rejections {
    /// Counts one rejection.
    pub fn record(&self, cause: &'static str) {
        self.record_with_sample(cause, String::new);
    }

    /// Counts one rejection; the first, second, fourth, eighth and so on of a cause is logged with the sample.
    pub fn record_with_sample(&self, cause: &'static str, sample: impl FnOnce() -> String) {
        let count = self.increment(cause);
        if count.is_power_of_two() {
            let what = sample();
            tracing::info!(cause, count, what, "refused");
        }
    }

    fn increment(&self, cause: &'static str) -> u64 {
        let mut counts = self.0.lock().expect("no holder panics");
        let count = counts.entry(cause).or_default();
        *count += 1;
        *count
    }

    /// The counts by cause.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.0.lock().expect("no holder panics").clone()
    }
}
