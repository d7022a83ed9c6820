//! Timing of calls to the relay: when the next call may be made, and how long calls take.
use crate::clock::now;
use crate::status::{DurationRecorder, DurationSummary};
use railhub::Seconds;

/// Seconds to the next call after a call that was rejected or whose outcome is unknown.
const CALL_RETRY_INTERVAL: Seconds = 0.1;

/// Tracks when the next call may be made, and measures how long calls and load reports take.
pub struct CallTiming {
    started_at: Seconds,
    not_before: Seconds,
    sent_at: Seconds,
    /// When the oldest load report since the last call arrived.
    oldest_report_at: Option<Seconds>,
    /// When the oldest load report before the call in flight arrived; kept for the next call if that call fails.
    in_flight_report_at: Option<Seconds>,
    /// Whether the relay has answered any call.
    any_answered: bool,
    call_latency: DurationRecorder,
    report_latency: DurationRecorder,
}

impl CallTiming {
    /// The state before the first call, which may be made immediately.
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

    /// Records that a call is being sent.
    pub fn on_call_sent(&mut self, now: Seconds) {
        self.sent_at = now;
        self.in_flight_report_at = self.in_flight_report_at.or(self.oldest_report_at.take());
    }

    /// Records that the relay has answered the call in flight without rejecting it.
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

    /// Records that the call in flight was rejected, or that its outcome is unknown; delays the next call.
    pub fn on_call_failed(&mut self, now: Seconds) {
        self.not_before = now + CALL_RETRY_INTERVAL;
    }

    /// Records that a load report is being applied.
    pub fn on_report(&mut self) {
        self.oldest_report_at.get_or_insert_with(now);
    }

    /// The earliest time of the next call.
    pub fn call_not_before(&self) -> Seconds {
        self.not_before
    }

    /// Time from sending a call to its answer.
    pub fn call_latency(&self) -> DurationSummary {
        self.call_latency.summary()
    }

    /// Time from the oldest load report since the previous call to the answer to the next call.
    pub fn report_latency(&self) -> DurationSummary {
        self.report_latency.summary()
    }
}
