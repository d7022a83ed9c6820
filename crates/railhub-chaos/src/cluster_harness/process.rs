//! A controller as a process. It is ended by its id, whatever becomes of the run: when [`ControllerProcess`] is dropped,
//! and, if the run itself is killed, by the kernel (a stopped process does not see its standard input end).
use super::error::ProcessError;
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

/// How long a process may take to print its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a process may take to end once it was asked to.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a process that was asked to end is checked.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The fields of `/proc/ID/stat` with user and system time, counted from the one after the process's name.
const PROCESSOR_TIME_FIELDS: [usize; 2] = [11, 12];

/// The first line that a controller prints.
#[derive(Clone, Copy, Debug, Deserialize)]
struct PrintedAddresses {
    listening: SocketAddr,
    fleet: Option<SocketAddr>,
    process: Option<u64>,
}

/// A running controller.
pub struct ControllerProcess {
    child: Mutex<Option<Child>>,
    /// Where it listens for proxies.
    pub proxy_address: SocketAddr,
    /// Where it listens for other controllers; port 0: it is in no cluster.
    pub cluster_address: SocketAddr,
    /// The number of its process in the cluster.
    pub number: Option<u64>,
}

/// A process's log.
pub struct ProcessLog {
    /// Where it goes.
    pub to: Stdio,
    /// The log format, a value of the command line's `--log`.
    pub format: &'static str,
    /// The lowest level that is logged.
    pub level: String,
}

impl ControllerProcess {
    /// Starts a controller with a settings file and a log file.
    ///
    /// # Errors
    /// Why it does not start, with the log's path.
    pub fn start(binary: &Path, settings: &Path, log: &Path) -> Result<ControllerProcess, ProcessError> {
        let file = File::create(log).map_err(|source| ProcessError::Log { path: log.to_owned(), source })?;
        let process_log = ProcessLog { to: file.into(), format: "text", level: "info".into() };
        ControllerProcess::start_with_log(binary, settings, process_log)
            .map_err(|error| ProcessError::Logged { error: Box::new(error), log: log.to_owned() })
    }

    /// Starts a controller with a settings file and a log of any kind.
    ///
    /// # Errors
    /// Why it does not start.
    pub fn start_with_log(
        binary: &Path,
        settings: &Path,
        log: ProcessLog,
    ) -> Result<ControllerProcess, ProcessError> {
        let mut command = Command::new(binary);
        command.args(["controller", "--until-stdin-ends", "--log", log.format, "--conf"]).arg(settings);
        command.env("RAILHUB_LOG", log.level).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log.to);
        end_with_parent(&mut command);
        let mut child =
            spawn(command).map_err(|source| ProcessError::Spawn { binary: binary.to_owned(), source })?;
        let output = child.stdout.take();
        let no_address = SocketAddr::from(([127, 0, 0, 1], 0));
        // Ends the child when its addresses cannot be read.
        let mut process = ControllerProcess {
            child: Mutex::new(Some(child)),
            proxy_address: no_address,
            cluster_address: no_address,
            number: None,
        };
        let addresses = read_addresses(output.ok_or(ProcessError::NoStandardOutput)?)?;
        process.proxy_address = addresses.listening;
        process.cluster_address = addresses.fleet.unwrap_or(no_address);
        process.number = addresses.process;
        Ok(process)
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().expect("no holder panics").as_ref() {
            // SAFETY: the child has not been waited for, so its id is its own.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Seconds of processor time that it has used, while it runs.
    pub fn processor_seconds(&self) -> Option<f64> {
        let child = self.child.lock().expect("no holder panics");
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.as_ref()?.id())).ok()?;
        // The name stands in brackets and may hold any character.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let mut ticks = 0.0;
        for field in PROCESSOR_TIME_FIELDS {
            ticks += fields.get(field)?.parse::<f64>().ok()?;
        }
        // SAFETY: sysconf reads a number.
        let ticks_per_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
        Some(ticks / ticks_per_second.max(1) as f64)
    }

    /// Stops it until it is resumed.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets it continue.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Ends it at once.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("no holder panics").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks it to leave the cluster and to end, and waits until it has; kills it after a timeout.
    pub fn leave(&self) {
        self.signal(libc::SIGTERM);
        let deadline = Instant::now() + LEAVE_TIMEOUT;
        while Instant::now() < deadline {
            if self.has_ended() {
                return;
            }
            std::thread::sleep(LEAVE_CHECK_INTERVAL);
        }
        self.kill();
    }

    fn has_ended(&self) -> bool {
        let mut child = self.child.lock().expect("no holder panics");
        let has_ended = child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
        if has_ended {
            *child = None;
        }
        has_ended
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Has the kernel kill a command's process when the thread that started it ends.
fn end_with_parent(command: &mut Command) {
    // SAFETY: prctl may be called between fork and exec, and changes nothing of this process.
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        });
    }
}

/// A command to start, and where the child goes.
struct SpawnRequest {
    command: Command,
    reply: Sender<io::Result<Child>>,
}

/// Starts a process from a thread that lasts: the kernel ends a child with the *thread* that started it.
fn spawn(command: Command) -> io::Result<Child> {
    static SPAWNER: OnceLock<Mutex<Sender<SpawnRequest>>> = OnceLock::new();
    let spawner = SPAWNER.get_or_init(|| {
        let (sender, receiver) = channel::<SpawnRequest>();
        std::thread::spawn(move || {
            for mut request in receiver {
                let _ = request.reply.send(request.command.spawn());
            }
        });
        Mutex::new(sender)
    });
    let (reply, child) = channel();
    let spawner_gone = || io::Error::other("the thread that starts processes is gone");
    let request = SpawnRequest { command, reply };
    spawner.lock().expect("no holder panics").send(request).map_err(|_| spawner_gone())?;
    child.recv().map_err(|_| spawner_gone())?
}

fn read_addresses(output: ChildStdout) -> Result<PrintedAddresses, ProcessError> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        let _ = BufReader::new(output).read_line(&mut line);
        let _ = sender.send(line);
    });
    let line = receiver.recv_timeout(START_TIMEOUT).map_err(|error| match error {
        RecvTimeoutError::Timeout => ProcessError::StartTimeout,
        RecvTimeoutError::Disconnected => ProcessError::ExitedEarly,
    })?;
    serde_json::from_str(&line).map_err(|source| ProcessError::Addresses { line, source })
}
