//! Counts rejected messages and connections by cause, and logs only some of them, so that a flood does not fill the
//! log.
use railhub_platform::DecodeError;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// What was rejected, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionCause {
    /// An inbound connection exceeded the limit: it, or the oldest unidentified connection, was closed.
    ConnectionLimit,
    /// A peer that had not joined sent a message other than a ping or a join: its connection was closed.
    UnidentifiedPeer,
    /// A collector sent an unreadable or unexpected message: its connection was closed.
    CollectorStream,
    /// A report of a collector was invalid for this reason, and was dropped.
    Report(DecodeError),
    /// An event of the relay was invalid: the subscription was closed.
    RelayEvent,
    /// A page of the endpoint list was invalid: the watch was closed.
    EndpointPage,
    /// An entry of the endpoint list was invalid, and was dropped.
    EndpointEntry,
    /// A health check had no result: the response was not HTTP, or this process lacked a resource.
    HealthCheckResponse,
}

impl RejectionCause {
    /// The name of the cause in the log.
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

/// Numbers of rejections by cause since the start of the process.
#[derive(Default)]
pub struct Rejections(Mutex<BTreeMap<RejectionCause, u64>>);

impl Rejections {
    /// Counts one rejection.
    pub fn record(&self, cause: RejectionCause) {
        self.record_with_sample(cause, String::new);
    }

    /// Counts one rejection. Logs the first, second, fourth, eighth and so on of a cause, with the sample.
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

    /// The numbers of rejections by the name of the cause.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        let counts = self.0.lock().expect("no holder panics");
        counts.iter().map(|(cause, count)| (cause.as_str(), *count)).collect()
    }
}
