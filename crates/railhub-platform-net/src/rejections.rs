//! Counts messages and connections that were rejected, by cause, and logs few of them: floods cost the log little.
use railhub_platform::DecodeError;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// What was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionCause {
    /// An inbound connection beyond the limit: it, or the oldest unidentified one, was closed.
    ConnectionLimit,
    /// A peer that had not joined sent something else than a ping or a join: its connection was closed.
    UnidentifiedPeer,
    /// A collector sent something after which nothing can be trusted: its connection was closed.
    CollectorStream,
    /// A collector's report was invalid for this reason, and was dropped.
    Report(DecodeError),
    /// An event of the relay was invalid: the subscription was closed.
    RelayEvent,
    /// A page of the endpoint list was invalid: the watch was closed.
    EndpointPage,
    /// An entry of the endpoint list was invalid, and was dropped.
    EndpointEntry,
    /// A health check proved nothing: its response was no HTTP, or this process ran out of something.
    HealthCheckResponse,
}

impl RejectionCause {
    /// The cause's name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectionCause::ConnectionLimit => "connection_limit",
            RejectionCause::UnidentifiedPeer => "unidentified_peer",
            RejectionCause::CollectorStream => "collector_stream",
            RejectionCause::Report(DecodeError::Unreadable) => "unreadable",
            RejectionCause::Report(DecodeError::InvalidField) => "fields",
            RejectionCause::Report(DecodeError::OutOfRange) => "range",
            RejectionCause::Report(DecodeError::UnknownName) => "unknown",
            RejectionCause::Report(DecodeError::UnexpectedType) => "kind",
            RejectionCause::RelayEvent => "relay_event",
            RejectionCause::EndpointPage => "endpoint_page",
            RejectionCause::EndpointEntry => "endpoint_entry",
            RejectionCause::HealthCheckResponse => "health_check_response",
        }
    }
}

/// Rejections by cause since the start.
#[derive(Default)]
pub struct Rejections(Mutex<BTreeMap<RejectionCause, u64>>);

impl Rejections {
    /// Counts one rejection.
    pub fn record(&self, cause: RejectionCause) {
        self.record_with_sample(cause, String::new);
    }

    /// Counts one rejection; the first, second, fourth, eighth and so on of a cause is logged with the sample.
    pub fn record_with_sample(&self, cause: RejectionCause, sample: impl FnOnce() -> String) {
        let count = self.increment(cause);
        if count.is_power_of_two() {
            tracing::info!(cause = cause.as_str(), count, sample = sample(), "rejected");
        }
    }

    fn increment(&self, cause: RejectionCause) -> u64 {
        let mut counts = self.0.lock().expect("no holder panics");
        let count = counts.entry(cause).or_default();
        *count += 1;
        *count
    }

    /// The counts by the name of their cause.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        let counts = self.0.lock().expect("no holder panics");
        counts.iter().map(|(cause, count)| (cause.as_str(), *count)).collect()
    }
}
