//! Stewards that share slices, as processes: days and drawn faults through the real binary, judged from what crossed the
//! sockets; each sabotage is found. A failing case prints its seed, what broke and where its logs are.
use railhub_chaos::cluster_harness::ControllerProcess;
use railhub_emulator::store::Store;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_railhub");
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

fn workspace_path(name: &str) -> String {
    format!("{}/../../{name}", env!("CARGO_MANIFEST_DIR"))
}

fn railhub(arguments: &[&str]) -> Output {
    Command::new(BINARY).args(arguments).output().expect("the binary runs")
}

fn json_report(out: &Output) -> Value {
    let report = serde_json::from_slice(&out.stdout);
    report.unwrap_or_else(|fault| panic!("{fault}; {}: {}", out.status, String::from_utf8_lossy(&out.stderr)))
}

/// Ten verdicts, each on something that was looked at, all kept.
fn assert_all_rules_kept(file: &str) -> Value {
    let out = railhub(&["day", &workspace_path(file), "--no-fixed", "--json", "--log", "off"]);
    let report = json_report(&out);
    let rules = report["rules"].as_array().expect("verdicts");
    assert_eq!(rules.len(), 10, "{report}");
    assert!(
        rules.iter().all(|verdict| verdict["kept"] == true),
        "{file}, seed {}: {rules:#?}",
        report["seed"]
    );
    assert!(rules[5..].iter().all(|verdict| verdict["checked"].as_u64() > Some(20)), "{rules:#?}");
    report
}

#[test]
fn two_controllers_keep_all_rules_through_a_pause_and_a_crash() {
    let report = assert_all_rules_kept("days/two-stewards.ini");
    assert!(report["service"]["whole"].as_f64() > Some(0.9), "{report}");
}

#[test]
fn three_controllers_keep_all_rules_and_serve() {
    let report = assert_all_rules_kept("days/three-stewards.ini");
    assert!(report["service"]["whole"].as_f64() > Some(0.9), "{report}");
}

/// Plays a file's faults on processes.
fn run_chaos(file: &str, more: &[&str]) -> Value {
    let file = workspace_path(file);
    let all = [&["chaos", &file, "--loopback", "--json", "--log", "off"], more].concat();
    let told = json_report(&railhub(&all));
    assert_eq!(told["not_played"].as_array().map_or(0, Vec::len), 0, "{told}");
    told
}

#[test]
fn takeovers_keep_all_rules() {
    let told = run_chaos("chaos/takeovers.ini", &[]);
    assert_eq!(told["failed"], 0, "{told:#}");
}

#[test]
fn store_faults_break_no_rule() {
    let told = run_chaos("chaos/store-troubles.ini", &[]);
    assert_eq!(told["failed"], 0, "{told:#}");
}

/// The sabotage is found by one of these rules.
fn assert_sabotage_found(file: &str, sabotage: &str, rules: &[u64]) {
    let told = run_chaos(file, &["--sabotage", sabotage]);
    let broken = told["first"]["rules"].as_array().cloned().unwrap_or_default();
    let broken: Vec<u64> = broken.iter().filter_map(|verdict| verdict["rule"].as_u64()).collect();
    assert!(broken.iter().any(|rule| rules.contains(rule)), "{sabotage}: {told:#}");
    if let Some(folder) = told["first"]["folder"].as_str() {
        let _ = std::fs::remove_dir_all(folder);
    }
}

#[test]
fn finds_proxies_that_accept_old_epochs() {
    assert_sabotage_found("chaos/takeovers.ini", "no-fence", &[7]);
}

#[test]
fn finds_controllers_that_act_on_expired_leases() {
    assert_sabotage_found("chaos/takeovers.ini", "lease-overrun", &[8]);
}

#[test]
fn finds_reused_epochs() {
    assert_sabotage_found("chaos/takeovers.ini", "epoch-reused", &[6, 9]);
}

#[test]
fn finds_a_store_that_accepts_any_table() {
    assert_sabotage_found("chaos/store-troubles.ini", "unchecked-writes", &[9]);
}

fn test_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("railhub-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("writable");
    folder
}

/// A steward that shares forty slices, and its settings.
fn start_controller(folder: &Path, id: u16, store: &Store, join: &str) -> (ControllerProcess, String) {
    let text = format!(
        "[steward]\nlisten = 127.0.0.1:0\nroster = 127.0.0.1:1\nstore = {}\nslices = 40\n\n[class any]\n\
         contract_time = 1\n\n[fleet]\nid = {id}\ninstallation = shares\nshare = yes\nlease = 2\n{join}",
        store.address
    );
    let conf = folder.join(format!("{id}.ini"));
    std::fs::write(&conf, text).expect("writable");
    let process = ControllerProcess::start(Path::new(BINARY), &conf, &conf.with_extension("log"));
    (process.unwrap_or_else(|what| panic!("{what}")), conf.to_str().expect("plain").to_owned())
}

/// Which processes hold slices, by the store's word, once that is as wanted.
fn wait_for_holders(conf: &str, what: &str, wanted: impl Fn(&BTreeSet<u64>, usize) -> bool) -> BTreeSet<u64> {
    let until = Instant::now() + EVENT_TIMEOUT;
    loop {
        let told = json_report(&railhub(&["fleet", "slices", "--json", "--log", "off", "--conf", conf]));
        let held = told.as_array().cloned().unwrap_or_default();
        let held: Vec<u64> = held.iter().filter_map(|one| one["process"].as_u64()).collect();
        let by: BTreeSet<u64> = held.iter().copied().collect();
        if wanted(&by, held.len()) {
            return by;
        }
        assert!(Instant::now() < until, "{what}: {told}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn drained_and_leaving_controllers_hand_over_all_slices() {
    railhub_net::start_runtime();
    let folder = test_folder("drain");
    let tables = (0..40).map(|slice| (slice, vec![("127.0.0.1:9".parse().expect("an address"), 1.0)]));
    let store = Store::open(tables.collect()).expect("loopback");
    let (one, conf) = start_controller(&folder, 1, &store, "");
    let (two, _) = start_controller(&folder, 2, &store, &format!("join = {}\n", one.cluster_address));
    let (first, second) = (one.number.expect("in a fleet"), two.number.expect("in a fleet"));
    wait_for_holders(&conf, "both have some of the forty", |by, held| by.len() == 2 && held == 40);
    let at = one.cluster_address.to_string();
    let out = railhub(&["fleet", "drain", "2", "--conf", &conf, "--at", &at, "--log", "off"]);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let by = wait_for_holders(&conf, "the first has all", |by, held| by.len() == 1 && held == 40);
    assert_eq!(by, BTreeSet::from([first]));
    let (three, _) = start_controller(&folder, 3, &store, &format!("join = {}\n", one.cluster_address));
    let third = three.number.expect("in a fleet");
    wait_for_holders(&conf, "the third has some", |by, held| by.contains(&third) && held == 40);
    // It is told to go, and leaves nothing behind that has to run out.
    three.leave();
    let by = wait_for_holders(&conf, "the first has all again", |by, held| by.len() == 1 && held == 40);
    assert!(by.contains(&first) && !by.contains(&second));
    drop(two);
    let _ = std::fs::remove_dir_all(folder);
}
