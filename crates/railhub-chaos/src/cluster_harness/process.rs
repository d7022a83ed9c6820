//! A controller as a real process. The process never outlives the run: it is killed by its id when
//! [`ControllerProcess`] is dropped, and by the kernel if the run itself is killed. The controller also exits at the
//! end of its standard input, but not while it is paused by a signal.
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
/// How long a process may take to exit after a request to leave the cluster.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of the checks whether a process that was asked to leave has exited.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Indices of the user and system time among the fields of `/proc/ID/stat` that follow the process's name.
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
    /// The address on which the controller listens for proxies.
    pub proxy_address: SocketAddr,
    /// The address on which the controller listens for other controllers; port 0 if it is in no cluster.
    pub cluster_address: SocketAddr,
    /// The process number of the controller in the cluster.
    pub number: Option<u64>,
}

/// The log of a process.
pub struct ProcessLog {
    /// Standard error of the process, to which it logs.
    pub stderr: Stdio,
    /// The log format, a value of the command line's `--log`.
    pub format: &'static str,
    /// The lowest level that is logged.
    pub level: String,
}

impl ControllerProcess {
    /// Starts a controller with a settings file and a log file.
    ///
    /// # Errors
    /// Why the process does not start, with the path of the log file.
    pub fn start(binary: &Path, settings: &Path, log: &Path) -> Result<ControllerProcess, ProcessError> {
        let file = File::create(log).map_err(|source| ProcessError::Log { path: log.to_owned(), source })?;
        let process_log = ProcessLog { stderr: file.into(), format: "text", level: "info".into() };
        ControllerProcess::start_with_log(binary, settings, process_log)
            .map_err(|error| ProcessError::Logged { error: Box::new(error), log: log.to_owned() })
    }

    /// Starts a controller with a settings file; the log has the given destination, format and level.
    ///
    /// # Errors
    /// Why the process does not start.
    pub fn start_with_log(
        binary: &Path,
        settings: &Path,
        log: ProcessLog,
    ) -> Result<ControllerProcess, ProcessError> {
        let mut command = Command::new(binary);
        command.args(["controller", "--until-stdin-ends", "--log", log.format, "--conf"]).arg(settings);
        command.env("RAILHUB_LOG", log.level).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log.stderr);
        end_with_parent(&mut command);
        let mut child =
            spawn(command).map_err(|source| ProcessError::Spawn { binary: binary.to_owned(), source })?;
        let output = child.stdout.take();
        let no_address = SocketAddr::from(([127, 0, 0, 1], 0));
        // From here on, an error drops this value, which kills the child.
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
            // SAFETY: the child has not been waited for, so its id cannot have been reused.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Processor time in seconds that the process has used; `None` if it has ended or the time cannot be read.
    pub fn processor_seconds(&self) -> Option<f64> {
        let child = self.child.lock().expect("no holder panics");
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.as_ref()?.id())).ok()?;
        // The name is in parentheses and may contain any character, including spaces and parentheses.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let mut ticks = 0.0;
        for field in PROCESSOR_TIME_FIELDS {
            ticks += fields.get(field)?.parse::<f64>().ok()?;
        }
        // SAFETY: sysconf only returns a number.
        let ticks_per_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
        Some(ticks / ticks_per_second.max(1) as f64)
    }

    /// Stops the process until it is resumed.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes the process.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Kills the process and waits for it.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("no holder panics").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to leave the cluster and to exit, and waits for it; kills it after a timeout.
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

/// Makes the kernel kill the command's process when the thread that started the process ends.
fn end_with_parent(command: &mut Command) {
    // SAFETY: prctl may be called between fork and exec, and changes nothing of this process.
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        });
    }
}

/// A command to start, and the channel to which the child is sent.
struct SpawnRequest {
    command: Command,
    reply: Sender<io::Result<Child>>,
}

/// Starts a process from a thread that never ends, because the kernel kills a child when the *thread* that started it
/// ends.
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
