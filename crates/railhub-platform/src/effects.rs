//! What the controller wants of its driver, and what it reports for the log.
use crate::command::Command;
use crate::host_directory::HealthCheck;
use crate::sink::Notice;
use railhub::Seconds;
use thiserror::Error;

/// What the driver does after [`crate::PlatformController::poll`], and logs.
#[derive(Debug, Default)]
pub struct Effects {
    /// Health checks to make.
    pub health_checks: Vec<HealthCheck>,
    /// What the decisions report, for the log.
    pub notices: Vec<Notice>,
    /// Batches handled: 0 or 1.
    pub batches: u64,
    /// Seconds by which expired timers came late.
    pub timer_lateness: Vec<Seconds>,
}

/// Commands that the relay will not carry out. The next snapshot corrects what the decisions believe.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum DroppedCommands {
    /// The relay stopped at a command: it names what the relay does not know, or a number below 0.
    #[error("relay refused a command: {0}")]
    Refused(Command),
    /// The relay cannot read a call.
    #[error("relay cannot read a call: commands_dropped={commands}")]
    MalformedCall {
        /// How many commands it carried.
        commands: usize,
    },
}
