//! The program that decides. It is asked and waited for: a simulated run goes on when it has answered.
use crate::wire;
use railhub::{ControllerConfig, EventBatch};
use railhub_controller::decision_engine::DecisionEngine;
use railhub_controller::delta_builder::DeltaBuilder;
use std::io::{BufRead, BufReader, Read, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Seconds for one answer: a round of the module takes milliseconds, a version that takes this long hangs.
const PATIENCE: Duration = Duration::from_secs(20);
/// Lines of an answer that may wait to be taken in; past it the version waits.
const LINES_WAITING: usize = 4096;
/// Bytes one line may have: nothing in the protocol is longer than a note.
const LONGEST_LINE: u64 = 1 << 16;

#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the version {program}: {what}")]
pub struct Fault {
    pub program: String,
    pub what: String,
}

/// Where a run looks for what went wrong with its version.
pub type FaultPlace = Arc<Mutex<Option<Fault>>>;

/// A version at work. After its first fault it decides nothing more; the run is not to be believed then.
pub struct Version {
    program: PathBuf,
    child: Child,
    /// Batches on their way to it: written by a thread, since one that does not read must not hold us up.
    to: Option<SyncSender<String>>,
    patience: Duration,
    lines: Receiver<std::io::Result<String>>,
    start: Option<String>,
    classes: usize,
    fault: FaultPlace,
}

impl Version {
    pub fn start(
        program: &Path,
        terms: &ControllerConfig,
        zones: usize,
    ) -> Result<(Version, FaultPlace), Fault> {
        Version::start_with(program, terms, zones, PATIENCE)
    }

    fn start_with(
        program: &Path,
        terms: &ControllerConfig,
        zones: usize,
        patience: Duration,
    ) -> Result<(Version, FaultPlace), Fault> {
        let wrong = |what: String| Fault { program: program.display().to_string(), what };
        let mut command = Command::new(program);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().map_err(|e| wrong(format!("cannot be started: {e}")))?;
        let mut input = child.stdin.take().ok_or_else(|| wrong("has no input".into()))?;
        let (to, batches) = sync_channel::<String>(1);
        std::thread::spawn(move || {
            // It ends with its pipe, or when nothing more is to come.
            while let Ok(batch) = batches.recv() {
                if input.write_all(batch.as_bytes()).and_then(|()| input.flush()).is_err() {
                    return;
                }
            }
        });
        let from = child.stdout.take().ok_or_else(|| wrong("has no output".into()))?;
        let (sender, lines) = sync_channel(LINES_WAITING);
        std::thread::spawn(move || {
            let mut from = BufReader::new(from);
            loop {
                let mut line = Vec::new();
                let read = (&mut from).take(LONGEST_LINE).read_until(b'\n', &mut line);
                let line = match read {
                    Ok(0) => return,
                    Ok(_) => Ok(String::from_utf8_lossy(&line).into_owned()),
                    Err(error) => Err(error),
                };
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        let fault = FaultPlace::default();
        let version = Version {
            program: program.to_owned(),
            child,
            to: Some(to),
            patience,
            lines,
            start: Some(wire::create(terms, zones)),
            classes: terms.classes.len(),
            fault: fault.clone(),
        };
        Ok((version, fault))
    }

    fn ask(&mut self, round: &EventBatch, draft: &mut DeltaBuilder) -> Result<(), String> {
        let batch = wire::batch(round, self.start.take().as_deref());
        let to = self.to.as_ref().ok_or("has no input")?;
        if to.try_send(batch).is_err() {
            // What it said last tells more than the broken pipe.
            let last = self.lines.try_iter().filter_map(Result::ok).last();
            return Err(last.map_or("does not read".to_owned(), |line| line.trim_end().to_owned()));
        }
        let until = Instant::now() + self.patience;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).map_err(|error| match error {
                RecvTimeoutError::Timeout => {
                    format!("gave no answer for {:.1} s", self.patience.as_secs_f64())
                }
                RecvTimeoutError::Disconnected => "ended".to_owned(),
            })?;
            let line = line.map_err(|error| error.to_string())?;
            if wire::take_in(&line, self.classes, draft)? {
                return Ok(());
            }
        }
    }
}

impl DecisionEngine for Version {
    fn handle_batch(&mut self, round: &EventBatch, draft: &mut DeltaBuilder) {
        if self.to.is_none() {
            return;
        }
        if let Err(what) = self.ask(round, draft) {
            *draft = DeltaBuilder::default();
            self.to = None;
            let program = self.program.display().to_string();
            *self.fault.lock().expect("no holder panics") = Some(Fault { program, what });
        }
    }
}

impl Drop for Version {
    fn drop(&mut self) {
        self.to = None;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[cfg(test)]
mod tests;
