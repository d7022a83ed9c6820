//! Peers of the steward that do what a test says: a relay and a discovery on loopback, and their messages.
#![allow(dead_code)]
use super::common::{config_text, eventually, ping, Controller, EVENT_TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A connection that came to a listener of ours, and the lines that it brings.
pub struct Connection {
    pub stream: TcpStream,
    lines: Receiver<String>,
}

impl Connection {
    fn new(stream: TcpStream) -> Connection {
        let (sender, lines) = channel();
        let reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        std::thread::spawn(move || {
            reader.lines().map_while(Result::ok).take_while(|line| sender.send(line.clone()).is_ok()).count();
        });
        Connection { stream, lines }
    }

    /// Another hold of the stream, to write by.
    pub fn writer(&self) -> TcpStream {
        self.stream.try_clone().expect("a descriptor")
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the steward reads");
    }

    /// Signs of life until the steward ends the connection.
    pub fn keep_alive(mut self) {
        std::thread::spawn(move || {
            while self.stream.write_all(PING.as_bytes()).is_ok() {
                std::thread::sleep(KEEP_ALIVE_INTERVAL);
            }
        });
    }
}

/// An address at which nobody listens: the loopback address is this process's own and the port is given out once, so no
/// listener or connection of another test can take it meanwhile.
pub fn exclusive_address() -> SocketAddr {
    const FIRST_PORT: u16 = 20_000;
    static RETURNED_PORTS: AtomicU16 = AtomicU16::new(0);
    let [high, middle, low] = [std::process::id() >> 16, std::process::id() >> 8, std::process::id()]
        .map(|part| u8::try_from(part & 0xff).expect("a byte"));
    let address = Ipv4Addr::new(127, 64 | (high & 0x3f), middle, low);
    SocketAddr::from((address, FIRST_PORT + RETURNED_PORTS.fetch_add(1, Ordering::Relaxed)))
}

/// A steward at an address of its own, by the file made for it; up.
pub fn start_controller(name: &str, text: impl Fn(SocketAddr) -> String) -> Controller {
    let mut starting = RestartableController::new(name, text);
    starting.start();
    starting.running.take().expect("it runs")
}

const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(300);
pub const PING: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
pub const SUBSCRIBED: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":true}\n";

fn notification(method: &str, params: &str) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"method\":\"{method}\",\"params\":{params}}}\n")
}

pub fn proxy_joined(proxy: u16) -> String {
    notification("joined", &format!(r#"{{"proxy":{proxy},"zone":"a","weight":2,"fresh":true}}"#))
}

/// A slice in the steward's charge, with one line.
pub fn slice_with_owner(slice: u16, host: &str) -> String {
    notification("given", &format!(r#"{{"slice":{slice},"on":true}}"#))
        + &notification("held", &format!(r#"{{"slice":{slice},"server":"{host}","weight":1.0}}"#))
}

/// What stands: proxy 1, and slice 3 with the owner s-1; the steward orders a standby for it.
pub fn snapshot() -> String {
    SUBSCRIBED.to_owned() + &proxy_joined(1) + &slice_with_owner(3, "s-1") + PING
}

/// The answer that all orders of a call are taken.
pub fn all_accepted(call: &str) -> String {
    let id = call.split("\"id\":").nth(1).and_then(|rest| rest.split([',', '}']).next()).expect("an id");
    format!("{{\"id\":{id},\"result\":{{\"taken\":{}}}}}\n", call.matches("\"op\"").count())
}

/// How late a relay answers.
#[derive(Clone, Copy, Default)]
pub struct RelayDelays {
    pub subscription: Duration,
    pub call: Duration,
}

/// Calls that a relay got, and when.
pub type CallLog = Arc<Mutex<Vec<(Instant, String)>>>;

/// A relay that tells [`snapshot`] and takes all orders, late if so told.
pub struct ServingRelay {
    pub address: SocketAddr,
    pub calls: CallLog,
}

impl ServingRelay {
    pub fn start(delays: RelayDelays) -> ServingRelay {
        ServingRelay::start_at("127.0.0.1:0".parse().expect("an address"), delays)
    }

    pub fn start_at(address: SocketAddr, delays: RelayDelays) -> ServingRelay {
        let listener = TcpListener::bind(address).expect("the port is free");
        let address = listener.local_addr().expect("bound");
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

    pub fn has_call_with(&self, words: &str) -> bool {
        self.calls.lock().expect("alive").iter().any(|(_, call)| call.contains(words))
    }

    pub fn first_call_at(&self) -> Option<Instant> {
        self.calls.lock().expect("alive").first().map(|(at, _)| *at)
    }

    pub fn clear_calls(&self) {
        self.calls.lock().expect("alive").clear();
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
        log.lock().expect("alive").push((Instant::now(), line.clone()));
        std::thread::sleep(delays.call);
        if connection.stream.write_all(all_accepted(&line).as_bytes()).is_err() {
            return;
        }
    }
}

/// A relay of which the test gets each connection that subscribes, unanswered. It takes all orders.
pub struct ScriptedRelay {
    pub address: SocketAddr,
    subscribers: Receiver<Connection>,
    pub calls: CallLog,
}

impl ScriptedRelay {
    pub fn open() -> ScriptedRelay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (sender, subscribers) = channel();
        let calls = CallLog::default();
        let log = calls.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (sender, log) = (sender.clone(), log.clone());
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(line) = connection.lines.recv() {
                        if line.contains("\"subscribe\"") {
                            let _ = sender.send(connection);
                            return;
                        }
                        let answer = all_accepted(&line);
                        log.lock().expect("alive").push((Instant::now(), line));
                        if connection.stream.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        ScriptedRelay { address, subscribers, calls }
    }

    /// The next that subscribes; nothing is answered yet.
    pub fn subscriber(&self) -> Connection {
        self.subscribers.recv_timeout(EVENT_TIMEOUT).expect("a subscription in time")
    }

    pub fn has_call_with(&self, words: &str) -> bool {
        self.calls.lock().expect("alive").iter().any(|(_, call)| call.contains(words))
    }
}

/// A watch that came to discovery, with nothing answered yet.
pub struct Watch {
    pub stream: TcpStream,
    pub request: String,
}

pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

impl Watch {
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the steward reads");
    }

    /// Another hold of the same connection.
    pub fn clone_handle(&self) -> Watch {
        let stream = self.stream.try_clone().expect("a descriptor");
        Watch { stream, request: self.request.clone() }
    }

    /// Empty lines until the steward ends the connection.
    pub fn keep_alive(mut self) {
        std::thread::spawn(move || {
            while self.stream.write_all(chunk("\n").as_bytes()).is_ok() {
                std::thread::sleep(KEEP_ALIVE_INTERVAL);
            }
        });
    }
}

/// A discovery of which the test gets each watch.
pub struct ScriptedDiscovery {
    pub address: SocketAddr,
    watches: Receiver<Watch>,
}

impl ScriptedDiscovery {
    pub fn open() -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
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
        self.watches.recv_timeout(EVENT_TIMEOUT).expect("a watch in time")
    }

    /// Answers each watch late with what is told, and keeps it open.
    pub fn serving(delay: Duration, first: String) -> SocketAddr {
        let discovery = ScriptedDiscovery::open();
        let address = discovery.address;
        discovery.serve(delay, first);
        address
    }

    /// The same from now on.
    pub fn serve(self, delay: Duration, first: String) {
        std::thread::spawn(move || {
            for mut watch in self.watches {
                let first = first.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    let head = watch.stream.write_all(WATCH_HEAD.as_bytes());
                    if head.and_then(|()| watch.stream.write_all(first.as_bytes())).is_ok() {
                        watch.keep_alive();
                    }
                });
            }
        });
    }

    /// Tells nothing but empty lines.
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

/// A line of discovery, `reset` for a whole list.
pub fn page(generation: u64, reset: bool, instances: &[Value]) -> String {
    json!({"generation": generation, "reset": reset, "instances": instances}).to_string() + "\n"
}

/// `s-1`, which owns the slice of [`snapshot`], and so many others.
pub fn host_list(count: usize) -> Vec<Value> {
    (1..=count).map(|number| instance(&format!("s-{number}"), "ready")).collect()
}

/// The file with another known list.
pub fn file_with_hosts(
    listen: SocketAddr,
    relay: SocketAddr,
    discovery: SocketAddr,
    hosts: &[Value],
) -> String {
    let mut file: Value = serde_json::from_str(&config_text(listen, relay, discovery)).expect("JSON");
    file["known"]["instances"] = json!(hosts);
    file.to_string()
}

/// A steward that can be started, killed and started again under the same file and address.
pub struct RestartableController {
    config_file: PathBuf,
    pub listen: SocketAddr,
    running: Option<Controller>,
}

impl RestartableController {
    /// Its file alone; nothing runs yet.
    pub fn new(name: &str, text: impl Fn(SocketAddr) -> String) -> RestartableController {
        let listen = exclusive_address();
        let file = std::env::temp_dir().join(format!("railhub-{name}-{}.json", std::process::id()));
        std::fs::write(&file, text(listen)).expect("writable");
        RestartableController { config_file: file, listen, running: None }
    }

    /// Starts the process and waits for its first answer to a ping; how long that took.
    pub fn start(&mut self) -> Duration {
        let began = Instant::now();
        self.running = Some(Controller::spawn(self.config_file.clone(), self.listen));
        let listen = self.listen;
        eventually("it answers a ping", || {
            TcpStream::connect(listen).is_ok_and(|mut stream| ping(&mut stream))
        });
        began.elapsed()
    }

    /// SIGKILL, and the file is there for the next start.
    pub fn kill(&mut self) {
        let text = std::fs::read(&self.config_file).expect("still there");
        self.running = None;
        std::fs::write(&self.config_file, text).expect("writable");
    }
}
