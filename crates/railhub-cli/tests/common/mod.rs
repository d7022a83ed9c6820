//! A steward of the platform as a process, and what the tests between it and its stand-ins share.
// Each test binary uses a part of these.
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
/// Long for anything that should happen at once, on a machine that is busy with other tests.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

pub fn config_text(listen: SocketAddr, relay: SocketAddr, discovery: SocketAddr) -> String {
    let named = CONFIG_TEMPLATE.replacen("127.0.0.1:7070", &listen.to_string(), 1);
    let named = named.replace("127.0.0.1:6400", &relay.to_string());
    // Nobody listens where the hosts are said to be, so the module is told not to probe them.
    named.replace("127.0.0.1:8500", &discovery.to_string()).replace("\"probes\": true", "\"probes\": false")
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound")
}

/// A steward's process; ended when this is dropped.
pub struct Controller {
    pub child: Child,
    pub config_file: PathBuf,
    pub listen: SocketAddr,
    log: Arc<Mutex<String>>,
}

impl Controller {
    /// Its process, whether it is up or not.
    pub fn spawn(file: PathBuf, listen: SocketAddr) -> Controller {
        let mut child = Command::new(env!("CARGO_BIN_EXE_railhub"))
            .args(["steward", "--platform"])
            .env("NODE_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("built");
        let log: Arc<Mutex<String>> = Arc::default();
        let (errors, kept) = (child.stderr.take().expect("piped"), log.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                let mut kept = kept.lock().expect("alive");
                kept.push_str(&line);
                kept.push('\n');
            }
        });
        Controller { child, config_file: file, listen, log }
    }

    /// By the file that this makes for its address; up. Another process may take the port before the steward does:
    /// then it is another port's turn.
    pub fn start_with_config(name: &str, text: impl Fn(SocketAddr) -> String) -> Controller {
        const MAX_ATTEMPTS: usize = 5;
        let file = std::env::temp_dir().join(format!("railhub-{name}-{}.json", std::process::id()));
        let start = |_| {
            let listen = free_address();
            std::fs::write(&file, text(listen)).expect("writable");
            let mut controller = Controller::spawn(file.clone(), listen);
            eventually("it answers", || controller.exit_status().is_some() || controller.try_ping());
            if controller.exit_status().is_none() {
                return Some(controller);
            }
            eventually("its port is taken", || controller.log_contains("Address already in use"));
            None
        };
        (0..MAX_ATTEMPTS).find_map(start).expect("a port that stays free")
    }

    pub fn start(name: &str, relay: SocketAddr, discovery: SocketAddr) -> Controller {
        Controller::start_with_config(name, |listen| config_text(listen, relay, discovery))
    }

    pub fn try_ping(&self) -> bool {
        TcpStream::connect(self.listen).is_ok_and(|mut stream| ping(&mut stream))
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child of ours that has not been waited for.
        assert_eq!(unsafe { libc::kill(self.child.id() as i32, signal) }, 0);
    }

    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child")
    }

    pub fn log_contains(&self, words: &str) -> bool {
        self.log.lock().expect("alive").contains(words)
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
        if std::thread::panicking() {
            eprintln!("{}", self.log.lock().expect("alive"));
        }
    }
}

pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < EVENT_TIMEOUT, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

pub fn framed(body: &str) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body.as_bytes());
    bytes
}

pub fn ping(stream: &mut TcpStream) -> bool {
    let mut answer = [0; 16];
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a time");
    let sent = stream.write_all(&framed(r#"{"t":"ping"}"#)).is_ok();
    sent && stream.read_exact(&mut answer).is_ok() && answer[4..] == *br#"{"t":"pong"}"#
}
