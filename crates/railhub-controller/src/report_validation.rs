//! Which load reports of a proxy are accepted. Free of I/O and of clocks.
use railhub::Seconds;
use railhub_proto::{LoadReport, SliceLoad};
use thiserror::Error;

/// Seconds that one report may cover.
const MAX_REPORT_SPAN: Seconds = 60.0;

/// What is impossible in a load report; the text goes to the proxy.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ReportError {
    /// It covers a negative time, or one that is too long.
    #[error("a span that cannot be")]
    Span,
    /// A time is no number or negative, or more attempts failed than there were.
    #[error("times or counts that cannot be")]
    TimesOrCounts,
    /// A utilization is no number or negative.
    #[error("a load that cannot be")]
    Utilization,
    /// A slice or class has too large a number.
    #[error("a slice or class that cannot be")]
    SliceOrClass,
}

/// Checks a report before it is added up.
///
/// # Errors
/// The first impossible value that is found.
pub fn validate(report: &LoadReport) -> Result<(), ReportError> {
    if !(0.0..=MAX_REPORT_SPAN).contains(&report.span) {
        return Err(ReportError::Span);
    }
    let is_duration = |seconds: f64| seconds.is_finite() && seconds >= 0.0;
    if !report.hosts.iter().all(|host| is_duration(host.success_time) && host.failed <= host.attempts) {
        return Err(ReportError::TimesOrCounts);
    }
    if !report.hosts.iter().filter_map(|host| host.utilization).all(is_duration) {
        return Err(ReportError::Utilization);
    }
    if !report.slices.iter().all(has_valid_numbers) {
        return Err(ReportError::SliceOrClass);
    }
    Ok(())
}

fn has_valid_numbers(load: &SliceLoad) -> bool {
    u16::try_from(load.slice).is_ok() && u8::try_from(load.class).is_ok()
}

#[cfg(test)]
mod tests;
