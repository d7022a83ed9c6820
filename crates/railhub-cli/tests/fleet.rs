//! Several stewards as processes, with faults between them: short cases through the real binary. A failing case prints its
//! seed, what broke and where the logs are.
use railhub_chaos::cluster_harness::{play, temporary_folder, ControllerProcess, HarnessPlan};
use railhub_chaos::view::judge::{judge, GOSSIP_ENDS, NO_LIFE_AFTER_DEATH, NO_SPLIT, SETTLES};
use railhub_chaos::view::{RunOptions, ViewObservation};
use railhub_chaos::{ChaosConfig, Fault, FaultKind, JudgedProperty, LinkFaults};
use railhub_fault_links::tcp::TcpLink;
use railhub_fault_links::{Faults, LinkController};
use railhub_membership::packet::{encode, Packet, MAX_DATAGRAM_BYTES};
use railhub_membership::safeguard::Safeguard;
use railhub_membership::NodeId;
use railhub_scenario::{Launch, Launched};
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

/// Plays faults on real processes; what was seen, and where its logs are.
fn run_faults(
    seed: u64,
    chaos: &ChaosConfig,
    faults: &[Fault],
    how: RunOptions,
) -> (Vec<ViewObservation>, std::path::PathBuf) {
    let folder = temporary_folder(seed);
    let (binary, seed_controllers) = (Path::new(BINARY), vec![0, 1]);
    let plan =
        HarnessPlan { config: chaos, seed, faults, options: how, binary, folder: &folder, seed_controllers };
    let events = play(&plan).unwrap_or_else(|what| panic!("seed {seed}: {what}"));
    (events, folder)
}

fn assert_no_violations(seed: u64, chaos: &ChaosConfig, faults: &[Fault]) -> Vec<ViewObservation> {
    let (events, folder) = run_faults(seed, chaos, faults, RunOptions::default());
    let breaches = judge(&events);
    assert!(breaches.is_empty(), "seed {seed}: {breaches:#?}\nlogs: {}", folder.display());
    let _ = std::fs::remove_dir_all(folder);
    events
}

/// Whether a view showed this steward as gone.
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
    assert!(is_shown_gone(&events, 0), "the split was long enough to bury");
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
    let bad = LinkFaults { loss: 0.2, duplication: 0.1, reordering: 0.2, delay: 0.005, jitter: 0.01 };
    let faults = [
        fault(1.0, 9.0, FaultKind::Links { faults: bad }),
        fault(2.0, 8.0, FaultKind::Flap { controller: 0 }),
        fault(8.0, 0.0, FaultKind::Flood { controller: 1, count: 20_000 }),
        fault(11.0, 0.0, FaultKind::Replay),
    ];
    assert_no_violations(5, &chaos(3), &faults);
}

#[test]
fn simultaneous_starts_find_each_other_past_a_dead_seed_address() {
    let mut chaos = chaos(4);
    // Nobody ever starts under the first name: its address is that of a dead one.
    chaos.late_joiners = vec![0];
    assert_no_violations(6, &chaos, &[]);
}

fn assert_violation_found(seed: u64, without: Safeguard, faults: &[Fault], rules: &[&str]) {
    let how = RunOptions { without: Some(without), ..RunOptions::default() };
    let (events, folder) = run_faults(seed, &chaos(3), faults, how);
    let breaches = judge(&events);
    let found = breaches.iter().any(|breach| rules.contains(&breach.rule));
    assert!(found, "seed {seed}, {without:?}: {breaches:?}, logs: {}", folder.display());
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn finds_controllers_that_ignore_process_numbers() {
    let faults = [fault(2.0, 7.0, FaultKind::Kill { controller: 1 })];
    assert_violation_found(7, Safeguard::ProcessOrder, &faults, &[NO_SPLIT, SETTLES, NO_LIFE_AFTER_DEATH]);
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

/// A folder of its own for each test; gone when the test has passed.
fn test_folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("railhub-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("writable");
    folder
}

/// A steward that ends with its test, also when that fails; and its file of settings.
fn start_controller(folder: &Path, id: u16, join: Option<SocketAddr>) -> (ControllerProcess, String) {
    let join = join.map_or(String::new(), |address| format!("join = {address}\n"));
    let text = format!(
        "[steward]\nlisten = 127.0.0.1:0\nroster = 127.0.0.1:1\n\n[class any]\ncontract_time = 1\n\n\
         [fleet]\nid = {id}\ninstallation = hand\n{join}"
    );
    let conf = folder.join(format!("{id}.ini"));
    std::fs::write(&conf, text).expect("writable");
    let process = ControllerProcess::start(Path::new(BINARY), &conf, &conf.with_extension("log"));
    (process.unwrap_or_else(|what| panic!("{what}")), conf.to_str().expect("plain").to_owned())
}

/// Sends so many spoilt, foreign, older, cut and too long datagrams.
fn send_invalid_datagrams(to: SocketAddr, installation: &str, count: usize) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let look = encode(installation, &Packet::ViewRequest { nonce: 1, from: NodeId(0) });
    let foreign = encode("other", &Packet::ViewRequest { nonce: 1, from: NodeId(0) });
    let mut older = look.clone();
    older[3] = 0;
    let mut spoilt = look.clone();
    spoilt[10] ^= 4;
    let long = vec![1; MAX_DATAGRAM_BYTES + 100];
    let kinds: [&[u8]; 5] = [&foreign, &older, &spoilt, &long, &look[..7]];
    for number in 0..count {
        let _ = socket.send_to(kinds[number % kinds.len()], to);
        if number % 64 == 0 {
            std::thread::sleep(Duration::from_micros(300));
        }
    }
}

/// Looks until a view is as wanted, or the deadline has passed.
fn wait_for_view(conf: &str, at: SocketAddr, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
    let until = Instant::now() + Duration::from_secs(30);
    loop {
        let at = at.to_string();
        let out = Command::new(BINARY)
            .args(["fleet", "view", "--json", "--log", "off", "--conf", conf, "--at", &at])
            .output()
            .expect("it runs");
        let told: Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
        if wanted(&told) {
            return told;
        }
        assert!(Instant::now() < until, "{what}: {told}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn observer_sees_join_and_leave_and_is_not_a_member() {
    let folder = test_folder("observer");
    let (one, conf) = start_controller(&folder, 1, None);
    let (two, _) = start_controller(&folder, 2, Some(one.cluster_address));
    let lines = |told: &Value| told["views"][0]["lines"].as_array().map_or(0, Vec::len);
    let both = |told: &Value| told["agree"] == true && told["views"].as_array().map_or(0, Vec::len) == 2;
    let told = wait_for_view(&conf, one.cluster_address, "two that know each other", both);
    assert_eq!(lines(&told), 2, "{told}");
    assert_eq!(told["views"][0]["lines"][0]["settings"], told["views"][0]["lines"][1]["settings"]);
    two.leave();
    let left = |told: &Value| told["views"][0]["lines"][1]["standing"] == "left";
    wait_for_view(&conf, one.cluster_address, "one that left", left);
    let _ = std::fs::remove_dir_all(folder);
}

/// Words that come without end must not hold up a steward's own turns.
#[test]
fn flooded_controller_still_detects_a_death() {
    let folder = test_folder("flooded");
    let (one, conf) = start_controller(&folder, 1, None);
    let (two, _) = start_controller(&folder, 2, Some(one.cluster_address));
    let both = |told: &Value| told["agree"] == true && told["views"].as_array().map_or(0, Vec::len) == 2;
    wait_for_view(&conf, one.cluster_address, "two that know each other", both);
    let (ended, to) = (Arc::new(AtomicBool::new(false)), one.cluster_address);
    let stop = ended.clone();
    let flood = std::thread::spawn(move || {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        while !stop.load(Ordering::Acquire) {
            (0..16).for_each(|_| _ = socket.send_to(b"noise", to));
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    drop(two);
    let dead = |told: &Value| told["views"][0]["lines"][1]["standing"] == "dead";
    wait_for_view(&conf, one.cluster_address, "one that died", dead);
    ended.store(true, Ordering::Release);
    flood.join().expect("it ends");
    let _ = std::fs::remove_dir_all(folder);
}

/// What is spoilt, foreign, older or too long is dropped, and the stewards go on knowing each other.
#[test]
fn invalid_datagrams_are_dropped_and_counted() {
    let folder = test_folder("damaged");
    let (one, conf) = start_controller(&folder, 1, None);
    let (_two, _) = start_controller(&folder, 2, Some(one.cluster_address));
    let both = |told: &Value| told["agree"] == true && told["views"].as_array().map_or(0, Vec::len) == 2;
    wait_for_view(&conf, one.cluster_address, "two that know each other", both);
    send_invalid_datagrams(one.cluster_address, "hand", 100_000);
    let told = wait_for_view(&conf, one.cluster_address, "two that know each other after the noise", both);
    // What the socket's own queue could not hold never came to the steward.
    assert!(told["views"][0]["dropped"].as_u64() > Some(10_000), "{told}");
    let lines = told["views"][0]["lines"].as_array().expect("lines");
    assert!(lines.iter().all(|line| line["standing"] == "alive"), "{told}");
    let _ = std::fs::remove_dir_all(folder);
}

/// A whole short day (hosts, list, store, proxies, clients; a crash, a deploy, the steward killed) with the steward in a
/// fleet of three, every connection of it through a relay, while 100,000 damaged datagrams come, the list falls silent with
/// its connection left open, and all proxies' streams are reset. The five rules are judged from what crossed the sockets.
#[test]
fn service_continues_despite_datagrams_silent_list_and_resets() {
    railhub_net::start_runtime();
    let folder = test_folder("service");
    let (peer, conf) = start_controller(&folder, 2, None);
    let (_other, _) = start_controller(&folder, 3, Some(peer.cluster_address));
    let link_controller = Arc::new(LinkController::new(10, None));
    let bed = Arc::new(Mutex::new(Vec::<Arc<TcpLink>>::new()));
    let (links, at, home) = (bed.clone(), peer.cluster_address, folder.clone());
    let count = AtomicUsize::new(0);
    let launch: Launch = Arc::new(move |settings| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let mut text = settings.to_owned();
        for key in ["roster", "store"] {
            let line = text
                .lines()
                .find(|line| line.starts_with(key))
                .ok_or_else(|| "no such key".to_owned())?
                .to_owned();
            let real = line.split('=').nth(1).and_then(|text| text.trim().parse().ok());
            let link = TcpLink::open(link_controller.clone(), "1", key, real).map_err(|e| e.to_string())?;
            text = text.replace(&line, &format!("{key} = {}", link.address));
            links.lock().expect("whole").push(Arc::new(link));
        }
        text += &format!("\n[fleet]\nid = 1\ninstallation = hand\njoin = {at}\n");
        let conf = home.join(format!("day-{number}.ini"));
        std::fs::write(&conf, text).map_err(|e| e.to_string())?;
        let process = ControllerProcess::start(Path::new(BINARY), &conf, &conf.with_extension("log"))
            .map_err(|e| e.to_string())?;
        let door = TcpLink::open(link_controller.clone(), "proxies", "1", Some(process.proxy_address));
        let door = Arc::new(door.map_err(|e| e.to_string())?);
        let (address, fleet) = (door.address, process.cluster_address);
        links.lock().expect("whole").push(door.clone());
        let link_controller = link_controller.clone();
        // The first process alone is troubled; the day itself kills it.
        let troubles = (number == 0).then(|| {
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs(3));
                link_controller.set_both("1", "roster", Faults { cut: true, ..Faults::default() });
                let reset = door.reset();
                send_invalid_datagrams(fleet, "hand", 100_000);
                std::thread::sleep(Duration::from_millis(1500));
                link_controller.set_both("1", "roster", Faults::default());
                let held = link_controller
                    .counts()
                    .into_iter()
                    .filter(|((from, to), _)| from == "roster" || to == "roster");
                assert!(held.map(|(_, counts)| counts.cut).sum::<u64>() > 0, "the list's words were held");
                assert!(reset > 0, "there were streams to reset");
            })
        });
        let kill = Box::new(move || {
            process.kill();
            troubles.into_iter().for_each(|thread| thread.join().expect("the troubles were caused"));
        });
        Ok(Launched { address, fleet: None, process: None, pause: None, kill })
    });
    let day = format!("{}/../../days/short.ini", env!("CARGO_MANIFEST_DIR"));
    let day = railhub_scenario::Scenario::open(Path::new(&day)).expect("a good day");
    let played = railhub_scenario::play(&day, Some(launch), None, None, &|_| {}).expect("it plays");
    let rules = railhub_invariants::check(&played.events).expect("a record");
    let limits = railhub_invariants::limits(&played.events).expect("limits");
    let served = railhub_scenario::report::service(&played.events, limits);
    assert!(
        rules.iter().all(|verdict| verdict.kept),
        "seed {}: {rules:#?}, logs: {}",
        day.seed,
        folder.display()
    );
    assert!(served.overall > 0.8, "seed {}: {served:?}, logs: {}", day.seed, folder.display());
    // The steward of the day was ended outright: the two that are left know.
    let dead = |told: &Value| told["agree"] == true && told["views"][0]["lines"][0]["standing"] == "dead";
    wait_for_view(&conf, peer.cluster_address, "the day's steward is gone", dead);
    let _ = std::fs::remove_dir_all(folder);
}
