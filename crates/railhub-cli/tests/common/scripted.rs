//! Peers of the controller that behave as a test scripts: a relay and a discovery on loopback, and their messages.
#![allow(dead_code)]
use super::common::{config_text, eventually, ping, Controller, EVENT_TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A connection accepted by a scripted peer, and the lines received on it.
pub struct Connection {
    pub stream: TcpStream,
    lines: Receiver<String>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let (sender, lines) = channel();
        let reader = BufReader::new(stream.try_clone().expect("the stream can be cloned"));
        std::thread::spawn(move || {
            reader.lines().map_while(Result::ok).take_while(|line| sender.send(line.clone()).is_ok()).count();
        });
        Connection { stream, lines }
    }

    /// A second handle to the stream, for writing.
    pub fn writer(&self) -> TcpStream {
        self.stream.try_clone().expect("the stream can be cloned")
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the controller keeps the connection open");
    }

    /// The next line that the controller sends; `None` if it closes the connection before.
    pub fn first_line(&self) -> Option<String> {
        self.lines.recv().ok()
    }

    /// The next line that the controller sends before the timeout.
    pub fn next_line(&self, what: &str) -> String {
        self.lines
            .recv_timeout(EVENT_TIMEOUT)
            .unwrap_or_else(|_| panic!("timed out after {EVENT_TIMEOUT:?}: {what}"))
    }

    /// Waits until the controller closes the connection, and returns the lines received before.
    pub fn wait_for_close(&self) -> Vec<String> {
        let mut received = Vec::new();
        loop {
            match self.lines.recv_timeout(EVENT_TIMEOUT) {
                Ok(line) => received.push(line),
                Err(RecvTimeoutError::Disconnected) => return received,
                Err(RecvTimeoutError::Timeout) => {
                    panic!("the controller did not close the connection within {EVENT_TIMEOUT:?}")
                }
            }
        }
    }

    /// Sends pings until the controller closes the connection.
    pub fn keep_alive(mut self) {
        std::thread::spawn(move || {
            while self.stream.write_all(PING.as_bytes()).is_ok() {
                std::thread::sleep(KEEP_ALIVE_INTERVAL);
            }
        });
    }
}

/// An address at which no process listens: the loopback address is derived from this process's number and each port is
/// returned once, so no listener or connection of another test can take it meanwhile.
pub fn exclusive_address() -> SocketAddr {
    const FIRST_PORT: u16 = 20_000;
    static RETURNED_PORTS: AtomicU16 = AtomicU16::new(0);
    let [high, middle, low] = [std::process::id() >> 16, std::process::id() >> 8, std::process::id()]
        .map(|part| u8::try_from(part & 0xff).expect("the value fits in a byte"));
    let address = Ipv4Addr::new(127, 64 | (high & 0x3f), middle, low);
    SocketAddr::from((address, FIRST_PORT + RETURNED_PORTS.fetch_add(1, Ordering::Relaxed)))
}

/// Starts a controller at an [`exclusive_address`], with the configuration that `config_for` makes for that address,
/// and waits until it answers.
pub fn start_controller(name: &str, config_for: impl Fn(SocketAddr) -> String) -> Controller {
    let mut restartable = RestartableController::new(name, config_for);
    restartable.start();
    restartable.running.take().expect("the controller was started")
}

const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(300);
pub const PING: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
pub const SUBSCRIBED: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":true}\n";

pub fn notification(method: &str, params: &str) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"method\":\"{method}\",\"params\":{params}}}\n")
}

/// A proxy joins that holds nothing.
pub fn proxy_joined(proxy: u16) -> String {
    notification("joined", &format!(r#"{{"proxy":{proxy},"zone":"a","weight":2,"fresh":true}}"#))
}

/// A proxy joins that keeps what it received on an earlier stream.
pub fn proxy_rejoined(proxy: u16) -> String {
    notification("joined", &format!(r#"{{"proxy":{proxy},"zone":"a","weight":2,"fresh":false}}"#))
}

/// Assigns a slice to the controller; the entries of its table follow.
pub fn slice_assigned(slice: u16) -> String {
    notification("given", &format!(r#"{{"slice":{slice},"on":true}}"#))
}

/// One entry of the table of an assigned slice.
pub fn table_entry(slice: u16, host: &str, weight: f64) -> String {
    notification("held", &format!(r#"{{"slice":{slice},"server":"{host}","weight":{weight}}}"#))
}

/// Assigns a slice to the controller, with a table of one entry.
pub fn slice_with_owner(slice: u16, host: &str) -> String {
    slice_assigned(slice) + &table_entry(slice, host, 1.0)
}

/// A snapshot with proxy 1, and slice 3 with the owner s-1; the controller then requests a standby for the slice.
pub fn snapshot() -> String {
    SUBSCRIBED.to_owned() + &proxy_joined(1) + &slice_with_owner(3, "s-1") + PING
}

/// The id of a call.
pub fn call_id(call: &str) -> &str {
    call.split("\"id\":").nth(1).and_then(|rest| rest.split([',', '}']).next()).expect("the call has an id")
}

/// The response that accepts all commands of a call.
pub fn all_accepted(call: &str) -> String {
    format!("{{\"id\":{},\"result\":{{\"taken\":{}}}}}\n", call_id(call), call.matches("\"op\"").count())
}

/// How long a relay waits before it responds.
#[derive(Clone, Copy, Default)]
pub struct RelayDelays {
    pub subscription: Duration,
    pub call: Duration,
}

/// Calls that a relay received, with their times.
pub type CallLog = Arc<Mutex<Vec<(Instant, String)>>>;

/// A relay that sends [`snapshot`] to each subscriber and accepts all commands, after the given delays.
pub struct ServingRelay {
    pub address: SocketAddr,
    pub calls: CallLog,
}

impl ServingRelay {
    pub fn start(delays: RelayDelays) -> ServingRelay {
        ServingRelay::start_at("127.0.0.1:0".parse().expect("the address is valid"), delays)
    }

    pub fn start_at(address: SocketAddr, delays: RelayDelays) -> ServingRelay {
        let listener = TcpListener::bind(address).expect("the port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let calls = CallLog::default();
        let log = calls.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let log = log.clone();
                std::thread::spawn(move || serve_connection(Connection::new(stream), delays, &log));
            }
        });
        ServingRelay { address, calls }
    }

    pub fn has_call_with(&self, text: &str) -> bool {
        self.calls.lock().expect("the call log is not poisoned").iter().any(|(_, call)| call.contains(text))
    }

    pub fn first_call_at(&self) -> Option<Instant> {
        self.calls.lock().expect("the call log is not poisoned").first().map(|(at, _)| *at)
    }

    pub fn clear_calls(&self) {
        self.calls.lock().expect("the call log is not poisoned").clear();
    }
}

fn serve_connection(mut connection: Connection, delays: RelayDelays, log: &CallLog) {
    while let Ok(line) = connection.lines.recv() {
        if line.contains("\"subscribe\"") {
            std::thread::sleep(delays.subscription);
            if connection.stream.write_all(snapshot().as_bytes()).is_ok() {
                connection.keep_alive();
            }
            return;
        }
        log.lock().expect("the call log is not poisoned").push((Instant::now(), line.clone()));
        std::thread::sleep(delays.call);
        if connection.stream.write_all(all_accepted(&line).as_bytes()).is_err() {
            return;
        }
    }
}

/// A relay that accepts all commands, and hands each connection that subscribes to the test without a response.
pub struct ScriptedRelay {
    pub address: SocketAddr,
    subscribers: Receiver<Connection>,
    pub calls: CallLog,
    /// The next call that contains this text is refused at its first command.
    pub refused_text: Arc<Mutex<Option<&'static str>>>,
}

impl ScriptedRelay {
    pub fn open() -> ScriptedRelay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (sender, subscribers) = channel();
        let calls = CallLog::default();
        let refused_text: Arc<Mutex<Option<&'static str>>> = Arc::default();
        let (log, refused) = (calls.clone(), refused_text.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (sender, log, refused) = (sender.clone(), log.clone(), refused.clone());
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(line) = connection.lines.recv() {
                        if line.contains("\"subscribe\"") {
                            let _ = sender.send(connection);
                            return;
                        }
                        let response = respond(&line, &refused);
                        log.lock().expect("the call log is not poisoned").push((Instant::now(), line));
                        if connection.stream.write_all(response.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        ScriptedRelay { address, subscribers, calls, refused_text }
    }

    /// The next connection that subscribes; no response was sent on it.
    pub fn subscriber(&self) -> Connection {
        self.subscribers.recv_timeout(EVENT_TIMEOUT).expect("a subscription arrives before the timeout")
    }

    /// The next connection that subscribes, if there is one already.
    pub fn try_subscriber(&self) -> Option<Connection> {
        self.subscribers.try_recv().ok()
    }

    pub fn has_call_with(&self, text: &str) -> bool {
        self.calls.lock().expect("the call log is not poisoned").iter().any(|(_, call)| call.contains(text))
    }
}

/// The response to a call: all commands are accepted, or none if the call contains the refused text.
fn respond(call: &str, refused_text: &Mutex<Option<&'static str>>) -> String {
    let mut refused = refused_text.lock().expect("the text is not poisoned");
    if refused.take_if(|text| call.contains(*text)).is_some() {
        return format!("{{\"id\":{},\"result\":{{\"taken\":0}}}}\n", call_id(call));
    }
    all_accepted(call)
}

/// A watch request received by discovery, without a response yet.
pub struct Watch {
    pub stream: TcpStream,
    pub request: String,
}

pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

impl Watch {
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the controller keeps the connection open");
    }

    /// A second handle to the same connection.
    pub fn clone_handle(&self) -> Watch {
        let stream = self.stream.try_clone().expect("the stream can be cloned");
        Watch { stream, request: self.request.clone() }
    }

    /// Sends empty lines until the controller closes the connection.
    pub fn keep_alive(mut self) {
        std::thread::spawn(move || {
            while self.stream.write_all(chunk("\n").as_bytes()).is_ok() {
                std::thread::sleep(KEEP_ALIVE_INTERVAL);
            }
        });
    }
}

/// A discovery that hands each watch to the test without a response.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    watches: Receiver<Watch>,
}

impl ScriptedDiscovery {
    pub fn open() -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (sender, watches) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || {
                    let mut request = String::new();
                    let _ = BufReader::new(&stream).read_line(&mut request);
                    let _ = sender.send(Watch { stream, request });
                });
            }
        });
        ScriptedDiscovery { address, watches }
    }

    pub fn watch(&self) -> Watch {
        self.watches.recv_timeout(EVENT_TIMEOUT).expect("a watch arrives before the timeout")
    }

    /// Starts a discovery that responds to each watch with `body` after `delay`, and keeps the watch open.
    pub fn serving(delay: Duration, body: String) -> SocketAddr {
        let discovery = ScriptedDiscovery::open();
        let address = discovery.address;
        discovery.serve(delay, body);
        address
    }

    /// Responds to each further watch with `body` after `delay`, and keeps the watch open.
    pub fn serve(self, delay: Duration, body: String) {
        std::thread::spawn(move || {
            for mut watch in self.watches {
                let body = body.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    let head = watch.stream.write_all(WATCH_HEAD.as_bytes());
                    if head.and_then(|()| watch.stream.write_all(body.as_bytes())).is_ok() {
                        watch.keep_alive();
                    }
                });
            }
        });
    }

    /// Starts a discovery that sends only empty lines.
    pub fn idle() -> SocketAddr {
        ScriptedDiscovery::serving(Duration::ZERO, String::new())
    }
}

pub fn chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}

pub fn instance(name: &str, lifecycle: &str) -> Value {
    json!({"instanceId": name, "hostPort": "127.0.0.1:1", "zone": "a", "machineType": "m", "cell": 0,
           "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

/// A page of the endpoint list; `reset` marks a complete list.
pub fn page(generation: u64, reset: bool, instances: &[Value]) -> String {
    json!({"generation": generation, "reset": reset, "instances": instances}).to_string() + "\n"
}

/// `count` hosts; the first is `s-1`, which owns the slice of [`snapshot`].
pub fn host_list(count: usize) -> Vec<Value> {
    (1..=count).map(|number| instance(&format!("s-{number}"), "ready")).collect()
}

/// The configuration of [`config_text`] with these hosts as the known endpoint list.
pub fn file_with_hosts(
    listen: SocketAddr,
    relay: SocketAddr,
    discovery: SocketAddr,
    hosts: &[Value],
) -> String {
    let mut config: Value =
        serde_json::from_str(&config_text(listen, relay, discovery)).expect("the configuration is JSON");
    config["known"]["instances"] = json!(hosts);
    config.to_string()
}

/// A controller that can be started, killed and started again with the same configuration file and address.
pub struct RestartableController {
    config_file: PathBuf,
    pub listen: SocketAddr,
    running: Option<Controller>,
}

impl RestartableController {
    /// Writes the configuration file; no process runs yet.
    pub fn new(name: &str, config_for: impl Fn(SocketAddr) -> String) -> RestartableController {
        let listen = exclusive_address();
        let config_file = std::env::temp_dir().join(format!("railhub-{name}-{}.json", std::process::id()));
        std::fs::write(&config_file, config_for(listen)).expect("the temporary folder is writable");
        RestartableController { config_file, listen, running: None }
    }

    /// Starts the process and waits until it answers a ping; the time that took.
    pub fn start(&mut self) -> Duration {
        let started_at = Instant::now();
        self.running = Some(Controller::spawn(self.config_file.clone(), self.listen));
        let listen = self.listen;
        eventually("the controller answers a ping", || {
            TcpStream::connect(listen).is_ok_and(|mut stream| ping(&mut stream))
        });
        started_at.elapsed()
    }

    /// Kills the process with SIGKILL, and keeps the configuration file, which dropping a [`Controller`] removes.
    pub fn kill(&mut self) {
        let text = std::fs::read(&self.config_file).expect("the configuration file exists");
        self.running = None;
        std::fs::write(&self.config_file, text).expect("the temporary folder is writable");
    }
}
