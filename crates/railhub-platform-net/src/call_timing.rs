//! When calls to the relay were and may be made, and how long they took.
use crate::clock::now;
use crate::status::{DurationRecorder, DurationSummary};
use railhub::Seconds;

/// Seconds before the next call after one that was rejected, or whose outcome is unknown.
const CALL_RETRY_INTERVAL: Seconds = 0.1;

/// When calls were and may be made, and how long they took.
pub struct CallTiming {
    started_at: Seconds,
    not_before: Seconds,
    sent_at: Seconds,
    /// When the oldest load report came that no call has followed.
    oldest_report_at: Option<Seconds>,
    /// The same, of the call in flight.
    in_flight_report_at: Option<Seconds>,
    /// The relay has answered a call.
    any_answered: bool,
    call_latency: DurationRecorder,
    report_latency: DurationRecorder,
}

impl CallTiming {
    /// No call has been made; the next may be made at once.
    pub fn start(now: Seconds) -> CallTiming {
        CallTiming {
            started_at: now,
            not_before: 0.0,
            sent_at: 0.0,
            oldest_report_at: None,
            in_flight_report_at: None,
            any_answered: false,
            call_latency: DurationRecorder::default(),
            report_latency: DurationRecorder::default(),
        }
    }

    /// A call leaves.
    pub fn on_call_sent(&mut self, now: Seconds) {
        self.sent_at = now;
        self.in_flight_report_at = self.in_flight_report_at.or(self.oldest_report_at.take());
    }

    /// The relay has answered the call in flight, and not rejected it.
    pub fn on_answer(&mut self, now: Seconds) {
        if !self.any_answered {
            self.any_answered = true;
            let elapsed_s = now - self.started_at;
            tracing::info!(elapsed_s, "first call answered");
        }
        self.call_latency.record(now - self.sent_at);
        if let Some(report_at) = self.in_flight_report_at.take() {
            self.report_latency.record(now - report_at);
        }
    }
    /// The call in flight was rejected, or its outcome is unknown.
    pub fn on_call_failed(&mut self, now: Seconds) {
        self.not_before = now + CALL_RETRY_INTERVAL;
    }

    /// A load report is applied now.
    pub fn on_report(&mut self) {
        self.oldest_report_at.get_or_insert_with(now);
    }

    /// When the next call may be made.
    pub fn call_not_before(&self) -> Seconds {
        self.not_before
    }

    /// Time of a call.
    pub fn call_latency(&self) -> DurationSummary {
        self.call_latency.summary()
    }

    /// Time from the first load report that no call had followed to the answer of the next call.
    pub fn report_latency(&self) -> DurationSummary {
        self.report_latency.summary()
    }
}
