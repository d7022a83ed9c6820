//! Benchmarks of the streams to proxies: fan-out of a delta, memory per proxy and timer delay. Run by
//! `cargo bench -p railhub-controller`. The fan-out is given as ratios within one run.
//!
//! The controller runs in a child process (this binary again). The proxies are coroutines in this process, which read
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

/// Environment variable with the settings of the controller that a child process runs.
const CONTROLLER_ENV: &str = "RAILHUB_BENCH_CONTROLLER";
/// Environment variable with the number of bare sockets that a child process serves.
const BARE_SOCKETS_ENV: &str = "RAILHUB_BENCH_BARE_SOCKETS";
/// Slices in the benchmarks of fan-out and timer delay.
const SLICES: u32 = 975;

fn main() {
    railhub_net::start_runtime();
    if let Ok(settings) = std::env::var(CONTROLLER_ENV) {
        return run_controller(&settings);
    }
    if let Ok(sockets) = std::env::var(BARE_SOCKETS_ENV) {
        return run_bare_sockets(sockets.parse().expect("a number of sockets"));
    }
    let cores = std::thread::available_parallelism().map_or(0, |cores| cores.get());
    println!("loopback, {cores} cores, both ends on one machine");
    fan_out();
    memory_per_proxy();
    timer_delay();
}

/// Runs the controller in a child process: prints its address, then its figures as JSON for each line that it reads.
fn run_controller(settings: &str) {
    let document = railhub_ini::Document::parse("bench", settings).expect("valid syntax");
    let running = railhub_controller::RunningController::start(
        railhub_controller::ControllerSettings::read(&document).expect("valid settings"),
    )
    .expect("loopback");
    println!("{}", running.address);
    for line in std::io::stdin().lines() {
        if line.is_err() {
            return;
        }
        println!("{}", serde_json::to_string(&running.figures()).expect("plain"));
    }
}

/// A controller in a child process, with its endpoint list, hosts and store in this one.
struct Bench {
    hosts: Vec<ListeningHost>,
    endpoint_list: EndpointList,
    _store: Store,
    child: Child,
    requests: ChildStdin,
    responses: BufReader<ChildStdout>,
    address: SocketAddr,
}

impl Bench {
    fn start(hosts: usize, slices: u32, response_timeout: f64) -> Bench {
        let recorder = railhub_record::Recorder::start(None).expect("in memory");
        let config = HostConfig {
            zone: 0,
            kind: 0,
            cores: 4,
            speed: 1.0,
            max_queued: 10,
            cold_capacity_fraction: 1.0,
            warm_up_time: 0.0,
            max_connections: 1000,
            probe_work: 0.0,
            utilization_interval: 0.0,
            cache_saving: 0.0,
            cache_lifetime: 0.0,
        };
        let open = |_| {
            let classes = Arc::new(Vec::new());
            let host = ListeningHost::open(
                config.clone(),
                classes,
                SharedSeenOperations::default(),
                recorder.clone(),
            );
            let host = host.expect("loopback");
            host.host.start(false);
            host
        };
        let hosts: Vec<ListeningHost> = (0..hosts).map(open).collect();
        let endpoint_list = EndpointList::open(recorder.clone()).expect("loopback");
        endpoint_list.update(hosts.iter().map(|host| list_entry(host, READY)).collect());
        let owner = |slice: u32| hosts[slice as usize % hosts.len()].host.address;
        let store = Store::open((0..slices).map(|slice| (slice, vec![(owner(slice), 1.0)])).collect());
        let store = store.expect("loopback");
        let settings = format!(
            "[steward]\nroster = {}\nstore = {}\nslices = {slices}\nremoval_binds = no\n[limits]\nbacklog = 1e7\n\
             message_cap = 0\nstuck_after = {response_timeout}\nreports_a_second = 4000\n\
             [class a]\ncontract_time = 1\nrepeats = safe\n",
            endpoint_list.address, store.address
        );
        let (child, requests, responses, address) = start_child(CONTROLLER_ENV, &settings);
        Bench { hosts, endpoint_list, _store: store, child, requests, responses, address }
    }

    /// The controller's present figures.
    fn figures(&mut self) -> Value {
        writeln!(self.requests).expect("the controller runs");
        let mut line = String::new();
        self.responses.read_line(&mut line).expect("the controller runs");
        serde_json::from_str(&line).expect("JSON")
    }

    /// Waits until a counter of the figures has reached a value, and returns the figures.
    fn wait_for(&mut self, counter: &str, minimum: u64) -> Value {
        loop {
            let figures = self.figures();
            if figures[counter].as_u64().unwrap_or(0) >= minimum {
                return figures;
            }
            std::thread::sleep(seconds(0.02));
        }
    }

    /// The entry of the endpoint list for the host of this index.
    fn entry(&self, index: usize, phase: &'static str) -> ListedEndpoint {
        list_entry(&self.hosts[index], phase)
    }

    /// Resident memory of the controller's process in KiB.
    fn resident_kib(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the controller runs");
        let line = status.lines().find(|line| line.starts_with("VmRSS")).expect("VmRSS in the status file");
        line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).expect("a number of KiB")
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn list_entry(host: &ListeningHost, phase: &'static str) -> ListedEndpoint {
    ListedEndpoint { host: host.host.address, phase, started: None, weight: 4.0, kind: 0 }
}

/// Proxies that acknowledge every delta without applying it.
#[derive(Clone, Default)]
struct Proxies {
    /// Bits of the time of the latest acknowledgement.
    last_ack_at: Arc<AtomicU64>,
    /// Length of the latest frame that the proxy with number 1 received.
    frame_bytes: Arc<AtomicUsize>,
    /// Body of that frame.
    sample: Arc<Mutex<Vec<u8>>>,
}

impl Proxies {
    /// Starts `count` proxies with numbers from `first`. Each sends the load report once per second, if there is one.
    fn join(&self, address: SocketAddr, first: u32, count: u32, report: Option<LoadReport>) -> Vec<Task> {
        (first..first + count)
            .map(|number| {
                let (proxies, report) = (self.clone(), report.clone());
                Task::spawn(move || proxies.run_proxy(address, number, report))
            })
            .collect()
    }

    fn run_proxy(&self, address: SocketAddr, number: u32, report: Option<LoadReport>) {
        let mut stream = subscribe(address, number);
        if let Some(report) = report {
            let mut writer = stream.try_clone().expect("a free file descriptor");
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
            let Some(nonce) = read_nonce(&body) else { return };
            let ack = frame(&FromProxy { payload: Some(from_proxy::Payload::Ack(Ack { nonce })) });
            if stream.write_all(&ack).is_err() {
                return;
            }
            self.last_ack_at.fetch_max(now().to_bits(), Ordering::Relaxed);
            if number == 1 {
                self.frame_bytes.store(body.len() + prefix.len(), Ordering::Relaxed);
                self.sample.lock().expect("no holder panics").clone_from(&body);
            }
        }
    }
}

fn subscribe(address: SocketAddr, number: u32) -> TcpStream {
    let mut stream = connect(address, seconds(5.0)).expect("the controller listens");
    stream.set_nodelay(true).expect("open stream");
    let subscribe = Subscribe { proxy: number, zone: number % 3, process: 1, incarnation: 0, version: 0 };
    let subscribe = frame(&FromProxy { payload: Some(from_proxy::Payload::Subscribe(subscribe)) });
    stream.write_all(&subscribe).expect("open stream");
    stream
}

/// Reads the nonce, the first field of a delta, without decoding the rest. 0 if the message does not begin with one.
fn read_nonce(body: &[u8]) -> Option<u64> {
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

/// Time from the decision on a delta to the last of 300 acknowledgements, as a ratio to bare `may` sockets with frames
/// of the same length; then the same with one more proxy that never reads, as a ratio to the time without it.
fn fan_out() {
    let mut ratios = Vec::new();
    let mut bare_sockets = BareSockets::start(300);
    let (mut times_without_stuck, mut lines) = (Vec::new(), 0);
    let mut round = |has_stuck_proxy: bool, compares_bare_sockets: bool| {
        let mut bench = Bench::start(110, SLICES, 60.0);
        let proxies = Proxies::default();
        let _stuck_stream = has_stuck_proxy.then(|| subscribe(bench.address, 9999));
        let _tasks = proxies.join(bench.address, 0, 300, None);
        bench.wait_for("joined", if has_stuck_proxy { 301 } else { 300 });
        std::thread::sleep(seconds(2.5));
        let mut times = Vec::new();
        for batch in 0..7 {
            let before = bench.figures()["versions"].as_u64().unwrap_or(0);
            let draining = (batch * 8..(batch + 1) * 8).map(|index| bench.entry(index, DRAINING)).collect();
            bench.endpoint_list.update(draining);
            let figures = bench.wait_for("versions", before + 1);
            let sample = proxies.sample.lock().expect("no holder panics").clone();
            let message: FromController = prost::Message::decode(&sample[..]).expect("a valid message");
            let Some(railhub_proto::from_controller::Payload::Delta(delta)) = message.payload else {
                continue;
            };
            lines = delta.cost();
            times.push(f64::from_bits(proxies.last_ack_at.load(Ordering::Relaxed)) - delta.ordered_at);
            if compares_bare_sockets {
                let controller_time = figures["spread_last"].as_f64().expect("a number of seconds");
                let body_bytes = proxies.frame_bytes.load(Ordering::Relaxed) - 4;
                let bare_time = bare_sockets.fan_out_time(body_bytes);
                ratios.push(controller_time / bare_time);
            }
        }
        times
    };
    times_without_stuck.extend(round(false, true));
    let mut times_with_stuck = round(true, false);
    times_without_stuck.extend(round(false, false));
    times_with_stuck.extend(round(true, false));
    println!(
        "delta of {lines} lines to 300 proxies, decision to last acknowledgement, over bare sockets: {:.2}",
        median(ratios)
    );
    println!(
        "one proxy stuck, last acknowledgement of the others, over none stuck: {:.2}",
        median(times_with_stuck) / median(times_without_stuck)
    );
}

/// Starts this binary again with an environment variable that selects its role. Returns the process, its pipes, and the
/// address on which it listens.
fn start_child(variable: &str, value: &str) -> (Child, ChildStdin, BufReader<ChildStdout>, SocketAddr) {
    let mut child = Command::new(std::env::current_exe().expect("path of this binary"))
        .env(variable, value)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("this binary starts");
    let requests = child.stdin.take().expect("piped");
    let mut responses = BufReader::new(child.stdout.take().expect("piped"));
    let mut line = String::new();
    responses.read_line(&mut line).expect("the child prints its address");
    let address = line.trim().parse().expect("an address");
    (child, requests, responses, address)
}

/// Resident memory of the controller's process per joined idle proxy.
fn memory_per_proxy() {
    let count = 3000;
    let mut bench = Bench::start(10, 100, 60.0);
    let proxies = Proxies::default();
    let _first_tasks = proxies.join(bench.address, 0, 100, None);
    bench.wait_for("joined", 100);
    std::thread::sleep(seconds(2.0));
    let kib_before = bench.resident_kib();
    let started_at = now();
    let _tasks = proxies.join(bench.address, 100, count, None);
    bench.wait_for("joined", 100 + u64::from(count));
    let join_time = now() - started_at;
    std::thread::sleep(seconds(2.0));
    let kib_each = (bench.resident_kib() - kib_before) / f64::from(count);
    println!(
        "{count} proxies joined at once in {join_time:.2} s; {kib_each:.1} KiB of the controller's memory each"
    );
}

/// Delay of timers with 150 hosts, 975 slices and 300 proxies that report each second while hosts drain.
fn timer_delay() {
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
    let proxies = Proxies::default();
    let _tasks = proxies.join(bench.address, 0, 300, Some(report));
    bench.wait_for("joined", 300);
    for batch in 0..10 {
        std::thread::sleep(seconds(3.0));
        let draining = (batch * 8..(batch + 1) * 8).map(|index| bench.entry(index, DRAINING)).collect();
        bench.endpoint_list.update(draining);
    }
    let figures = bench.figures();
    let ms = |figure: &str| figures[figure].as_f64().unwrap_or(f64::NAN) * 1000.0;
    println!(
        "150 hosts, {SLICES} slices, 300 proxies, {} timers: delay {:.2} ms (p50), {:.2} ms (p99), {:.2} ms \
         (maximum); longest batch {:.1} ms",
        figures["turns"],
        ms("late_half"),
        ms("late_99"),
        ms("late_most"),
        ms("longest_round")
    );
}
