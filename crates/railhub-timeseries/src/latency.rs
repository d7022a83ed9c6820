//! Latency of operations, by class.
use hdrhistogram::Histogram;
use railhub_record::{ClassLimits, Event, EventKind, Limits, Outcome};
use serde::Serialize;

/// Microseconds per second; the unit of the histograms is microseconds.
const MICROS_PER_SECOND: f64 = 1e6;
/// Number of significant decimal digits of histogram values.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies of the operations of one class; histograms of several runs can be added.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    /// Name of the class.
    pub class: String,
    /// Latencies in microseconds of the operations that got a response, in time or late.
    pub answered: Histogram<u64>,
    /// Number of operations without a response.
    pub unanswered: u64,
}

/// Percentiles of latency; `None` if the operation at the percentile got no response.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct LatencyPercentiles {
    /// Name of the class.
    pub class: String,
    /// Number of operations, with or without a response.
    pub operations: u64,
    /// Median in seconds.
    #[serde(rename = "half")]
    pub p50: Option<f64>,
    /// 99th percentile in seconds.
    #[serde(rename = "of_99")]
    pub p99: Option<f64>,
    /// 99.9th percentile in seconds.
    #[serde(rename = "of_999")]
    pub p999: Option<f64>,
}

impl LatencyHistogram {
    fn new(class: &ClassLimits) -> LatencyHistogram {
        LatencyHistogram {
            class: class.name.clone(),
            answered: Histogram::new(SIGNIFICANT_DIGITS).expect("0 to 5 significant digits are valid"),
            unanswered: 0,
        }
    }

    /// Adds the operations of another run to this histogram.
    pub fn add(&mut self, other: &LatencyHistogram) {
        let _ = self.answered.add(&other.answered);
        self.unanswered += other.unanswered;
    }

    /// Percentiles over all operations. Operations without a response rank as the slowest, so that dropping slow
    /// operations does not improve a percentile.
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

/// Latencies of the operations in a recording: one histogram per class, in the order of `limits`.
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
