//! Checks the load reports of proxies. Does no I/O and reads no clock.
use railhub::Seconds;
use railhub_proto::{LoadReport, SliceLoad};
use thiserror::Error;

/// Maximum seconds that one report may cover.
const MAX_REPORT_SPAN: Seconds = 60.0;

/// Why a load report is invalid. The text is for the log; the proxy is sent a text of the `goodbye` module.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ReportError {
    /// The report covers a negative time, or more than `MAX_REPORT_SPAN`.
    #[error("load report with a span that is not from 0 to {max} s", max = MAX_REPORT_SPAN)]
    Span,
    /// A time is negative or not finite, or more attempts failed than were made.
    #[error(
        "load report with a time that is negative or not finite, or with more failed attempts than attempts"
    )]
    TimesOrCounts,
    /// A utilization is negative or not finite.
    #[error("load report with a utilization that is negative or not finite")]
    Utilization,
    /// The number of a slice or class is too large.
    #[error("load report with a slice number over {} or a class number over {}", u16::MAX, u8::MAX)]
    SliceOrClass,
}

/// Checks a report before it is aggregated.
///
/// # Errors
/// The first kind of invalid value that is found.
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
