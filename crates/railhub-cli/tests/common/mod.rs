//! A controller in platform mode as a process, and helpers shared by the tests that connect it to scripted peers.
// Each test binary uses only a part of these helpers.
#![allow(dead_code)]
pub mod client_connection;
pub mod sockets;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const CONFIG_TEMPLATE: &str = include_str!("../../../railhub-platform/tests/node_config.json");
/// Allows for a machine that is busy with other tests; the awaited events normally follow at once.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A configuration file with these addresses.
pub fn config_text(listen: SocketAddr, relay: SocketAddr, discovery: SocketAddr) -> String {
    let text = CONFIG_TEMPLATE.replacen("127.0.0.1:7070", &listen.to_string(), 1);
    let text = text.replace("127.0.0.1:6400", &relay.to_string());
    // No process listens at the addresses of the hosts, so health checks are turned off.
    text.replace("127.0.0.1:8500", &discovery.to_string()).replace("\"probes\": true", "\"probes\": false")
}

/// A loopback address whose port is free; another process may take it before it is used.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .expect("a loopback port is free")
        .local_addr()
        .expect("the listener is bound")
}

/// A controller process; killed when this is dropped.
pub struct Controller {
    pub child: Child,
    pub config_file: PathBuf,
    pub listen: SocketAddr,
    log: Arc<Mutex<String>>,
}

impl Controller {
    /// Starts the process without waiting until it listens.
    pub fn spawn(config_file: PathBuf, listen: SocketAddr) -> Controller {
        let mut child = Command::new(env!("CARGO_BIN_EXE_railhub"))
            .args(["steward", "--platform"])
            .env("NODE_CONFIG", &config_file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the railhub binary starts");
        let log: Arc<Mutex<String>> = Arc::default();
        let (stderr, log_copy) = (child.stderr.take().expect("stderr is piped"), log.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let mut log = log_copy.lock().expect("the log mutex is not poisoned");
                log.push_str(&line);
                log.push('\n');
            }
        });
        Controller { child, config_file, listen, log }
    }

    /// Starts the process with the configuration that `config_for` makes for its address, and waits until it answers.
    /// Another process may take the port first; another port is used then.
    pub fn start_with_config(name: &str, config_for: impl Fn(SocketAddr) -> String) -> Controller {
        const MAX_ATTEMPTS: usize = 5;
        let config_file = std::env::temp_dir().join(format!("railhub-{name}-{}.json", std::process::id()));
        let start = |_| {
            let listen = free_address();
            std::fs::write(&config_file, config_for(listen)).expect("the temporary folder is writable");
            let mut controller = Controller::spawn(config_file.clone(), listen);
            eventually("the controller answers a ping or exits", || {
                controller.exit_status().is_some() || controller.try_ping()
            });
            if controller.exit_status().is_none() {
                return Some(controller);
            }
            eventually("the log says that the port is taken", || {
                controller.log_contains("Address already in use")
            });
            None
        };
        (0..MAX_ATTEMPTS).find_map(start).expect("a port stays free until the controller listens")
    }

    pub fn start(name: &str, relay: SocketAddr, discovery: SocketAddr) -> Controller {
        Controller::start_with_config(name, |listen| config_text(listen, relay, discovery))
    }

    pub fn try_ping(&self) -> bool {
        TcpStream::connect(self.listen).is_ok_and(|mut stream| ping(&mut stream))
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is our child and has not been waited for, so its number cannot have been reused.
        assert_eq!(unsafe { libc::kill(self.child.id() as i32, signal) }, 0);
    }

    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the child process can be polled")
    }

    pub fn log_contains(&self, text: &str) -> bool {
        self.log_count(text) > 0
    }

    /// How often the log contains this text.
    pub fn log_count(&self, text: &str) -> usize {
        self.log.lock().expect("the log mutex is not poisoned").matches(text).count()
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
        if std::thread::panicking() {
            eprintln!("{}", self.log.lock().expect("the log mutex is not poisoned"));
        }
    }
}

/// Polls a condition; fails the test if it does not hold within [`EVENT_TIMEOUT`].
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < EVENT_TIMEOUT, "timed out after {EVENT_TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A message with its length in front, as the controller's protocol with collectors frames it.
pub fn framed(body: &str) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body.as_bytes());
    bytes
}

/// Sends a ping; whether a pong is the response.
pub fn ping(stream: &mut TcpStream) -> bool {
    let mut response = [0; 16];
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("timeout is set");
    let is_sent = stream.write_all(&framed(r#"{"t":"ping"}"#)).is_ok();
    is_sent && stream.read_exact(&mut response).is_ok() && response[4..] == *br#"{"t":"pong"}"#
}
