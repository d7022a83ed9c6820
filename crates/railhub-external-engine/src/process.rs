//! An external decision engine: a child process that receives event batches and replies with actions. The caller blocks
//! until the reply is complete; simulated time does not advance meanwhile.
//!
//! An engine runs until its first error and is failed from then on. A failed engine leaves every delta empty, and the
//! results of its run are invalid.
mod error;
mod pipes;

pub use error::{EngineError, EngineErrorCause, EngineErrorSlot};

use crate::wire::{self, Progress};
use pipes::{spawn_reader, spawn_writer};
use railhub::{ControllerConfig, EventBatch};
use railhub_controller::decision_engine::DecisionEngine;
use railhub_controller::delta_builder::DeltaBuilder;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::{Duration, Instant};

/// Maximum time for one reply. Decisions take milliseconds, so an engine that takes longer than this hangs.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// A running external engine. Dropping it kills the process.
pub struct ExternalEngine {
    program: PathBuf,
    child: Child,
    /// Encoded batches to send; `None` after the first error.
    batch_sender: Option<SyncSender<String>>,
    reply_timeout: Duration,
    reply_lines: Receiver<io::Result<String>>,
    /// The line that creates the instance; taken when the first batch is sent.
    create_line: Option<String>,
    class_count: usize,
    error: EngineErrorSlot,
}

impl ExternalEngine {
    /// Starts the program. The first later error is stored in the returned slot.
    ///
    /// # Errors
    /// The process cannot be started, or its standard input or output is not available.
    pub fn start(
        program: &Path,
        config: &ControllerConfig,
        zones: usize,
    ) -> Result<(ExternalEngine, EngineErrorSlot), EngineError> {
        ExternalEngine::start_with_timeout(program, config, zones, REPLY_TIMEOUT)
    }

    fn start_with_timeout(
        program: &Path,
        config: &ControllerConfig,
        zones: usize,
        reply_timeout: Duration,
    ) -> Result<(ExternalEngine, EngineErrorSlot), EngineError> {
        let engine_error = |cause| EngineError::new(program, cause);
        let mut child = spawn(program).map_err(engine_error)?;
        let input = child.stdin.take().ok_or_else(|| engine_error(EngineErrorCause::NoInput))?;
        let batch_sender = spawn_writer(input);
        let output = child.stdout.take().ok_or_else(|| engine_error(EngineErrorCause::NoOutput))?;
        let reply_lines = spawn_reader(output);
        let error = EngineErrorSlot::default();
        let engine = ExternalEngine {
            program: program.to_owned(),
            child,
            batch_sender: Some(batch_sender),
            reply_timeout,
            reply_lines,
            create_line: Some(wire::encode_create(config, zones)),
            class_count: config.classes.len(),
            error: error.clone(),
        };
        Ok((engine, error))
    }

    /// Sends a batch and applies the reply to the delta.
    fn exchange(&mut self, events: &EventBatch, delta: &mut DeltaBuilder) -> Result<(), EngineErrorCause> {
        let batch = wire::encode_batch(events, self.create_line.take().as_deref());
        let batch_sender = self.batch_sender.as_ref().ok_or(EngineErrorCause::NoInput)?;
        if batch_sender.try_send(batch).is_err() {
            return Err(self.send_error_cause());
        }
        let deadline = Instant::now() + self.reply_timeout;
        loop {
            let line = self.next_line(deadline)?;
            if wire::apply_line(&line, self.class_count, delta)? == Progress::Complete {
                return Ok(());
            }
        }
    }

    /// The cause of the error when a batch cannot be sent. The last line that the engine wrote explains more than the
    /// broken pipe does.
    fn send_error_cause(&self) -> EngineErrorCause {
        let last_line = self.reply_lines.try_iter().filter_map(Result::ok).last();
        match last_line {
            Some(line) => EngineErrorCause::LastLine(line.trim_end().to_owned()),
            None => EngineErrorCause::InputNotRead,
        }
    }

    fn next_line(&self, deadline: Instant) -> Result<String, EngineErrorCause> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        match self.reply_lines.recv_timeout(remaining) {
            Ok(line) => line.map_err(|error| EngineErrorCause::Read(error.to_string())),
            Err(RecvTimeoutError::Disconnected) => Err(EngineErrorCause::OutputClosed),
            Err(RecvTimeoutError::Timeout) => {
                let seconds = self.reply_timeout.as_secs_f64();
                Err(EngineErrorCause::Timeout(format!("{seconds:.1}")))
            }
        }
    }
}

fn spawn(program: &Path) -> Result<Child, EngineErrorCause> {
    let mut command = Command::new(program);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
    command.spawn().map_err(|error| EngineErrorCause::Start(error.to_string()))
}

impl DecisionEngine for ExternalEngine {
    fn handle_batch(&mut self, events: &EventBatch, delta: &mut DeltaBuilder) {
        if self.batch_sender.is_none() {
            return;
        }
        if let Err(cause) = self.exchange(events, delta) {
            *delta = DeltaBuilder::default();
            self.batch_sender = None;
            let error = EngineError::new(&self.program, cause);
            *self.error.lock().expect("no holder panics") = Some(error);
        }
    }
}

impl Drop for ExternalEngine {
    fn drop(&mut self) {
        self.batch_sender = None;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[cfg(test)]
mod tests;
