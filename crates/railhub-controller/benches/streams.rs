//! What streams cost, as ratios within one run: `cargo bench -p railhub-controller`.
//!
//! The controller runs as a process of its own (this binary, started anew); peers are coroutines here, which read
//! frames and acknowledge them without applying them.
use may::net::TcpStream;
use railhub_emulator::endpoint_list::{EndpointList, ListedEndpoint, DRAINING, READY};
use railhub_emulator::host::{HostConfig, ListeningHost, SharedSeenOperations};
use railhub_emulator::store::Store;
use railhub_net::{connect, now, seconds, spawn, Task};
use railhub_proto::{
    frame, from_proxy, Ack, FromController, FromProxy, HostLoad, LoadReport, SliceLoad, Subscribe,
};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

#[path = "streams/bare_sockets.rs"]
mod bare_sockets;

use bare_sockets::{run_bare_sockets, BareSockets};

const CHILD: &str = "RAILHUB_BENCH_STEWARD";
const BARE: &str = "RAILHUB_BENCH_BARE";
const SLICES: u32 = 975;

fn main() {
    railhub_net::start_runtime();
    if let Ok(conf) = std::env::var(CHILD) {
        return run_controller(&conf);
    }
    if let Ok(sockets) = std::env::var(BARE) {
        return run_bare_sockets(sockets.parse().expect("a number"));
    }
    let cores = std::thread::available_parallelism().map_or(0, |n| n.get());
    println!("loopback, {cores} cores, both ends on one machine");
    fan_out();
    memory();
    lateness();
}

/// The controller's process: prints its address, then its figures for each line that it reads.
fn run_controller(conf: &str) {
    let document = railhub_ini::Document::parse("bench", conf).expect("readable");
    let running =
        railhub_controller::Running::start(railhub_controller::Installation::read(&document).expect("right"))
            .expect("loopback");
    println!("{}", running.address);
    for line in std::io::stdin().lines() {
        if line.is_err() {
            return;
        }
        println!("{}", serde_json::to_string(&running.figures()).expect("plain"));
    }
}

struct Bench {
    hosts: Vec<ListeningHost>,
    roster: EndpointList,
    _store: Store,
    child: Child,
    asks: ChildStdin,
    answers: BufReader<ChildStdout>,
    address: SocketAddr,
}

impl Bench {
    fn start(hosts: usize, slices: u32, stuck_after: f64) -> Bench {
        let recorder = railhub_record::Recorder::start(None).expect("in memory");
        let facts = HostConfig {
            zone: 0,
            kind: 0,
            cores: 4,
            speed: 1.0,
            max_queued: 10,
            cold_capacity_fraction: 1.0,
            warm_up_time: 0.0,
            max_connections: 1000,
            health_check_work: 0.0,
            utilization_interval: 0.0,
            cache_saving: 0.0,
            cache_lifetime: 0.0,
        };
        let open = |_| {
            let classes = Arc::new(Vec::new());
            let host = ListeningHost::open(
                facts.clone(),
                classes,
                SharedSeenOperations::default(),
                recorder.clone(),
            );
            let host = host.expect("loopback");
            host.host.start(false);
            host
        };
        let hosts: Vec<ListeningHost> = (0..hosts).map(open).collect();
        let roster = EndpointList::open(recorder.clone()).expect("loopback");
        roster.update(hosts.iter().map(|host| entry(host, READY)).collect());
        let owner = |slice: u32| hosts[slice as usize % hosts.len()].host.address;
        let store = Store::open((0..slices).map(|slice| (slice, vec![(owner(slice), 1.0)])).collect());
        let store = store.expect("loopback");
        let conf = format!(
            "[steward]\nroster = {}\nstore = {}\nslices = {slices}\nremoval_binds = no\n[limits]\nbacklog = 1e7\n\
             message_cap = 0\nstuck_after = {stuck_after}\nreports_a_second = 4000\n\
             [class a]\ncontract_time = 1\nrepeats = safe\n",
            roster.address, store.address
        );
        let (child, asks, answers, address) = other_process(CHILD, &conf);
        Bench { hosts, roster, _store: store, child, asks, answers, address }
    }

    fn figures(&mut self) -> Value {
        writeln!(self.asks).expect("the steward lives");
        let mut line = String::new();
        self.answers.read_line(&mut line).expect("the steward lives");
        serde_json::from_str(&line).expect("JSON")
    }

    fn wait(&mut self, what: &str, least: u64) -> Value {
        loop {
            let figures = self.figures();
            if figures[what].as_u64().unwrap_or(0) >= least {
                return figures;
            }
            std::thread::sleep(seconds(0.02));
        }
    }

    fn list(&self, place: usize, phase: &'static str) -> ListedEndpoint {
        entry(&self.hosts[place], phase)
    }

    fn memory(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it lives");
        let line = status.lines().find(|line| line.starts_with("VmRSS")).expect("there");
        line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).expect("a number")
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn entry(host: &ListeningHost, phase: &'static str) -> ListedEndpoint {
    ListedEndpoint { host: host.host.address, phase, started: None, weight: 4.0, kind: 0 }
}

/// Peers that acknowledge all they are sent.
#[derive(Clone, Default)]
struct Peers {
    /// Bits of the moment when the last of them acknowledged.
    last: Arc<AtomicU64>,
    bytes: Arc<AtomicUsize>,
    /// The latest frame, as one of them got it.
    sample: Arc<Mutex<Vec<u8>>>,
}

impl Peers {
    fn join(&self, address: SocketAddr, from: u32, count: u32, report: Option<LoadReport>) -> Vec<Task> {
        (from..from + count)
            .map(|number| {
                let (peers, report) = (self.clone(), report.clone());
                Task::spawn(move || peers.follow(address, number, report))
            })
            .collect()
    }

    fn follow(&self, address: SocketAddr, number: u32, report: Option<LoadReport>) {
        let mut stream = subscribe(address, number);
        if let Some(report) = report {
            let mut writer = stream.try_clone().expect("handles left");
            let report = frame(&FromProxy { payload: Some(from_proxy::Payload::LoadReport(report)) });
            spawn(move || loop {
                may::coroutine::sleep(seconds(1.0));
                if writer.write_all(&report).is_err() {
                    return;
                }
            });
        }
        let mut body = Vec::new();
        loop {
            let mut prefix = [0; 4];
            if stream.read_exact(&mut prefix).is_err() {
                return;
            }
            body.resize(u32::from_be_bytes(prefix) as usize, 0);
            if stream.read_exact(&mut body).is_err() {
                return;
            }
            let Some(nonce) = nonce(&body) else { return };
            let ack = frame(&FromProxy { payload: Some(from_proxy::Payload::Ack(Ack { nonce })) });
            if stream.write_all(&ack).is_err() {
                return;
            }
            self.last.fetch_max(now().to_bits(), Ordering::Relaxed);
            if number == 1 {
                self.bytes.store(body.len() + prefix.len(), Ordering::Relaxed);
                self.sample.lock().expect("no holder panics").clone_from(&body);
            }
        }
    }
}

fn subscribe(address: SocketAddr, number: u32) -> TcpStream {
    let mut stream = connect(address, seconds(5.0)).expect("it listens");
    stream.set_nodelay(true).expect("open");
    let subscribe = Subscribe { proxy: number, zone: number % 3, process: 1, incarnation: 0, version: 0 };
    let subscribe = frame(&FromProxy { payload: Some(from_proxy::Payload::Subscribe(subscribe)) });
    stream.write_all(&subscribe).expect("open");
    stream
}

/// The nonce, first in a delta, without decoding the rest.
fn nonce(body: &[u8]) -> Option<u64> {
    use prost::encoding::{decode_key, decode_varint};
    let mut rest = body;
    decode_key(&mut rest).ok()?;
    decode_varint(&mut rest).ok()?;
    let (tag, _) = decode_key(&mut rest).ok()?;
    if tag == 1 {
        decode_varint(&mut rest).ok()
    } else {
        Some(0)
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// A delta from decision to the last of 300 acknowledgements, over bare `may` sockets with the same bytes; then the same
/// with one more proxy that never reads.
fn fan_out() {
    let mut ratios = Vec::new();
    let mut plain = BareSockets::start(300);
    let (mut free, mut lines) = (Vec::new(), 0);
    let mut round = |stuck: bool, bare: bool| {
        let mut bench = Bench::start(110, SLICES, 60.0);
        let peers = Peers::default();
        let _dead = stuck.then(|| subscribe(bench.address, 9999));
        let _tasks = peers.join(bench.address, 0, 300, None);
        bench.wait("joined", if stuck { 301 } else { 300 });
        std::thread::sleep(seconds(2.5));
        let mut times = Vec::new();
        for batch in 0..7 {
            let before = bench.figures()["versions"].as_u64().unwrap_or(0);
            let drained = (batch * 8..(batch + 1) * 8).map(|place| bench.list(place, DRAINING)).collect();
            bench.roster.update(drained);
            let figures = bench.wait("versions", before + 1);
            let sample = peers.sample.lock().expect("no holder panics").clone();
            let message: FromController = prost::Message::decode(&sample[..]).expect("a message");
            let Some(railhub_proto::from_controller::Payload::Delta(delta)) = message.payload else {
                continue;
            };
            lines = delta.cost();
            times.push(f64::from_bits(peers.last.load(Ordering::Relaxed)) - delta.ordered_at);
            if bare {
                let ours = figures["spread_last"].as_f64().expect("a figure");
                let theirs = plain.spread(peers.bytes.load(Ordering::Relaxed) - 4);
                ratios.push(ours / theirs);
            }
        }
        times
    };
    free.extend(round(false, true));
    let stuck = round(true, false);
    free.extend(round(false, false));
    let again = round(true, false);
    let with = median(stuck.into_iter().chain(again).collect());
    println!(
        "delta of {lines} lines to 300 proxies, decision to last word, over bare sockets: {:.2}",
        median(ratios)
    );
    println!("one proxy stuck, the others' last word, over none stuck: {:.2}", with / median(free));
}

/// This binary once more, in the part that the variable names: the process, its pipes, and where it listens.
fn other_process(part: &str, what: &str) -> (Child, ChildStdin, BufReader<ChildStdout>, SocketAddr) {
    let mut child = Command::new(std::env::current_exe().expect("this binary"))
        .env(part, what)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("this binary starts");
    let asks = child.stdin.take().expect("piped");
    let mut answers = BufReader::new(child.stdout.take().expect("piped"));
    let mut line = String::new();
    answers.read_line(&mut line).expect("it says where it listens");
    let address = line.trim().parse().expect("an address");
    (child, asks, answers, address)
}

/// Resident memory of the controller's process for each joined idle proxy.
fn memory() {
    let count = 3000;
    let mut bench = Bench::start(10, 100, 60.0);
    let peers = Peers::default();
    let _few = peers.join(bench.address, 0, 100, None);
    bench.wait("joined", 100);
    std::thread::sleep(seconds(2.0));
    let before = bench.memory();
    let began = now();
    let _tasks = peers.join(bench.address, 100, count, None);
    bench.wait("joined", 100 + u64::from(count));
    let joined = now() - began;
    std::thread::sleep(seconds(2.0));
    let each = (bench.memory() - before) / f64::from(count);
    println!(
        "{count} proxies joined at once in {joined:.2} s; {each:.1} KiB of the controller's memory each"
    );
}

/// How late ticks are with 150 hosts, 975 slices and 300 proxies that report each second while hosts drain.
fn lateness() {
    let mut bench = Bench::start(150, SLICES, 60.0);
    let hosts = bench.hosts.iter().step_by(5).map(|host| HostLoad {
        host: host.host.address.to_string(),
        attempts: 5,
        failed: 0,
        success_time: 0.5,
        utilization: None,
    });
    let demand = (0..SLICES).step_by(9).map(|slice| SliceLoad { slice, class: 0, operations: 2 });
    let report = LoadReport { span: 1.0, hosts: hosts.collect(), slices: demand.collect() };
    let peers = Peers::default();
    let _tasks = peers.join(bench.address, 0, 300, Some(report));
    bench.wait("joined", 300);
    for batch in 0..10 {
        std::thread::sleep(seconds(3.0));
        let drained = (batch * 8..(batch + 1) * 8).map(|place| bench.list(place, DRAINING)).collect();
        bench.roster.update(drained);
    }
    let figures = bench.figures();
    let ms = |what: &str| figures[what].as_f64().unwrap_or(f64::NAN) * 1000.0;
    println!(
        "150 hosts, {SLICES} slices, 300 proxies, {} ticks: late by {:.2} ms (half), {:.2} ms (99 of 100), {:.2} ms \
         (most); longest round {:.1} ms",
        figures["turns"],
        ms("late_half"),
        ms("late_99"),
        ms("late_most"),
        ms("longest_round")
    );
}
