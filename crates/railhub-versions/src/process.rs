//! The program that decides. It is asked and waited for: a simulated run goes on when it has answered.
use crate::wire;
use railhub::{Round, Terms};
use railhub_steward::decides::Decides;
use railhub_steward::draft::Draft;
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
    pub fn start(program: &Path, terms: &Terms, zones: usize) -> Result<(Version, FaultPlace), Fault> {
        Version::start_with(program, terms, zones, PATIENCE)
    }

    fn start_with(
        program: &Path,
        terms: &Terms,
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

    fn ask(&mut self, round: &Round, draft: &mut Draft) -> Result<(), String> {
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

impl Decides for Version {
    fn round(&mut self, round: &Round, draft: &mut Draft) {
        if self.to.is_none() {
            return;
        }
        if let Err(what) = self.ask(round, draft) {
            *draft = Draft::default();
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
mod tests {
    use super::*;

    /// What becomes of a version that is such a program.
    fn fault_of(name: &str, script: &str) -> Option<Fault> {
        use std::os::unix::fs::PermissionsExt;
        let path = std::env::temp_dir().join(format!("railhub-version-{}-{name}", std::process::id()));
        std::fs::write(&path, format!("#!/bin/sh\n{script}\n")).expect("writable");
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("ours");
        let (mut version, fault) = Version::start(&path, &Terms::default(), 1).expect("it starts");
        let mut draft = Draft::default();
        version.round(&Round::default(), &mut draft);
        version.round(&Round::default(), &mut draft);
        std::fs::remove_file(&path).expect("there");
        assert!(draft.wakes.is_empty() || fault.lock().expect("held by none").is_none());
        let fault = fault.lock().expect("held by none").clone();
        fault
    }

    #[test]
    fn a_version_that_ends_talks_nonsense_or_gives_up_is_a_fault_and_decides_nothing() {
        let answers = "while read line; do case $line in OVER*) echo DONE;; esac; done";
        assert_eq!(fault_of("good", answers), None);
        let what = |name, script| fault_of(name, script).expect("a fault").what;
        assert!(
            ["ended"].contains(&what("ends", "read line; read line; read line; read line; exit 0").as_str())
        );
        assert!(what("nonsense", "echo AFTER in_us=1 ref=2; echo hello there; cat > /dev/null")
            .contains("'hello'"));
        assert!(what("dies", "echo DIE words=no such field; cat > /dev/null")
            .contains("gave up: DIE words=no such"));
    }

    /// More than a pipe holds, to one that never reads.
    #[test]
    fn a_version_that_does_not_read_is_given_up_and_holds_nobody_up() {
        let patience = Duration::from_millis(300);
        let (mut version, fault) =
            Version::start_with(Path::new("/usr/bin/yes"), &Terms::default(), 1, patience)
                .expect("it starts");
        let round = Round { timers: vec![railhub::TimerId(u64::MAX); 100_000], ..Round::default() };
        let began = Instant::now();
        version.round(&round, &mut Draft::default());
        drop(version);
        assert!(began.elapsed() < Duration::from_secs(10));
        assert!(fault.lock().expect("held by none").is_some());
        let (mut version, fault) =
            Version::start_with(Path::new("/bin/sleep"), &Terms::default(), 1, patience).expect("it starts");
        version.round(&round, &mut Draft::default());
        assert!(fault.lock().expect("held by none").is_some(), "it ends at once: no time is named");
    }

    #[test]
    fn a_program_that_is_not_there_is_named() {
        let fault =
            Version::start(Path::new("/nowhere/at-all"), &Terms::default(), 1).err().expect("a fault");
        assert!(fault.to_string().starts_with("the version /nowhere/at-all: cannot be started"), "{fault}");
    }
}
