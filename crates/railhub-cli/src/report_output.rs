//! How commands print a report and end after a check.
use crate::CommandError;
use serde::Serialize;

/// Prints a report as one line of JSON, or as the text that `format` makes of it.
///
/// # Errors
/// The report cannot be converted to JSON.
pub fn print_report<R: Serialize>(
    report: &R,
    as_json: bool,
    format: impl FnOnce(&R) -> String,
) -> Result<(), CommandError> {
    if as_json {
        println!("{}", serde_json::to_string(report)?);
    } else {
        print!("{}", format(report));
    }
    Ok(())
}

/// The result of a command that checked something.
///
/// # Errors
/// [`CommandError::CheckFailed`] if it did not pass.
pub fn check_result(has_passed: bool) -> Result<(), CommandError> {
    if has_passed {
        Ok(())
    } else {
        Err(CommandError::CheckFailed)
    }
}
