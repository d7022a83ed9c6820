//! Owns the lines that an engine sends, each an action. An action that proxies here do not support is an error: if it
//! were ignored, the engine would be measured as what it is not.
use super::request::TICK_US;
use railhub::{BarrierId, ClassId, CommandSink, HostId, ProxyId, RetryPolicy, SliceId, TimerId};
use railhub_controller::delta_builder::DeltaBuilder;
use std::net::SocketAddr;
use std::str::FromStr;
use thiserror::Error;

/// The table number that stands for all tables.
const ALL_TABLES: u16 = u16::MAX;
/// Number of classes that a bit mask can name.
const MAX_MASKED_CLASSES: usize = 64;

/// Why a line of a reply cannot be applied.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// A field is missing, invalid or not supported.
    #[error("{action}: field {field} {problem}, in '{line}'")]
    Field {
        /// Name of the action.
        action: String,
        /// Name of the field.
        field: String,
        /// What is wrong with it.
        problem: String,
        /// The line.
        line: String,
    },
    /// No such action is supported.
    #[error("'{action}' is not known here, in '{line}'")]
    UnknownAction {
        /// Name of the action.
        action: String,
        /// The line.
        line: String,
    },
    /// The engine reports that it cannot go on.
    #[error("it gave up: {0}")]
    GaveUp(String),
}

/// Whether a reply has more lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More lines follow.
    Incomplete,
    /// The line was the last one.
    Complete,
}

struct Action<'a> {
    line: &'a str,
    name: &'a str,
}

impl<'a> Action<'a> {
    fn text(&self, field: &str) -> Result<&'a str, WireError> {
        let mut pairs = self.line.split(' ').filter_map(|part| part.split_once('='));
        let found = pairs.find(|(name, _)| *name == field);
        found.map(|(_, value)| value).ok_or_else(|| self.error(field, "is missing"))
    }

    fn get<T: FromStr>(&self, field: &str) -> Result<T, WireError> {
        let value = self.text(field)?;
        value.parse().map_err(|_| self.invalid(field, value))
    }

    /// A finite number that is not negative.
    fn amount(&self, field: &str) -> Result<f64, WireError> {
        let value: f64 = self.get(field)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid(field, value))
        }
    }

    fn flag(&self, field: &str) -> Result<bool, WireError> {
        match self.text(field)? {
            "1" | "true" => Ok(true),
            "0" | "false" => Ok(false),
            other => Err(self.invalid(field, other)),
        }
    }

    fn host(&self) -> Result<HostId, WireError> {
        Ok(HostId::from(self.get::<SocketAddr>("host")?))
    }

    fn invalid(&self, field: &str, value: impl std::fmt::Display) -> WireError {
        self.error(field, &format!("cannot be '{value}'"))
    }

    fn error(&self, field: &str, problem: &str) -> WireError {
        WireError::Field {
            action: self.name.to_owned(),
            field: field.to_owned(),
            problem: problem.to_owned(),
            line: self.line.to_owned(),
        }
    }
}

/// Applies one line of a reply to a delta. `classes`: the number of classes of the configuration.
///
/// # Errors
/// The line is malformed or its action is not supported, or the engine gave up.
pub fn apply_line(line: &str, classes: usize, delta: &mut DeltaBuilder) -> Result<Progress, WireError> {
    let line = line.trim_end();
    let name = line.split(' ').next().unwrap_or_default();
    let action = Action { line, name };
    match name {
        "DONE" => return Ok(Progress::Complete),
        "" | "SPEAKING" => {}
        "SET_LINE" => {
            delta.set_weight(SliceId(action.get("sheet")?), action.host()?, action.amount("w")?);
        }
        "HAND_TABLE" => apply_table(&action, delta)?,
        "THROTTLE" => apply_admission_rate(&action, classes, delta)?,
        "BENCH" => apply_exclusion(&action, delta)?,
        "BARRIER" => delta.set_barrier(BarrierId(action.get("rev")?)),
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
    if action.get::<u64>("only")? != 0 {
        return Err(action.error("only", "names classes: tables for some classes are not known here"));
    }
    delta.assign_table(SliceId(action.get("sheet")?), ProxyId(action.get("edge")?));
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

/// Sets a timer of at least one tick: simulated time would not advance past one that fires at once.
fn apply_timer(action: &Action, delta: &mut DeltaBuilder) -> Result<(), WireError> {
    let delay_us = action.get::<u64>("in_us")?.max(TICK_US);
    delta.set_timer(delay_us as f64 / 1e6, TimerId(action.get("ref")?));
    Ok(())
}

fn note(line: &str) -> &str {
    line.split_once("words=").map_or("", |(_, note)| note)
}

fn apply_admission_rate(action: &Action, classes: usize, delta: &mut DeltaBuilder) -> Result<(), WireError> {
    if action.get::<u16>("sheet")? != ALL_TABLES {
        return Err(action.error("sheet", "names one table: levels of one table are not known here"));
    }
    let retry_policy = match action.get::<u32>("second_try")? {
        0 => RetryPolicy::Never,
        1 => RetryPolicy::IfNotExecuted,
        2 => RetryPolicy::AfterFailure,
        _ => return Err(action.error("second_try", "is not known here")),
    };
    let class_mask = action.get::<u64>("only")?;
    let amount = action.amount("amount")?;
    for class in 0..classes.min(MAX_MASKED_CLASSES) {
        let is_selected = class_mask == 0 || class_mask >> class & 1 == 1;
        if is_selected {
            delta.set_admission_rate(ClassId(class as u8), amount, retry_policy);
        }
    }
    Ok(())
}
