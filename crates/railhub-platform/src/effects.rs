//! Work for the driver that results from handling events, and errors for its log.
use crate::command::Command;
use crate::host_directory::HealthCheck;
use crate::sink::Notice;
use railhub::Seconds;
use thiserror::Error;

/// The result of [`crate::PlatformController::poll`]: health checks for the driver to make, and values for its log.
#[derive(Debug, Default)]
pub struct Effects {
    /// Health checks to start.
    pub health_checks: Vec<HealthCheck>,
    /// Log messages of the decision logic.
    pub notices: Vec<Notice>,
    /// Number of batches handled: 0 or 1.
    pub batches: u64,
    /// For each expired timer, the seconds between its due time and this poll.
    pub timer_lateness: Vec<Seconds>,
}

/// Commands that the relay will not carry out. Dropped exclusions and readmissions are reported to the decision logic; the
/// next snapshot corrects the tables that it assumes.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum DroppedCommands {
    /// The relay stopped at this command: it names something unknown to the relay, or contains a negative number.
    #[error("relay refused a command: {0}")]
    Refused(Command),
    /// The relay could not parse a call.
    #[error("relay cannot read a call: commands_dropped={commands}")]
    MalformedCall {
        /// Number of commands in the call.
        commands: usize,
    },
}
