//! Controller processes that share slices, in scenarios and under faults drawn from seeds. Runs are judged from what
//! crossed the sockets, and each sabotage must be found. A failing case prints its seed, the violations and the folder
//! of its logs.
use railhub_chaos::cluster_harness::ControllerProcess;
use railhub_emulator::store::Store;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

const BINARY: &str = env!("CARGO_BIN_EXE_railhub");
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// A path relative to the workspace root.
fn workspace_path(name: &str) -> String {
    format!("{}/../../{name}", env!("CARGO_MANIFEST_DIR"))
}

fn railhub(arguments: &[&str]) -> Output {
    Command::new(BINARY).args(arguments).output().expect("the railhub binary starts")
}

/// The JSON that a command printed.
fn json_report(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|error| {
        panic!(
            "standard output is not JSON: {error}; {}: {}",
            output.status,
            String::from_utf8_lossy(&output.stderr)
        )
    })
}

/// Plays a scenario, and asserts that all ten rules are kept and that each of the last five was checked often.
fn assert_all_rules_kept(file: &str) -> Value {
    let output = railhub(&["day", &workspace_path(file), "--no-fixed", "--json", "--log", "off"]);
    let report = json_report(&output);
    let rules = report["rules"].as_array().expect("the verdicts are an array");
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

/// Applies the faults of a file to controller processes.
fn run_chaos(file: &str, more_arguments: &[&str]) -> Value {
    let file = workspace_path(file);
    let arguments = [&["chaos", &file, "--loopback", "--json", "--log", "off"], more_arguments].concat();
    let report = json_report(&railhub(&arguments));
    assert_eq!(report["not_played"].as_array().map_or(0, Vec::len), 0, "{report}");
    report
}

#[test]
fn takeovers_keep_all_rules() {
    let report = run_chaos("chaos/takeovers.ini", &[]);
    assert_eq!(report["failed"], 0, "{report:#}");
}

/// The store is out of one controller's reach, loses responses, is unavailable, and rolls back; one controller crashes.
#[test]
fn store_faults_break_no_rule() {
    let report = run_chaos("chaos/store-troubles.ini", &[]);
    assert_eq!(report["failed"], 0, "{report:#}");
}

/// Plays a file's faults with a sabotage, and asserts that one of these rules is reported broken.
fn assert_sabotage_found(file: &str, sabotage: &str, rules: &[u64]) {
    let report = run_chaos(file, &["--sabotage", sabotage]);
    let broken = report["first"]["rules"].as_array().cloned().unwrap_or_default();
    let broken: Vec<u64> = broken.iter().filter_map(|verdict| verdict["rule"].as_u64()).collect();
    assert!(broken.iter().any(|rule| rules.contains(rule)), "{sabotage}: {report:#}");
    if let Some(folder) = report["first"]["folder"].as_str() {
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
    std::fs::create_dir_all(&folder).expect("the temporary folder is writable");
    folder
}

/// A controller that shares forty slices with others, and the path of its settings.
fn start_controller(folder: &Path, id: u16, store: &Store, join: &str) -> (ControllerProcess, String) {
    let text = format!(
        "[steward]\nlisten = 127.0.0.1:0\nroster = 127.0.0.1:1\nstore = {}\nslices = 40\n\n[class any]\n\
         contract_time = 1\n\n[fleet]\nid = {id}\ninstallation = shares\nshare = yes\nlease = 2\n{join}",
        store.address
    );
    let conf = folder.join(format!("{id}.ini"));
    std::fs::write(&conf, text).expect("the temporary folder is writable");
    let process = ControllerProcess::start(Path::new(BINARY), &conf, &conf.with_extension("log"));
    let path = conf.to_str().expect("the path is UTF-8").to_owned();
    (process.unwrap_or_else(|error| panic!("{error}")), path)
}

/// Polls the leases in the store until their holders (process numbers) and their count meet a condition; returns the
/// holders. Fails the test after [`EVENT_TIMEOUT`].
fn wait_for_holders(
    conf: &str,
    what: &str,
    condition: impl Fn(&BTreeSet<u64>, usize) -> bool,
) -> BTreeSet<u64> {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    loop {
        let report = json_report(&railhub(&["fleet", "slices", "--json", "--log", "off", "--conf", conf]));
        let leases = report.as_array().cloned().unwrap_or_default();
        let processes: Vec<u64> = leases.iter().filter_map(|lease| lease["process"].as_u64()).collect();
        let holders: BTreeSet<u64> = processes.iter().copied().collect();
        if condition(&holders, processes.len()) {
            return holders;
        }
        assert!(Instant::now() < deadline, "timed out waiting until {what}: {report}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn drained_and_leaving_controllers_hand_over_all_slices() {
    railhub_net::start_runtime();
    let folder = test_folder("drain");
    let tables =
        (0..40).map(|slice| (slice, vec![("127.0.0.1:9".parse().expect("the address is valid"), 1.0)]));
    let store = Store::open(tables.collect()).expect("the store listens on loopback");
    let (first, conf) = start_controller(&folder, 1, &store, "");
    let join = format!("join = {}\n", first.cluster_address);
    let (second, _) = start_controller(&folder, 2, &store, &join);
    let first_number = first.number.expect("a member has a process number");
    let second_number = second.number.expect("a member has a process number");
    wait_for_holders(&conf, "both hold some of the forty slices", |holders, count| {
        holders.len() == 2 && count == 40
    });
    let at = first.cluster_address.to_string();
    let output = railhub(&["fleet", "drain", "2", "--conf", &conf, "--at", &at, "--log", "off"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let holders =
        wait_for_holders(&conf, "one holds all slices", |holders, count| holders.len() == 1 && count == 40);
    assert_eq!(holders, BTreeSet::from([first_number]));
    let (third, _) = start_controller(&folder, 3, &store, &join);
    let third_number = third.number.expect("a member has a process number");
    wait_for_holders(&conf, "the third holds some slices", |holders, count| {
        holders.contains(&third_number) && count == 40
    });
    // A controller that leaves gives its leases up, so none has to expire.
    third.leave();
    let holders = wait_for_holders(&conf, "one holds all slices again", |holders, count| {
        holders.len() == 1 && count == 40
    });
    assert!(holders.contains(&first_number) && !holders.contains(&second_number));
    drop(second);
    let _ = std::fs::remove_dir_all(folder);
}
