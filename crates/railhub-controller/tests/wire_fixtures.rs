//! The formats that a controller reads and writes, compared with literals: its INI file, the bodies that it exchanges
//! with the endpoint list and the store, the deltas that it publishes, the traffic file and the figures' JSON names.
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

/// Time limit of each wait; only failing tests reach it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn start_runtime() {
    static START: Once = Once::new();
    START.call_once(railhub_net::start_runtime);
}

fn read_settings(text: &str) -> ControllerSettings {
    ControllerSettings::read(&Document::parse("s.ini", text).expect("valid syntax")).expect("valid settings")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A received HTTP request.
#[derive(Clone, Debug, PartialEq)]
struct Request {
    line: String,
    body: String,
}

type Respond = dyn Fn(&Request, usize) -> Option<String> + Send + Sync;

/// An HTTP server that records all requests. `respond` returns the body of the response, or `None` to leave the request
/// without one. Its second argument is the number of earlier requests with the same request line.
struct RecordingServer {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<Request>>>,
}

impl RecordingServer {
    fn start(respond: impl Fn(&Request, usize) -> Option<String> + Send + Sync + 'static) -> RecordingServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let address = listener.local_addr().expect("the listener is bound");
        let requests: Arc<Mutex<Vec<Request>>> = Arc::default();
        let (recorded, respond): (_, Arc<Respond>) = (requests.clone(), Arc::new(respond));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (recorded, respond) = (recorded.clone(), respond.clone());
                std::thread::spawn(move || serve(stream, &recorded, &*respond));
            }
        });
        RecordingServer { address, requests }
    }

    /// Waits for at least `min_count` requests with this request line and returns their bodies.
    fn bodies(&self, line: &str, min_count: usize) -> Vec<String> {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let requests = self.requests.lock().expect("no holder panics").clone();
            let of_line = requests.iter().filter(|request| request.line == line);
            let bodies: Vec<String> = of_line.map(|request| request.body.clone()).collect();
            if bodies.len() >= min_count {
                return bodies;
            }
            assert!(Instant::now() < deadline, "fewer than {min_count} requests {line}: {requests:?}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn serve(stream: TcpStream, recorded: &Mutex<Vec<Request>>, respond: &Respond) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_http_request(&mut reader) {
        let earlier = {
            let mut recorded = recorded.lock().expect("no holder panics");
            recorded.push(request.clone());
            recorded.iter().filter(|other| other.line == request.line).count() - 1
        };
        let Some(body) = respond(&request, earlier) else { return std::thread::sleep(TEST_TIMEOUT) };
        let head = format!("HTTP/1.1 200 .\r\ncontent-length: {}\r\n\r\n", body.len());
        if reader.get_mut().write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_http_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
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
    Some(Request { line: line.trim_end().to_owned(), body: String::from_utf8(body).ok()? })
}

/// A host that passes all health checks.
fn healthy_host() -> RecordingServer {
    RecordingServer::start(|_, _| Some(String::new()))
}

/// An endpoint list with two ready hosts. The first one is draining after `drains_after`, if that is set.
fn endpoint_list(first: SocketAddr, second: SocketAddr, drains_after: Option<Duration>) -> RecordingServer {
    RecordingServer::start(move |request, _| {
        match request.line.as_str() {
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
fn request_bodies_without_sharing() {
    start_runtime();
    let (first, second) = (healthy_host(), healthy_host());
    let (first_address, second_address) = (first.address, second.address);
    let list = endpoint_list(first_address, second_address, Some(Duration::from_millis(300)));
    let store = RecordingServer::start(move |request, _| match request.line.as_str() {
        "GET /charges HTTP/1.1" => Some(format!("[{{\"slice\":0,\"lines\":[[\"{first_address}\",1.0]]}}]")),
        _ => Some("[]".into()),
    });
    let text = format!(
        "[steward]\nroster = {}\nstore = {}\nslices = 1\n[class any]\ncontract_time = 1\n",
        list.address, store.address
    );
    let running = RunningController::start(read_settings(&text)).expect("the controller starts");
    assert_eq!(list.bodies("GET /hosts?after=0 HTTP/1.1", 1), [""]);
    assert_eq!(store.bodies("GET /charges HTTP/1.1", 1), [""]);
    assert_eq!(list.bodies("GET /hosts?after=9 HTTP/1.1", 1), [""]);
    assert_eq!(first.bodies("GET /probe HTTP/1.1", 1)[0], "");
    let written = store.bodies("PUT /tables HTTP/1.1", 1).remove(0);
    assert!(written.starts_with("[{\"slice\":0,\"epoch\":0,\"lines\":[[\"127.0.0.1:"), "{written}");
    assert!(written.ends_with("]],\"age\":0.0}]"), "{written}");
    assert!(written.contains(&format!("[\"{second_address}\",1.0]")), "{written}");
    drop(running);
}

#[test]
fn lease_request_bodies_with_sharing() {
    start_runtime();
    let (first, second) = (healthy_host(), healthy_host());
    let first_address = first.address;
    let list = endpoint_list(first_address, second.address, None);
    let store = RecordingServer::start(move |request, earlier| {
        match (request.line.as_str(), earlier) {
        ("POST /leases HTTP/1.1", 0) => Some(format!(
            "{{\"says\":{{\"number\":1,\"granted\":[[0,5]],\"refused\":[1]}},\"tables\":[\
             {{\"slice\":0,\"epoch\":5,\"lines\":[[\"{first_address}\",1.0]],\
             \"state\":{{\"version\":1,\"rate\":12.5,\"rests\":0.0,\"home\":\"{first_address}\"}},\"age\":0.25}}]}}"
        )),
        ("POST /leases HTTP/1.1", _) => {
            let number =
                request.body.strip_prefix("{\"number\":").expect("the body starts with the request number");
            let (number, _) = number.split_once(',').expect("more fields follow the number");
            let granted = if request.body.contains("\"renew\":[[0,5]]") { "[0,5]" } else { "" };
            let response = format!("{{\"number\":{number},\"granted\":[{granted}],\"refused\":[]}}");
            Some(format!("{{\"says\":{response},\"tables\":[]}}"))
        }
        _ => Some("[]".into()),
    }
    });
    let text = |id: u16, process: u64, join: &str| {
        format!(
            "[steward]\nroster = {}\nstore = {}\nslices = 2\n[class any]\ncontract_time = 1\n\
             [fleet]\nid = {id}\ninstallation = test\nshare = yes\nprocess = {process}\n{join}",
            list.address, store.address
        )
    };
    let mut running =
        RunningController::start(read_settings(&text(1, 77, ""))).expect("the controller starts");
    let first_request =
        "{\"number\":1,\"process\":77,\"span\":3.0,\"take\":[0,1],\"renew\":[],\"release\":[]}";
    assert_eq!(store.bodies("POST /leases HTTP/1.1", 1)[0], first_request);
    let deadline = Instant::now() + TEST_TIMEOUT;
    let holds_one = || running.membership_figures().is_some_and(|figures| figures.leases == 1);
    while !holds_one() {
        assert!(Instant::now() < deadline, "the controller never acquired the slice");
        std::thread::sleep(Duration::from_millis(10));
    }
    // The other controller is the one to hand the slice over to; the store grants it no lease.
    let join = format!(
        "join = {}\n",
        running.membership_address().expect("the controller has a membership address")
    );
    let other = RunningController::start(read_settings(&text(2, 78, &join))).expect("the controller starts");
    while running.membership_figures().is_none_or(|figures| figures.alive < 2) {
        assert!(Instant::now() < deadline, "the other controller never joined the membership");
        std::thread::sleep(Duration::from_millis(10));
    }
    running.leave();
    drop(other);
    let released = "\"take\":[],\"renew\":[],\"release\":[[0,5]]}";
    let bodies = store.bodies("POST /leases HTTP/1.1", 2);
    assert!(bodies.iter().any(|body| body.ends_with(released)), "{bodies:?}");
    let written = store.bodies("PUT /tables HTTP/1.1", 1).pop().expect("at least one request");
    let (table, handoff) = written.split_once(",\"state\":").expect("the body contains a handoff");
    assert!(table.starts_with("[{\"slice\":0,\"epoch\":5,\"lines\":[[\"127.0.0.1:"), "{written}");
    let (preferred_host, rate) = handoff.split_once(",\"rate\":").expect("the handoff contains a rate");
    assert!(
        preferred_host == "{\"home\":null" || preferred_host.starts_with("{\"home\":\"127.0.0.1:"),
        "{written}"
    );
    let (_, pinned_for) =
        rate.split_once(",\"rests\":").expect("the handoff contains the remaining pin time");
    assert!(pinned_for.ends_with(",\"version\":1},\"age\":0.0}]"), "{written}");
}

#[test]
fn reads_every_key_of_the_file() {
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
    let settings = read_settings(text);
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    assert_eq!(
        (settings.listen, settings.endpoint_list, settings.store),
        (address(7000), address(7001), Some(address(7002)))
    );
    assert_eq!(settings.class_names, ["view", "pay", "near"]);
    assert_eq!(
        (
            settings.max_reports_per_second,
            settings.health_check_timeout,
            settings.max_concurrent_health_checks
        ),
        (801.0, 0.3, 65)
    );
    assert_eq!(
        (settings.response_timeout, settings.subscribe_timeout, settings.idle_timeout),
        (11.0, 6.0, 12.0)
    );
    assert_eq!(settings.max_streams, 13);
    assert_eq!(settings.traffic.as_deref(), Some(Path::new("ops.traffic")));
    let config = &settings.config;
    assert_eq!((config.slice_count, config.single_owner, config.health_checks_allowed), (40, true, false));
    assert_eq!((config.delisted_may_serve, config.admission_by_fraction), (true, false));
    assert_eq!(
        (config.write_lease, config.max_write_duration, config.cold_capacity_fraction),
        (14.0, 15.0, 0.5)
    );
    assert_eq!((config.warm_up_time, config.overload_multiple, config.backlog_limit), (16.0, 3.5, 17.0));
    assert_eq!((config.message_overhead, config.message_quota), (18.0, 19));
    assert_eq!((config.message_quota_window, config.first_attempt_timeout_multiple), (20.0, 21.0));
    let classes: Vec<_> =
        config.classes.iter().map(|c| (c.contract_time, c.priority_weight, c.idempotency)).collect();
    let keyed = Idempotency::IdempotencyKeyGlobal(30.0);
    let nearby = Idempotency::IdempotencyKeyLocal;
    assert_eq!(classes, [(0.8, 2.0, Idempotency::Safe), (1.2, 1.0, keyed), (1.3, 1.0, nearby)]);
    let fleet = settings.membership.expect("the file has a [fleet] section");
    assert_eq!((fleet.id.0, fleet.installation.as_str(), fleet.share), (3, "shop", true));
    assert_eq!((fleet.listen, fleet.advertise), (address(7003), Some(address(7004))));
    assert_eq!(fleet.join, [address(7005), address(7006)]);
    assert_eq!((fleet.forget_after, fleet.lease_duration, fleet.process), (22.0, 4.0, Some(25)));
    let clock = fleet.clock;
    assert_eq!((clock.speed, clock.jumps_after, clock.jumps_by), (1.5, 23.0, 24.0));
    assert_eq!(fleet.disabled_safeguard, Some(railhub_membership::safeguard::Safeguard::GossipLimit));
    assert_eq!(fleet.settings_digest, SETTINGS_DIGEST);
}

#[test]
fn default_settings() {
    let settings = read_settings("[steward]\nroster = 127.0.0.1:7001\n[class view]\ncontract_time = 0.8\n[fleet]\nid = 1\ninstallation = a\n");
    assert_eq!((settings.listen.port(), settings.store, settings.traffic.is_none()), (0, None, true));
    assert_eq!(
        (
            settings.max_reports_per_second,
            settings.health_check_timeout,
            settings.max_concurrent_health_checks
        ),
        (800.0, 0.4, 64)
    );
    assert_eq!(
        (settings.response_timeout, settings.subscribe_timeout, settings.idle_timeout),
        (10.0, 5.0, 10.0)
    );
    assert_eq!(settings.max_streams, 10_000);
    let config = &settings.config;
    assert_eq!((config.slice_count, config.single_owner, config.health_checks_allowed), (0, false, true));
    assert_eq!((config.delisted_may_serve, config.admission_by_fraction), (false, true));
    assert_eq!(
        (config.write_lease, config.max_write_duration, config.cold_capacity_fraction),
        (10.0, 10.0, 1.0)
    );
    assert_eq!((config.warm_up_time, config.overload_multiple, config.backlog_limit), (0.0, 2.5, 50_000.0));
    assert_eq!((config.message_overhead, config.message_quota), (8.0, 20));
    assert_eq!((config.message_quota_window, config.first_attempt_timeout_multiple), (10.0, 1.0));
    let fleet = settings.membership.expect("the file has a [fleet] section");
    assert_eq!((fleet.listen.port(), fleet.advertise, fleet.share), (0, None, false));
    assert_eq!((fleet.forget_after, fleet.lease_duration, fleet.process), (600.0, 3.0, None));
    let clock = fleet.clock;
    assert_eq!((clock.speed, clock.jumps_after, clock.jumps_by), (1.0, 0.0, 0.0));
    assert!(fleet.disabled_safeguard.is_none() && fleet.join.is_empty());
}

#[test]
fn publication_bytes() {
    let host = |name: &str| HostId::new(name).expect("a valid host name");
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
fn traffic_file_bytes() {
    let path = std::env::temp_dir().join(format!("railhub-bytes-{}.traffic", std::process::id()));
    let text = format!(
        "[steward]\nroster = 127.0.0.1:1\nstore = 127.0.0.1:2\nslices = 4\ntraffic = {}\n\
         [class view]\ncontract_time = 1\n[class pay]\ncontract_time = 1\n",
        path.display()
    );
    let mut writer = TrafficWriter::start(&read_settings(&text), 10.0)
        .expect("the file is writable")
        .expect("a traffic file is named");
    let demand = |slice, class| SliceLoad { slice, class, operations: 30 };
    let report = |span, demand| LoadReport { span, hosts: Vec::new(), slices: demand };
    writer.record(15.0, ProxyId(3), ZoneId(1), &report(2.0, vec![demand(2, 0), demand(0, 1)]));
    writer.record(11.0, ProxyId(300), ZoneId(0), &report(2.0, vec![demand(3, 0)]));
    drop(writer);
    let bytes = std::fs::read(&path).expect("the file was written");
    std::fs::remove_file(&path).expect("the file exists");
    // The header block names 256 zones, so it is compared only up to its first zones: the checksum after the block's
    // length covers the rest.
    assert_eq!(bytes.len(), TRAFFIC_LENGTH);
    assert_eq!(hex(&bytes[..TRAFFIC_HEAD.len() / 2]), TRAFFIC_HEAD);
    assert_eq!(hex(&bytes[bytes.len() - TRAFFIC_TAIL.len() / 2..]), TRAFFIC_TAIL);
}

#[test]
fn figures_json_names() {
    assert_eq!(serde_json::to_string(&Figures::default()).expect("serializable"), FIGURES);
    assert_eq!(serde_json::to_string(&MembershipFigures::default()).expect("serializable"), FLEET_FIGURES);
}

const SETTINGS_DIGEST: u64 = 13704884636301125366;
const PUBLICATION: &str = "000000960a93010805104d180521000000000000f83f2801320303bc053a180803120b31302e302e302e313a383019000000000000f03f3a1008bc05120b31302e302e302e323a3830420911000000000000e83f420d080111000000000000f03f1801420d080211000000000000e03f18024a0f0a0b31302e302e302e333a383010014a0d0a0b31302e302e302e343a383050025a0408031009";
const TRAFFIC_LENGTH: usize = 2571;
const TRAFFIC_HEAD: &str = "7261696c687562207472616666696320310aa2090000a5074d9a0a9f130a04766965770a0370617912067a6f6e652d3012067a6f6e652d3112067a6f6e652d32";
const TRAFFIC_TAIL: &str = "087a6f6e652d32353212087a6f6e652d32353312087a6f6e652d32353412087a6f6e652d3235351804320000000fda641a12300a0980ade20400ffa3e80312030001001a0302000322030101002a040303ac0242031e1e1e4a0980897a80897ac0843d0d000000c1b883421a0b0803110000000000001440";
const FIGURES: &str = r#"{"rounds":0,"turns":0,"versions":0,"joined":0,"refused":0,"cut_off":0,"folded":0,"sums_dropped":0,"probes_dropped":0,"traffic_dropped":0,"late_half":0.0,"late_99":0.0,"late_most":0.0,"longest_round":0.0,"spread_half":0.0,"spread_99":0.0,"spread_last":0.0}"#;
const FLEET_FIGURES: &str = r#"{"alive":0,"sent":0,"heard":0,"dropped":{},"looks_dropped":0,"yielded":false,"charges":0,"tables_refused":0}"#;
