//! Owns the latency of operations, by class.
use hdrhistogram::Histogram;
use railhub_record::{ClassLimits, Event, EventKind, Limits, Outcome};
use serde::Serialize;

/// Microseconds a second: histograms count in microseconds.
const MICROS_PER_SECOND: f64 = 1e6;
/// Significant digits that histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies of the operations of one class; histograms of several runs add up.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    /// Name of the class.
    pub class: String,
    /// Microseconds of the operations that got an answer, in time or late.
    pub answered: Histogram<u64>,
    /// Operations without an answer.
    pub unanswered: u64,
}

/// Percentiles of latency, in seconds; `None` if the operation at the percentile has no answer.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct LatencyPercentiles {
    /// Name of the class.
    pub class: String,
    /// Operations, answered or not.
    pub operations: u64,
    /// Seconds, the median.
    #[serde(rename = "half")]
    pub p50: Option<f64>,
    /// Seconds, the 99th percentile.
    #[serde(rename = "of_99")]
    pub p99: Option<f64>,
    /// Seconds, the 99.9th percentile.
    #[serde(rename = "of_999")]
    pub p999: Option<f64>,
}

impl LatencyHistogram {
    fn new(class: &ClassLimits) -> LatencyHistogram {
        LatencyHistogram {
            class: class.name.clone(),
            answered: Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are allowed"),
            unanswered: 0,
        }
    }

    /// Adds the operations of another run.
    pub fn add(&mut self, other: &LatencyHistogram) {
        let _ = self.answered.add(&other.answered);
        self.unanswered += other.unanswered;
    }

    /// Percentiles over all operations. Those without an answer rank as the slowest, so that dropping slow operations
    /// does not improve a percentile.
    pub fn percentiles(&self) -> LatencyPercentiles {
        LatencyPercentiles {
            class: self.class.clone(),
            operations: self.operations(),
            p50: self.quantile(0.5),
            p99: self.quantile(0.99),
            p999: self.quantile(0.999),
        }
    }

    fn operations(&self) -> u64 {
        self.answered.len() + self.unanswered
    }

    fn quantile(&self, quantile: f64) -> Option<f64> {
        let rank = (quantile * self.operations() as f64).ceil().max(1.0);
        let answered = self.answered.len() as f64;
        if rank > answered {
            return None;
        }
        Some(self.answered.value_at_quantile(rank / answered) as f64 / MICROS_PER_SECOND)
    }
}

/// Latencies of a recording, one histogram for each class in the order of `limits`.
pub fn by_class(events: &[Event], limits: &Limits) -> Vec<LatencyHistogram> {
    let mut histograms: Vec<LatencyHistogram> = limits.classes.iter().map(LatencyHistogram::new).collect();
    for event in events {
        let Some(EventKind::OperationEnd(end)) = &event.kind else { continue };
        let Some(histogram) = histograms.get_mut(end.class as usize) else { continue };
        match end.outcome() {
            Outcome::Completed | Outcome::Late => {
                let seconds = (event.at - end.began).max(0.0);
                let _ = histogram.answered.record((seconds * MICROS_PER_SECOND) as u64);
            }
            _ => histogram.unanswered += 1,
        }
    }
    histograms
}

#[cfg(test)]
mod tests;
