//! One steward as a process. It is ended by its id, whatever becomes of the run: when this is dropped, and, if the run
//! itself is killed, by the kernel (a stopped process does not see its standard input end).
use serde::Deserialize;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How long a process may take to say where it listens, and to go when it is asked to.
const STARTS_WITHIN: Duration = Duration::from_secs(20);
const GOES_WITHIN: Duration = Duration::from_secs(3);

#[derive(Deserialize)]
struct Listening {
    fleet: SocketAddr,
}

pub struct Process {
    child: Mutex<Option<Child>>,
    /// Where it listens for other stewards.
    pub fleet: SocketAddr,
}

impl Process {
    /// Starts a steward with a file of settings; its log goes to another.
    ///
    /// # Errors
    /// What went wrong, with the log's path.
    pub fn start(binary: &Path, conf: &Path, log: &Path) -> Result<Process, String> {
        let told = File::create(log).map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = Command::new(binary);
        command.args(["steward", "--until-stdin-ends", "--log", "text", "--conf"]).arg(conf);
        command.env("RAILHUB_LOG", "info").stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(told);
        // SAFETY: prctl is safe to call between fork and exec, and touches nothing of ours.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", binary.display()))?;
        let out = child.stdout.take();
        let mut process =
            Process { child: Mutex::new(Some(child)), fleet: SocketAddr::from(([127, 0, 0, 1], 0)) };
        let fleet = out.ok_or_else(|| "no standard output".to_owned()).and_then(first_line);
        match fleet {
            Ok(fleet) => {
                process.fleet = fleet;
                Ok(process)
            }
            Err(what) => Err(format!("a steward does not start: {what}; its log: {}", log.display())),
        }
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().expect("no holder panics").as_ref() {
            // SAFETY: the child has not been waited for, so its id is its own.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    pub fn stop(&self) {
        self.signal(libc::SIGSTOP);
    }

    pub fn go_on(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Ends it outright.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("no holder panics").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks it to go, and waits until it has.
    pub fn leave(&self) {
        self.signal(libc::SIGTERM);
        let until = Instant::now() + GOES_WITHIN;
        while Instant::now() < until {
            let mut held = self.child.lock().expect("no holder panics");
            if held.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                *held = None;
                return;
            }
            drop(held);
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn first_line(out: ChildStdout) -> Result<SocketAddr, String> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        let _ = BufReader::new(out).read_line(&mut line);
        let _ = sender.send(line);
    });
    let line = receiver.recv_timeout(STARTS_WITHIN).map_err(|e| match e {
        RecvTimeoutError::Timeout => "it says nothing".to_owned(),
        RecvTimeoutError::Disconnected => "it ended".to_owned(),
    })?;
    let listening: Listening = serde_json::from_str(&line).map_err(|e| format!("{line:?}: {e}"))?;
    Ok(listening.fleet)
}
