//! One steward as a process. It is ended by its id, whatever becomes of the run: when this is dropped, and, if the run
//! itself is killed, by the kernel (a stopped process does not see its standard input end).
use serde::Deserialize;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

/// How long a process may take to say where it listens, and to go when it is asked to.
const STARTS_WITHIN: Duration = Duration::from_secs(20);
const GOES_WITHIN: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, Deserialize)]
struct Listening {
    listening: SocketAddr,
    fleet: Option<SocketAddr>,
    process: Option<u64>,
}

pub struct Process {
    child: Mutex<Option<Child>>,
    /// Where it listens for proxies, and for other stewards; port 0: it is in no fleet.
    pub listening: SocketAddr,
    pub fleet: SocketAddr,
    /// Its number in the fleet.
    pub number: Option<u64>,
}

/// Where a process's log goes, how it is written, and from which level on.
pub struct Log {
    pub to: Stdio,
    pub form: &'static str,
    pub level: String,
}

impl Process {
    /// Starts a steward with a file of settings; its log goes to another.
    ///
    /// # Errors
    /// What went wrong, with the log's path.
    pub fn start(binary: &Path, conf: &Path, log: &Path) -> Result<Process, String> {
        let told = File::create(log).map_err(|e| format!("{}: {e}", log.display()))?;
        let kept = Log { to: told.into(), form: "text", level: "info".into() };
        Process::start_with(binary, conf, kept).map_err(|what| format!("{what}; its log: {}", log.display()))
    }

    /// The same with a log of any kind.
    ///
    /// # Errors
    /// What went wrong.
    pub fn start_with(binary: &Path, conf: &Path, log: Log) -> Result<Process, String> {
        let mut command = Command::new(binary);
        command.args(["controller", "--until-stdin-ends", "--log", log.form, "--conf"]).arg(conf);
        command.env("RAILHUB_LOG", log.level).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log.to);
        // SAFETY: prctl is safe to call between fork and exec, and touches nothing of ours.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let mut child = spawn(command).map_err(|e| format!("{}: {e}", binary.display()))?;
        let out = child.stdout.take();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process =
            Process { child: Mutex::new(Some(child)), listening: nowhere, fleet: nowhere, number: None };
        let told = out.ok_or_else(|| "no standard output".to_owned()).and_then(first_line);
        match told {
            Ok(told) => {
                (process.listening, process.fleet) = (told.listening, told.fleet.unwrap_or(nowhere));
                process.number = told.process;
                Ok(process)
            }
            Err(what) => Err(format!("a steward does not start: {what}")),
        }
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().expect("no holder panics").as_ref() {
            // SAFETY: the child has not been waited for, so its id is its own.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Seconds of processor time that it has taken, while it can be asked.
    pub fn processor(&self) -> Option<f64> {
        let held = self.child.lock().expect("no holder panics");
        let told = std::fs::read_to_string(format!("/proc/{}/stat", held.as_ref()?.id())).ok()?;
        // The name stands in brackets and may hold anything; user and system time are the 12th and 13th after it.
        let fields: Vec<&str> = told.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        // SAFETY: asks for a number.
        let a_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
        Some(ticks / a_second.max(1) as f64)
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

/// The kernel ends a child when the *thread* that started it ends: so all are started by one that lasts.
fn spawn(command: Command) -> io::Result<Child> {
    type Wish = (Command, Sender<io::Result<Child>>);
    static THREAD: OnceLock<Mutex<Sender<Wish>>> = OnceLock::new();
    let wishes = THREAD.get_or_init(|| {
        let (sender, receiver) = channel::<Wish>();
        std::thread::spawn(move || {
            for (mut command, answer) in receiver {
                let _ = answer.send(command.spawn());
            }
        });
        Mutex::new(sender)
    });
    let (sender, receiver) = channel();
    let gone = || io::Error::other("the thread that starts processes is gone");
    wishes.lock().expect("no holder panics").send((command, sender)).map_err(|_| gone())?;
    receiver.recv().map_err(|_| gone())?
}

fn first_line(out: ChildStdout) -> Result<Listening, String> {
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
    serde_json::from_str(&line).map_err(|e| format!("{line:?}: {e}"))
}
