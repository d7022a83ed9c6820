//! Short scenarios with several controller processes and faults between them. A failing case prints its seed, the
//! violations and the folder of the logs.
use railhub_chaos::cluster_harness::{play, temporary_folder, ControllerProcess, HarnessPlan};
use railhub_chaos::view::judge::{judge, GOSSIP_ENDS, NO_RESURRECTION, NO_SPLIT, SETTLES};
use railhub_chaos::view::{RunOptions, ViewObservation};
use railhub_chaos::{ChaosConfig, Fault, FaultKind, JudgedProperty, LinkFaults};
use railhub_fault_links::tcp::TcpLink;
use railhub_fault_links::{Faults, LinkController};
use railhub_membership::packet::{encode, Packet, MAX_DATAGRAM_BYTES};
use railhub_membership::safeguard::Safeguard;
use railhub_membership::NodeId;
use railhub_scenario::{ControllerLauncher, LaunchedController};
use serde_json::Value;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_railhub");

fn chaos(controllers: u16) -> ChaosConfig {
    ChaosConfig {
        name: "test".into(),
        controllers,
        slices: 1,
        proxies: 1,
        length: 5.0,
        lease_duration: 3.0,
        max_faults: 0,
        base_loss: 0.01,
        judged: JudgedProperty::View,
        listed_faults: Vec::new(),
        late_joiners: Vec::new(),
    }
}

fn fault(at: f64, duration: f64, kind: FaultKind) -> Fault {
    Fault { at, duration, kind }
}

/// Applies faults to controller processes; what was observed, and the folder of their logs.
fn run_faults(
    seed: u64,
    chaos: &ChaosConfig,
    faults: &[Fault],
    options: RunOptions,
) -> (Vec<ViewObservation>, std::path::PathBuf) {
    let folder = temporary_folder(seed);
    let (binary, seed_controllers) = (Path::new(BINARY), vec![0, 1]);
    let plan =
        HarnessPlan { config: chaos, seed, faults, options, binary, folder: &folder, seed_controllers };
    let events = play(&plan).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    (events, folder)
}

fn assert_no_violations(seed: u64, chaos: &ChaosConfig, faults: &[Fault]) -> Vec<ViewObservation> {
    let (events, folder) = run_faults(seed, chaos, faults, RunOptions::default());
    let violations = judge(&events);
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}\nlogs: {}", folder.display());
    let _ = std::fs::remove_dir_all(folder);
    events
}

/// Whether any view showed this controller as gone.
fn is_shown_gone(events: &[ViewObservation], controller: u16) -> bool {
    events.iter().any(|event| match event {
        ViewObservation::View { gone, .. } => gone.iter().any(|(id, _)| *id == controller),
        _ => false,
    })
}

#[test]
fn views_settle_after_a_partition_with_a_join_and_a_crash() {
    let mut chaos = chaos(4);
    chaos.late_joiners = vec![3];
    let faults = [
        fault(2.0, 14.0, FaultKind::Partition { side: 0b0011 }),
        fault(3.0, 0.0, FaultKind::Join { controller: 3 }),
        fault(4.0, 8.0, FaultKind::Kill { controller: 1 }),
    ];
    let events = assert_no_violations(1, &chaos, &faults);
    assert!(is_shown_gone(&events, 0), "no view showed controller 0 as gone; the partition was too short");
}

#[test]
fn cut_links_cause_no_false_death_while_a_third_reaches_both() {
    let faults = [
        fault(2.0, 0.0, FaultKind::SeparatePair { a: 0, b: 1 }),
        fault(3.0, 5.0, FaultKind::Cut { from: 2, to: 3 }),
    ];
    let events = assert_no_violations(2, &chaos(4), &faults);
    assert!((0..4).all(|controller| !is_shown_gone(&events, controller)));
}

#[test]
fn views_settle_after_pauses_a_move_and_a_lower_process_number() {
    let faults = [
        fault(2.0, 1.0, FaultKind::Pause { controller: 0 }),
        fault(4.0, 5.0, FaultKind::Pause { controller: 1 }),
        fault(5.0, 0.3, FaultKind::Kill { controller: 2 }),
        fault(7.0, 0.0, FaultKind::Move { controller: 2 }),
        fault(8.0, 0.5, FaultKind::RestartWithLowerNumber { controller: 3 }),
    ];
    assert_no_violations(3, &chaos(4), &faults);
}

#[test]
fn older_of_two_processes_with_one_id_is_superseded() {
    let events =
        assert_no_violations(4, &chaos(3), &[fault(3.0, 0.0, FaultKind::DuplicateId { controller: 1 })]);
    assert!(events
        .iter()
        .any(|event| matches!(event, ViewObservation::View { controller: 1, superseded: true, .. })));
}

#[test]
fn views_settle_after_loss_restarts_replays_and_corruption() {
    let lossy = LinkFaults { loss: 0.2, duplication: 0.1, reordering: 0.2, delay: 0.005, jitter: 0.01 };
    let faults = [
        fault(1.0, 9.0, FaultKind::Links { faults: lossy }),
        fault(2.0, 8.0, FaultKind::Flap { controller: 0 }),
        fault(8.0, 0.0, FaultKind::Flood { controller: 1, count: 20_000 }),
        fault(11.0, 0.0, FaultKind::Replay),
    ];
    assert_no_violations(5, &chaos(3), &faults);
}

#[test]
fn simultaneous_starts_find_each_other_past_a_dead_seed_address() {
    let mut chaos = chaos(4);
    // Controller 0 never starts, so no process answers at the first seed address.
    chaos.late_joiners = vec![0];
    assert_no_violations(6, &chaos, &[]);
}

/// Removes a safeguard from the controllers, and asserts that one of these rules is reported broken.
fn assert_violation_found(seed: u64, without: Safeguard, faults: &[Fault], rules: &[&str]) {
    let options = RunOptions { without: Some(without), ..RunOptions::default() };
    let (events, folder) = run_faults(seed, &chaos(3), faults, options);
    let violations = judge(&events);
    let is_found = violations.iter().any(|violation| rules.contains(&violation.rule));
    assert!(is_found, "seed {seed}, {without:?}: {violations:?}, logs: {}", folder.display());
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn finds_controllers_that_ignore_process_numbers() {
    let faults = [fault(2.0, 7.0, FaultKind::Kill { controller: 1 })];
    assert_violation_found(7, Safeguard::ProcessOrder, &faults, &[NO_SPLIT, SETTLES, NO_RESURRECTION]);
}

#[test]
fn finds_controllers_without_refutation() {
    assert_violation_found(
        8,
        Safeguard::Refutation,
        &[fault(2.0, 9.0, FaultKind::Partition { side: 1 })],
        &[NO_SPLIT, SETTLES],
    );
}

#[test]
fn finds_controllers_with_unlimited_gossip() {
    assert_violation_found(9, Safeguard::GossipLimit, &[], &[GOSSIP_ENDS]);
}

/// A folder for one test, which removes it when it has passed.
fn test_folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("railhub-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder is writable");
    folder
}

/// A controller, which ends with its test even if that fails, and the path of its settings.
fn start_controller(folder: &Path, id: u16, join: Option<SocketAddr>) -> (ControllerProcess, String) {
    let join = join.map_or(String::new(), |address| format!("join = {address}\n"));
    let text = format!(
        "[steward]\nlisten = 127.0.0.1:0\nroster = 127.0.0.1:1\n\n[class any]\ncontract_time = 1\n\n\
         [fleet]\nid = {id}\ninstallation = hand\n{join}"
    );
    let conf = folder.join(format!("{id}.ini"));
    std::fs::write(&conf, text).expect("the temporary folder is writable");
    let process = ControllerProcess::start(Path::new(BINARY), &conf, &conf.with_extension("log"));
    let path = conf.to_str().expect("the path is UTF-8").to_owned();
    (process.unwrap_or_else(|error| panic!("{error}")), path)
}

/// Sends `count` invalid datagrams: of another installation, of an older version, corrupt, too long and truncated ones.
fn send_invalid_datagrams(to: SocketAddr, installation: &str, count: usize) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
    let valid = encode(installation, &Packet::ViewRequest { nonce: 1, from: NodeId(0) });
    let foreign = encode("other", &Packet::ViewRequest { nonce: 1, from: NodeId(0) });
    let mut older_version = valid.clone();
    older_version[3] = 0;
    let mut corrupt = valid.clone();
    corrupt[10] ^= 4;
    let too_long = vec![1; MAX_DATAGRAM_BYTES + 100];
    let invalid: [&[u8]; 5] = [&foreign, &older_version, &corrupt, &too_long, &valid[..7]];
    for number in 0..count {
        let _ = socket.send_to(invalid[number % invalid.len()], to);
        if number % 64 == 0 {
            std::thread::sleep(Duration::from_micros(300));
        }
    }
}

/// Polls the membership views until they meet a condition; fails the test after 30 s.
fn wait_for_view(conf: &str, at: SocketAddr, what: &str, condition: impl Fn(&Value) -> bool) -> Value {
    let deadline = Instant::now() + Duration::from_secs(30);
    loop {
        let at = at.to_string();
        let output = Command::new(BINARY)
            .args(["fleet", "view", "--json", "--log", "off", "--conf", conf, "--at", &at])
            .output()
            .expect("the railhub binary starts");
        let report: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        if condition(&report) {
            return report;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {what}: {report}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn observer_sees_join_and_leave_and_is_not_a_member() {
    let folder = test_folder("observer");
    let (first, conf) = start_controller(&folder, 1, None);
    let (second, _) = start_controller(&folder, 2, Some(first.cluster_address));
    let two_agree =
        |report: &Value| report["agree"] == true && report["views"].as_array().map_or(0, Vec::len) == 2;
    let member_count = |report: &Value| report["views"][0]["lines"].as_array().map_or(0, Vec::len);
    let report = wait_for_view(&conf, first.cluster_address, "two views that agree", two_agree);
    assert_eq!(member_count(&report), 2, "{report}");
    assert_eq!(report["views"][0]["lines"][0]["settings"], report["views"][0]["lines"][1]["settings"]);
    second.leave();
    let has_left = |report: &Value| report["views"][0]["lines"][1]["standing"] == "left";
    wait_for_view(&conf, first.cluster_address, "the second controller to have left", has_left);
    let _ = std::fs::remove_dir_all(folder);
}

/// A continuous stream of datagrams must not delay a controller's own periodic work.
#[test]
fn flooded_controller_still_detects_a_death() {
    let folder = test_folder("flooded");
    let (first, conf) = start_controller(&folder, 1, None);
    let (second, _) = start_controller(&folder, 2, Some(first.cluster_address));
    let two_agree =
        |report: &Value| report["agree"] == true && report["views"].as_array().map_or(0, Vec::len) == 2;
    wait_for_view(&conf, first.cluster_address, "two views that agree", two_agree);
    let (stop, to) = (Arc::new(AtomicBool::new(false)), first.cluster_address);
    let is_stopped = stop.clone();
    let flood = std::thread::spawn(move || {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
        while !is_stopped.load(Ordering::Acquire) {
            (0..16).for_each(|_| _ = socket.send_to(b"noise", to));
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    drop(second);
    let is_dead = |report: &Value| report["views"][0]["lines"][1]["standing"] == "dead";
    wait_for_view(&conf, first.cluster_address, "the second controller to be dead", is_dead);
    stop.store(true, Ordering::Release);
    flood.join().expect("the flood thread ends");
    let _ = std::fs::remove_dir_all(folder);
}

/// Corrupt, foreign, older and too long datagrams are dropped, and the membership views still agree.
#[test]
fn invalid_datagrams_are_dropped_and_counted() {
    let folder = test_folder("damaged");
    let (first, conf) = start_controller(&folder, 1, None);
    let (_second, _) = start_controller(&folder, 2, Some(first.cluster_address));
    let two_agree =
        |report: &Value| report["agree"] == true && report["views"].as_array().map_or(0, Vec::len) == 2;
    wait_for_view(&conf, first.cluster_address, "two views that agree", two_agree);
    send_invalid_datagrams(first.cluster_address, "hand", 100_000);
    let what = "two views that agree after the invalid datagrams";
    let report = wait_for_view(&conf, first.cluster_address, what, two_agree);
    // Fewer than were sent: datagrams that overflow the socket's receive queue never reach the controller.
    assert!(report["views"][0]["dropped"].as_u64() > Some(10_000), "{report}");
    let members = report["views"][0]["lines"].as_array().expect("the view lists its members");
    assert!(members.iter().all(|member| member["standing"] == "alive"), "{report}");
    let _ = std::fs::remove_dir_all(folder);
}

/// Plays a complete short scenario (hosts, endpoint list, store, proxies, clients; a crash, a deploy, the controller
/// killed). The controller is one of three members, and all its connections pass through fault links. Meanwhile it gets
/// 100,000 invalid datagrams, the endpoint list goes silent with its connection left open, and the streams of all
/// proxies are reset. The five rules are judged from what crossed the sockets.
#[test]
fn service_continues_despite_datagrams_silent_list_and_resets() {
    railhub_net::start_runtime();
    let folder = test_folder("service");
    let (peer, conf) = start_controller(&folder, 2, None);
    let (_other, _) = start_controller(&folder, 3, Some(peer.cluster_address));
    let link_controller = Arc::new(LinkController::new(10, None));
    let open_links = Arc::new(Mutex::new(Vec::<Arc<TcpLink>>::new()));
    let (links, join_address, config_folder) = (open_links.clone(), peer.cluster_address, folder.clone());
    let launch_count = AtomicUsize::new(0);
    let launch: ControllerLauncher = Arc::new(move |settings| {
        let number = launch_count.fetch_add(1, Ordering::Relaxed);
        let mut text = settings.to_owned();
        for key in ["roster", "store"] {
            let line = text
                .lines()
                .find(|line| line.starts_with(key))
                .ok_or_else(|| format!("the settings have no line for {key}"))?
                .to_owned();
            let target = line.split('=').nth(1).and_then(|text| text.trim().parse().ok());
            let link = TcpLink::open(link_controller.clone(), "1", key, target).map_err(|e| e.to_string())?;
            text = text.replace(&line, &format!("{key} = {}", link.address));
            links.lock().expect("the links are not poisoned").push(Arc::new(link));
        }
        text += &format!("\n[fleet]\nid = 1\ninstallation = hand\njoin = {join_address}\n");
        let conf = config_folder.join(format!("scenario-{number}.ini"));
        std::fs::write(&conf, text).map_err(|e| e.to_string())?;
        let process = ControllerProcess::start(Path::new(BINARY), &conf, &conf.with_extension("log"))
            .map_err(|e| e.to_string())?;
        let proxy_link = TcpLink::open(link_controller.clone(), "proxies", "1", Some(process.proxy_address));
        let proxy_link = Arc::new(proxy_link.map_err(|e| e.to_string())?);
        let (address, cluster_address) = (proxy_link.address, process.cluster_address);
        links.lock().expect("the links are not poisoned").push(proxy_link.clone());
        let link_controller = link_controller.clone();
        // The faults affect only the first process, which the scenario then kills.
        let fault_thread = (number == 0).then(|| {
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs(3));
                link_controller.set_both("1", "roster", Faults { cut: true, ..Faults::default() });
                let reset_streams = proxy_link.reset();
                send_invalid_datagrams(cluster_address, "hand", 100_000);
                std::thread::sleep(Duration::from_millis(1500));
                link_controller.set_both("1", "roster", Faults::default());
                let list_links = link_controller
                    .counts()
                    .into_iter()
                    .filter(|((from, to), _)| from == "roster" || to == "roster");
                let held_back = list_links.map(|(_, counts)| counts.cut).sum::<u64>();
                assert!(
                    held_back > 0,
                    "no traffic of the endpoint list was held back while its link was cut"
                );
                assert!(reset_streams > 0, "no proxy stream was open to be reset");
            })
        });
        let kill = Box::new(move || {
            process.kill();
            fault_thread.into_iter().for_each(|thread| thread.join().expect("all faults were applied"));
        });
        Ok(LaunchedController { address, peer_address: None, process_number: None, set_paused: None, kill })
    });
    let path = format!("{}/../../days/short.ini", env!("CARGO_MANIFEST_DIR"));
    let scenario = railhub_scenario::Scenario::open(Path::new(&path)).expect("the scenario is valid");
    let run =
        railhub_scenario::play(&scenario, Some(launch), None, None, &|_| {}).expect("the scenario runs");
    let rules = railhub_invariants::check(&run.events).expect("the recording is complete");
    let limits = railhub_invariants::limits(&run.events).expect("the recording has limits");
    let service = railhub_scenario::report::service(&run.events, limits);
    assert!(
        rules.iter().all(|verdict| verdict.kept),
        "seed {}: {rules:#?}, logs: {}",
        scenario.seed,
        folder.display()
    );
    assert!(service.overall > 0.8, "seed {}: {service:?}, logs: {}", scenario.seed, folder.display());
    // The scenario killed its controller; the views of the two others must agree on its death.
    let is_dead =
        |report: &Value| report["agree"] == true && report["views"][0]["lines"][0]["standing"] == "dead";
    wait_for_view(&conf, peer.cluster_address, "the scenario's controller to be dead", is_dead);
    let _ = std::fs::remove_dir_all(folder);
}
