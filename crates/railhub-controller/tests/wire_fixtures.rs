//! What a controller reads and writes, byte for byte: its INI file, the bodies it exchanges with the endpoint list and
//! the store, the deltas it publishes, the traffic it records and the figures it shows.
use railhub::{ClassId, HostId, Idempotency, ProxyId, RetryPolicy, SliceId, ZoneId};
use railhub_controller::change::{Change, ClassAdmission};
use railhub_controller::membership::MembershipFigures;
use railhub_controller::publication::Publication;
use railhub_controller::traffic_writer::TrafficWriter;
use railhub_controller::{ControllerSettings, Figures, RunningController};
use railhub_ini::Document;
use railhub_proto::{LoadReport, SliceLoad};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex, Once};
use std::time::{Duration, Instant};

/// Longer than anything here takes; only a failing test waits for it.
const LONG: Duration = Duration::from_secs(20);

fn start() {
    static START: Once = Once::new();
    START.call_once(railhub_net::start_runtime);
}

fn read(text: &str) -> ControllerSettings {
    ControllerSettings::read(&Document::parse("s.ini", text).expect("readable")).expect("right")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A request as it came: its line and its body.
#[derive(Clone, Debug, PartialEq)]
struct Exchange {
    line: String,
    body: String,
}

type Respond = dyn Fn(&Exchange, usize) -> Option<String> + Send + Sync;

/// A server that keeps what it is sent; each request is answered with a body, or left without an answer. The second
/// argument of `respond` is the number of earlier requests with the same line.
struct Server {
    address: SocketAddr,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
}

impl Server {
    fn start(respond: impl Fn(&Exchange, usize) -> Option<String> + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let address = listener.local_addr().expect("bound");
        let exchanges: Arc<Mutex<Vec<Exchange>>> = Arc::default();
        let (kept, respond): (_, Arc<Respond>) = (exchanges.clone(), Arc::new(respond));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (kept, respond) = (kept.clone(), respond.clone());
                std::thread::spawn(move || serve(stream, &kept, &*respond));
            }
        });
        Server { address, exchanges }
    }

    /// Bodies of the requests with such a line, as soon as there are so many.
    fn bodies(&self, line: &str, least: usize) -> Vec<String> {
        let until = Instant::now() + LONG;
        loop {
            let exchanges = self.exchanges.lock().expect("no holder panics").clone();
            let of_line = exchanges.iter().filter(|exchange| exchange.line == line);
            let bodies: Vec<String> = of_line.map(|exchange| exchange.body.clone()).collect();
            if bodies.len() >= least {
                return bodies;
            }
            assert!(Instant::now() < until, "no {least} requests {line}: {exchanges:?}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn serve(stream: TcpStream, kept: &Mutex<Vec<Exchange>>, respond: &Respond) {
    let mut reader = BufReader::new(stream);
    while let Some(exchange) = read_request(&mut reader) {
        let earlier = {
            let mut kept = kept.lock().expect("no holder panics");
            kept.push(exchange.clone());
            kept.iter().filter(|other| other.line == exchange.line).count() - 1
        };
        let Some(body) = respond(&exchange, earlier) else { return std::thread::sleep(LONG) };
        let head = format!("HTTP/1.1 200 .\r\ncontent-length: {}\r\n\r\n", body.len());
        if reader.get_mut().write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Exchange> {
    let (mut line, mut length) = (String::new(), 0);
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        if let Some(value) = header.strip_prefix("content-length: ") {
            length = value.trim().parse().ok()?;
        }
        if header == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Exchange { line: line.trim_end().to_owned(), body: String::from_utf8(body).ok()? })
}

/// A host that passes its health checks.
fn host() -> Server {
    Server::start(|_, _| Some(String::new()))
}

/// An endpoint list with the first host ready; after `drains_after` it is draining.
fn endpoint_list(first: SocketAddr, second: SocketAddr, drains_after: Option<Duration>) -> Server {
    Server::start(move |exchange, _| {
        match exchange.line.as_str() {
        "GET /hosts?after=0 HTTP/1.1" => Some(format!(
            "{{\"version\":7,\"whole\":true,\"hosts\":[\
             {{\"host\":\"{first}\",\"phase\":\"ready\",\"started\":null,\"weight\":4.0,\"kind\":0}},\
             {{\"host\":\"{second}\",\"phase\":\"ready\",\"started\":1.5,\"weight\":4.0,\"kind\":1}}]}}"
        )),
        "GET /hosts?after=7 HTTP/1.1" => drains_after.map(|after| {
            std::thread::sleep(after);
            format!(
                "{{\"version\":9,\"whole\":false,\"hosts\":[\
                 {{\"host\":\"{first}\",\"phase\":\"draining\",\"started\":null,\"weight\":4.0,\"kind\":0}}]}}"
            )
        }),
        _ => None,
    }
    })
}

#[test]
fn a_controller_alone_exchanges_the_same_bodies_with_list_and_store() {
    start();
    let (first, second) = (host(), host());
    let (from, to) = (first.address, second.address);
    let list = endpoint_list(from, to, Some(Duration::from_millis(300)));
    let store = Server::start(move |exchange, _| match exchange.line.as_str() {
        "GET /charges HTTP/1.1" => Some(format!("[{{\"slice\":0,\"lines\":[[\"{from}\",1.0]]}}]")),
        _ => Some("[]".into()),
    });
    let text = format!(
        "[steward]\nroster = {}\nstore = {}\nslices = 1\n[class any]\ncontract_time = 1\n",
        list.address, store.address
    );
    let running = RunningController::start(read(&text)).expect("loopback");
    assert_eq!(list.bodies("GET /hosts?after=0 HTTP/1.1", 1), [""]);
    assert_eq!(store.bodies("GET /charges HTTP/1.1", 1), [""]);
    assert_eq!(list.bodies("GET /hosts?after=9 HTTP/1.1", 1), [""]);
    assert_eq!(first.bodies("GET /probe HTTP/1.1", 1)[0], "");
    let written = store.bodies("PUT /tables HTTP/1.1", 1).remove(0);
    assert!(written.starts_with("[{\"slice\":0,\"epoch\":0,\"lines\":[[\"127.0.0.1:"), "{written}");
    assert!(written.ends_with("]],\"age\":0.0}]"), "{written}");
    assert!(written.contains(&format!("[\"{to}\",1.0]")), "{written}");
    drop(running);
}

#[test]
fn a_controller_that_shares_exchanges_the_same_bodies_with_its_store() {
    start();
    let (first, second) = (host(), host());
    let from = first.address;
    let list = endpoint_list(from, second.address, None);
    let store = Server::start(move |exchange, earlier| match (exchange.line.as_str(), earlier) {
        ("POST /leases HTTP/1.1", 0) => Some(format!(
            "{{\"says\":{{\"number\":1,\"granted\":[[0,5]],\"refused\":[1]}},\"tables\":[\
             {{\"slice\":0,\"epoch\":5,\"lines\":[[\"{from}\",1.0]],\
             \"state\":{{\"version\":1,\"rate\":12.5,\"rests\":0.0,\"home\":\"{from}\"}},\"age\":0.25}}]}}"
        )),
        ("POST /leases HTTP/1.1", _) => {
            let number = exchange.body.strip_prefix("{\"number\":").expect("the number goes first");
            let (number, _) = number.split_once(',').expect("more than a number");
            let granted = if exchange.body.contains("\"renew\":[[0,5]]") { "[0,5]" } else { "" };
            let says = format!("{{\"number\":{number},\"granted\":[{granted}],\"refused\":[]}}");
            Some(format!("{{\"says\":{says},\"tables\":[]}}"))
        }
        _ => Some("[]".into()),
    });
    let text = |id: u16, process: u64, join: &str| {
        format!(
            "[steward]\nroster = {}\nstore = {}\nslices = 2\n[class any]\ncontract_time = 1\n\
             [fleet]\nid = {id}\ninstallation = test\nshare = yes\nprocess = {process}\n{join}",
            list.address, store.address
        )
    };
    let mut running = RunningController::start(read(&text(1, 77, ""))).expect("loopback");
    let taken = "{\"number\":1,\"process\":77,\"span\":3.0,\"take\":[0,1],\"renew\":[],\"release\":[]}";
    assert_eq!(store.bodies("POST /leases HTTP/1.1", 1)[0], taken);
    let until = Instant::now() + LONG;
    let holds_one = || running.membership_figures().is_some_and(|figures| figures.leases == 1);
    while !holds_one() {
        assert!(Instant::now() < until, "the slice never came");
        std::thread::sleep(Duration::from_millis(10));
    }
    // The one that it hands the slice to; the store grants it nothing.
    let join = format!("join = {}\n", running.membership_address().expect("it shares"));
    let other = RunningController::start(read(&text(2, 78, &join))).expect("loopback");
    while running.membership_figures().is_none_or(|figures| figures.alive < 2) {
        assert!(Instant::now() < until, "the other one is not seen");
        std::thread::sleep(Duration::from_millis(10));
    }
    running.leave();
    drop(other);
    let released = "\"take\":[],\"renew\":[],\"release\":[[0,5]]}";
    let bodies = store.bodies("POST /leases HTTP/1.1", 2);
    assert!(bodies.iter().any(|body| body.ends_with(released)), "{bodies:?}");
    let written = store.bodies("PUT /tables HTTP/1.1", 1).pop().expect("one at least");
    let (table, state) = written.split_once(",\"state\":").expect("what the next one is told");
    assert!(table.starts_with("[{\"slice\":0,\"epoch\":5,\"lines\":[[\"127.0.0.1:"), "{written}");
    let (home, rate) = state.split_once(",\"rate\":").expect("a rate");
    assert!(home == "{\"home\":null" || home.starts_with("{\"home\":\"127.0.0.1:"), "{written}");
    let (_, rests) = rate.split_once(",\"rests\":").expect("a rest");
    assert!(rests.ends_with(",\"version\":1},\"age\":0.0}]"), "{written}");
}

#[test]
fn every_key_of_the_file_is_read_into_its_place() {
    let text = "[steward]\nlisten = 127.0.0.1:7000\nroster = 127.0.0.1:7001\nstore = 127.0.0.1:7002\nslices = 40\n\
        single_owner = yes\nprobes = no\nremoval_binds = no\nlevels = no\ntraffic = ops.traffic\n\
        [limits]\nreports_a_second = 801\nprobe_within = 0.3\nprobes_at_once = 65\nstuck_after = 11\n\
        first_within = 6\nsilent_after = 12\nstreams_most = 13\nwrite_lease = 14\nwrite_life = 15\ncold_from = 0.5\n\
        warm_within = 16\nfall_multiple = 3.5\nbacklog = 17\nmessage_cost = 18\nmessage_cap = 19\nmessages_span = 20\n\
        first_wait = 21\n\
        [class view]\ncontract_time = 0.8\ngain = 2\nrepeats = safe\n\
        [class pay]\ncontract_time = 1.2\nrepeats = keyed\nkey_window = 30\n\
        [class near]\ncontract_time = 1.3\nrepeats = keyed nearby\n\
        [fleet]\nid = 3\ninstallation = shop\nlisten = 127.0.0.1:7003\nadvertise = 127.0.0.1:7004\n\
        join = 127.0.0.1:7005, 127.0.0.1:7006\nforget_after = 22\nshare = yes\nlease = 4\nclock_speed = 1.5\n\
        clock_jumps_after = 23\nclock_jumps_by = 24\nprocess = 25\nwithout = rumour bound\n";
    let read = read(text);
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    assert_eq!(
        (read.listen, read.endpoint_list, read.store),
        (address(7000), address(7001), Some(address(7002)))
    );
    assert_eq!(read.class_names, ["view", "pay", "near"]);
    assert_eq!(
        (read.max_reports_per_second, read.health_check_timeout, read.max_concurrent_health_checks),
        (801.0, 0.3, 65)
    );
    assert_eq!((read.response_timeout, read.subscribe_timeout, read.idle_timeout), (11.0, 6.0, 12.0));
    assert_eq!(read.max_streams, 13);
    assert_eq!(read.traffic.as_deref(), Some(Path::new("ops.traffic")));
    let terms = &read.config;
    assert_eq!((terms.slice_count, terms.single_owner, terms.health_checks_allowed), (40, true, false));
    assert_eq!((terms.delisted_may_serve, terms.admission_by_fraction), (true, false));
    assert_eq!(
        (terms.write_lease, terms.max_write_duration, terms.cold_capacity_fraction),
        (14.0, 15.0, 0.5)
    );
    assert_eq!((terms.warm_up_time, terms.overload_multiple, terms.backlog_limit), (16.0, 3.5, 17.0));
    assert_eq!((terms.message_overhead, terms.message_quota), (18.0, 19));
    assert_eq!((terms.message_quota_window, terms.first_attempt_timeout_multiple), (20.0, 21.0));
    let classes: Vec<_> =
        terms.classes.iter().map(|c| (c.contract_time, c.priority_weight, c.idempotency)).collect();
    let keyed = Idempotency::IdempotencyKeyGlobal(30.0);
    let nearby = Idempotency::IdempotencyKeyLocal;
    assert_eq!(classes, [(0.8, 2.0, Idempotency::Safe), (1.2, 1.0, keyed), (1.3, 1.0, nearby)]);
    let fleet = read.membership.expect("a section of its own");
    assert_eq!((fleet.id.0, fleet.installation.as_str(), fleet.share), (3, "shop", true));
    assert_eq!((fleet.listen, fleet.advertise), (address(7003), Some(address(7004))));
    assert_eq!(fleet.join, [address(7005), address(7006)]);
    assert_eq!((fleet.forget_after, fleet.lease, fleet.process), (22.0, 4.0, Some(25)));
    let clock = fleet.clock;
    assert_eq!((clock.speed, clock.jumps_after, clock.jumps_by), (1.5, 23.0, 24.0));
    assert_eq!(fleet.without, Some(railhub_membership::safeguard::Safeguard::GossipLimit));
    assert_eq!(fleet.settings_digest, SETTINGS_DIGEST);
}

#[test]
fn a_file_with_no_limits_gets_the_same_defaults() {
    let read = read("[steward]\nroster = 127.0.0.1:7001\n[class view]\ncontract_time = 0.8\n[fleet]\nid = 1\ninstallation = a\n");
    assert_eq!((read.listen.port(), read.store, read.traffic.is_none()), (0, None, true));
    assert_eq!(
        (read.max_reports_per_second, read.health_check_timeout, read.max_concurrent_health_checks),
        (800.0, 0.4, 64)
    );
    assert_eq!((read.response_timeout, read.subscribe_timeout, read.idle_timeout), (10.0, 5.0, 10.0));
    assert_eq!(read.max_streams, 10_000);
    let terms = &read.config;
    assert_eq!((terms.slice_count, terms.single_owner, terms.health_checks_allowed), (0, false, true));
    assert_eq!((terms.delisted_may_serve, terms.admission_by_fraction), (false, true));
    assert_eq!(
        (terms.write_lease, terms.max_write_duration, terms.cold_capacity_fraction),
        (10.0, 10.0, 1.0)
    );
    assert_eq!((terms.warm_up_time, terms.overload_multiple, terms.backlog_limit), (0.0, 2.5, 50_000.0));
    assert_eq!((terms.message_overhead, terms.message_quota), (8.0, 20));
    assert_eq!((terms.message_quota_window, terms.first_attempt_timeout_multiple), (10.0, 1.0));
    let fleet = read.membership.expect("a section of its own");
    assert_eq!((fleet.listen.port(), fleet.advertise, fleet.share), (0, None, false));
    assert_eq!((fleet.forget_after, fleet.lease, fleet.process), (600.0, 3.0, None));
    let clock = fleet.clock;
    assert_eq!((clock.speed, clock.jumps_after, clock.jumps_by), (1.0, 0.0, 0.0));
    assert!(fleet.without.is_none() && fleet.join.is_empty());
}

#[test]
fn a_publication_keeps_its_bytes() {
    let host = |name: &str| HostId::new(name).expect("a name");
    let change = Change {
        reset: true,
        cleared: [SliceId(3), SliceId(700)].into(),
        lines: [((SliceId(3), host("10.0.0.1:80")), 1.0), ((SliceId(700), host("10.0.0.2:80")), 0.0)].into(),
        admission_rates: [
            (ClassId(0), ClassAdmission { rate: 0.75, retry: RetryPolicy::Never }),
            (ClassId(1), ClassAdmission { rate: 1.0, retry: RetryPolicy::IfNotExecuted }),
            (ClassId(2), ClassAdmission { rate: 0.5, retry: RetryPolicy::AfterFailure }),
        ]
        .into(),
        exclusions: [(host("10.0.0.3:80"), true), (host("10.0.0.4:80"), false)].into(),
        assigned_table: Some(SliceId(2)),
        epochs: [(SliceId(3), 9)].into(),
    };
    let publication = Publication::new(change, 77, 5, 1.5, None);
    assert_eq!(hex(&publication.bytes), PUBLICATION);
}

#[test]
fn a_recorded_traffic_file_keeps_its_bytes() {
    let path = std::env::temp_dir().join(format!("railhub-bytes-{}.traffic", std::process::id()));
    let text = format!(
        "[steward]\nroster = 127.0.0.1:1\nstore = 127.0.0.1:2\nslices = 4\ntraffic = {}\n\
         [class view]\ncontract_time = 1\n[class pay]\ncontract_time = 1\n",
        path.display()
    );
    let mut writer = TrafficWriter::start(&read(&text), 10.0).expect("writable").expect("named");
    let demand = |slice, class| SliceLoad { slice, class, operations: 30 };
    let report = |span, demand| LoadReport { span, hosts: Vec::new(), slices: demand };
    writer.record(15.0, ProxyId(3), ZoneId(1), &report(2.0, vec![demand(2, 0), demand(0, 1)]));
    writer.record(11.0, ProxyId(300), ZoneId(0), &report(2.0, vec![demand(3, 0)]));
    drop(writer);
    let bytes = std::fs::read(&path).expect("written");
    std::fs::remove_file(&path).expect("there");
    // The facts name 256 zones: their block is known by its checksum, which stands behind its length.
    assert_eq!(bytes.len(), TRAFFIC_LENGTH);
    assert_eq!(hex(&bytes[..TRAFFIC_HEAD.len() / 2]), TRAFFIC_HEAD);
    assert_eq!(hex(&bytes[bytes.len() - TRAFFIC_TAIL.len() / 2..]), TRAFFIC_TAIL);
}

#[test]
fn figures_keep_their_names() {
    assert_eq!(serde_json::to_string(&Figures::default()).expect("plain"), FIGURES);
    assert_eq!(serde_json::to_string(&MembershipFigures::default()).expect("plain"), FLEET_FIGURES);
}

const SETTINGS_DIGEST: u64 = 13704884636301125366;
const PUBLICATION: &str = "000000960a93010805104d180521000000000000f83f2801320303bc053a180803120b31302e302e302e313a383019000000000000f03f3a1008bc05120b31302e302e302e323a3830420911000000000000e83f420d080111000000000000f03f1801420d080211000000000000e03f18024a0f0a0b31302e302e302e333a383010014a0d0a0b31302e302e302e343a383050025a0408031009";
const TRAFFIC_LENGTH: usize = 2571;
const TRAFFIC_HEAD: &str = "7261696c687562207472616666696320310aa2090000a5074d9a0a9f130a04766965770a0370617912067a6f6e652d3012067a6f6e652d3112067a6f6e652d32";
const TRAFFIC_TAIL: &str = "087a6f6e652d32353212087a6f6e652d32353312087a6f6e652d32353412087a6f6e652d3235351804320000000fda641a12300a0980ade20400ffa3e80312030001001a0302000322030101002a040303ac0242031e1e1e4a0980897a80897ac0843d0d000000c1b883421a0b0803110000000000001440";
const FIGURES: &str = r#"{"rounds":0,"turns":0,"versions":0,"joined":0,"refused":0,"cut_off":0,"folded":0,"sums_dropped":0,"probes_dropped":0,"traffic_dropped":0,"late_half":0.0,"late_99":0.0,"late_most":0.0,"longest_round":0.0,"spread_half":0.0,"spread_99":0.0,"spread_last":0.0}"#;
const FLEET_FIGURES: &str = r#"{"alive":0,"sent":0,"heard":0,"dropped":{},"looks_dropped":0,"yielded":false,"charges":0,"tables_refused":0}"#;
