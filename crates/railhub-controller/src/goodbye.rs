//! The reasons for errors of a session that a proxy is sent in a [`Goodbye`](railhub_proto::Goodbye).
//!
//! These texts are part of the proxy protocol. They stay as they are, letter for letter, whatever the log says about
//! the same errors: reword the `Display` texts of the errors instead.
//! The reasons of the core are sent as well, by the text of [`CloseReason`](crate::core::CloseReason).
use crate::report_validation::ReportError;
use crate::session_error::SessionError;

/// The reason for closing a stream whose reader stopped without giving one.
pub(crate) const READER_STOPPED: &str = "the stream ends";

/// The reason to send for an error that ended a session.
pub(crate) fn goodbye_reason(error: &SessionError) -> String {
    match error {
        SessionError::Connection(error) => error.to_string(),
        SessionError::NoSubscription => "the first message is no subscription".to_owned(),
        SessionError::NumberTooLarge { proxy, zone } => {
            format!("proxy {proxy} or zone {zone} is too large a number")
        }
        SessionError::SecondSubscription => "a second subscription on one stream".to_owned(),
        SessionError::UnknownMessage => "a message without a word".to_owned(),
        SessionError::Report(error) => invalid_report_reason(*error).to_owned(),
        SessionError::TooManyMessages => "too many messages".to_owned(),
    }
}

fn invalid_report_reason(error: ReportError) -> &'static str {
    match error {
        ReportError::Span => "sums with a span that cannot be",
        ReportError::TimesOrCounts => "sums with times or counts that cannot be",
        ReportError::Utilization => "sums with a load that cannot be",
        ReportError::SliceOrClass => "sums with a slice or class that cannot be",
    }
}

#[cfg(test)]
mod tests;
