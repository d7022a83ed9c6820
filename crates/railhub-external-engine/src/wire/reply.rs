//! Decodes the lines that an engine sends; each line is one action. An action that the proxies of this system do not
//! support is an error: if it were ignored, a run would measure the engine without the effect of that action.
use super::request::TICK_US;
use railhub::{BarrierId, ClassId, CommandSink, HostId, ProxyId, RetryPolicy, SliceId, TimerId};
use railhub_controller::delta_builder::DeltaBuilder;
use std::net::SocketAddr;
use std::str::FromStr;
use thiserror::Error;

/// Table number that addresses all tables.
const ALL_TABLES: u16 = u16::MAX;
/// Number of classes that the class bit mask of an action can select.
const MAX_MASKED_CLASSES: usize = 64;

/// Why a line of a reply cannot be applied. The texts are part of an engine's error, which experiments store, and must
/// not change.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// A field is missing, invalid or not supported.
    #[error("{action}: field {field} {problem}, in '{line}'")]
    Field {
        /// Name of the action.
        action: String,
        /// Name of the field.
        field: String,
        /// What is wrong with the field.
        problem: String,
        /// The complete line.
        line: String,
    },
    /// The action is unknown or not supported.
    #[error("'{action}' is not known here, in '{line}'")]
    UnknownAction {
        /// Name of the action.
        action: String,
        /// The complete line.
        line: String,
    },
    /// The engine reported that it cannot continue; the line with its reason.
    #[error("it gave up: {0}")]
    GaveUp(String),
}

/// Whether a reply is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More lines follow.
    Incomplete,
    /// The line was the last one of the reply.
    Complete,
}

/// An action: a line that consists of a name and `field=value` pairs.
struct Action<'a> {
    line: &'a str,
    name: &'a str,
}

impl<'a> Action<'a> {
    /// The value of a field as text.
    fn text(&self, field: &str) -> Result<&'a str, WireError> {
        let mut pairs = self.line.split(' ').filter_map(|part| part.split_once('='));
        let found = pairs.find(|(name, _)| *name == field);
        found.map(|(_, value)| value).ok_or_else(|| self.field_error(field, "is missing"))
    }

    /// The parsed value of a field.
    fn parse<T: FromStr>(&self, field: &str) -> Result<T, WireError> {
        let value = self.text(field)?;
        value.parse().map_err(|_| self.invalid_value(field, value))
    }

    /// The value of a field that must be a finite number and not negative.
    fn amount(&self, field: &str) -> Result<f64, WireError> {
        let value: f64 = self.parse(field)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid_value(field, value))
        }
    }

    fn flag(&self, field: &str) -> Result<bool, WireError> {
        match self.text(field)? {
            "1" | "true" => Ok(true),
            "0" | "false" => Ok(false),
            other => Err(self.invalid_value(field, other)),
        }
    }

    fn host(&self) -> Result<HostId, WireError> {
        Ok(HostId::from(self.parse::<SocketAddr>("host")?))
    }

    fn invalid_value(&self, field: &str, value: impl std::fmt::Display) -> WireError {
        self.field_error(field, &format!("cannot be '{value}'"))
    }

    fn field_error(&self, field: &str, problem: &str) -> WireError {
        WireError::Field {
            action: self.name.to_owned(),
            field: field.to_owned(),
            problem: problem.to_owned(),
            line: self.line.to_owned(),
        }
    }
}

/// Applies one line of a reply to a delta. `class_count` is the number of classes in the configuration.
///
/// # Errors
/// The line is malformed, its action is not supported, or the engine reports that it cannot continue.
pub fn apply_line(line: &str, class_count: usize, delta: &mut DeltaBuilder) -> Result<Progress, WireError> {
    let line = line.trim_end();
    let name = line.split(' ').next().unwrap_or_default();
    let action = Action { line, name };
    match name {
        "DONE" => return Ok(Progress::Complete),
        "" | "SPEAKING" => {}
        "SET_LINE" => {
            delta.set_weight(SliceId(action.parse("sheet")?), action.host()?, action.amount("w")?);
        }
        "HAND_TABLE" => apply_table(&action, delta)?,
        "THROTTLE" => apply_admission_rate(&action, class_count, delta)?,
        "BENCH" => apply_exclusion(&action, delta)?,
        "BARRIER" => delta.set_barrier(BarrierId(action.parse("rev")?)),
        "INSPECT" => delta.check_health(action.host()?),
        "AFTER" => apply_timer(&action, delta)?,
        "TRACE" => delta.decision_log.push(note(line).to_owned()),
        "DIE" => return Err(WireError::GaveUp(line.to_owned())),
        other => {
            return Err(WireError::UnknownAction { action: other.to_owned(), line: line.to_owned() });
        }
    }
    Ok(Progress::Incomplete)
}

fn apply_table(action: &Action, delta: &mut DeltaBuilder) -> Result<(), WireError> {
    if action.parse::<u64>("only")? != 0 {
        return Err(action.field_error("only", "names classes: tables for some classes are not known here"));
    }
    delta.assign_table(SliceId(action.parse("sheet")?), ProxyId(action.parse("edge")?));
    Ok(())
}

fn apply_exclusion(action: &Action, delta: &mut DeltaBuilder) -> Result<(), WireError> {
    let host = action.host()?;
    if action.flag("on")? {
        delta.exclude_host(host);
    } else {
        delta.readmit_host(host);
    }
    Ok(())
}

/// Sets a timer, after one tick at the earliest. An engine that sets a timer of 0 in each reply would otherwise keep
/// simulated time from advancing.
fn apply_timer(action: &Action, delta: &mut DeltaBuilder) -> Result<(), WireError> {
    let delay_us = action.parse::<u64>("in_us")?.max(TICK_US);
    delta.set_timer(delay_us as f64 / 1e6, TimerId(action.parse("ref")?));
    Ok(())
}

/// The text of a note, which may contain spaces and so is the rest of the line.
fn note(line: &str) -> &str {
    line.split_once("words=").map_or("", |(_, note)| note)
}

fn apply_admission_rate(
    action: &Action,
    class_count: usize,
    delta: &mut DeltaBuilder,
) -> Result<(), WireError> {
    if action.parse::<u16>("sheet")? != ALL_TABLES {
        return Err(action.field_error("sheet", "names one table: levels of one table are not known here"));
    }
    let retry_policy = match action.parse::<u32>("second_try")? {
        0 => RetryPolicy::Never,
        1 => RetryPolicy::IfNotExecuted,
        2 => RetryPolicy::AfterFailure,
        _ => return Err(action.field_error("second_try", "is not known here")),
    };
    // A mask of 0 selects all classes.
    let class_mask = action.parse::<u64>("only")?;
    let rate = action.amount("amount")?;
    for class in 0..class_count.min(MAX_MASKED_CLASSES) {
        let is_selected = class_mask == 0 || class_mask >> class & 1 == 1;
        if is_selected {
            delta.set_admission_rate(ClassId(class as u8), rate, retry_policy);
        }
    }
    Ok(())
}
