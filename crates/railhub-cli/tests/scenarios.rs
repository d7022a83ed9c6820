//! Short days through the real binary: a steward of its own that is killed outright, rules judged from the
//! record, sabotaged runs, and what the command line says of mistakes.
use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

fn scenario_path(name: &str) -> String {
    format!("{}/../../days/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn railhub(arguments: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_railhub");
    Command::new(binary).args(arguments).output().expect("the binary runs")
}

fn temporary_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("railhub-test-{}-{name}", std::process::id()))
}

fn broken_rules(rules: &Value) -> Vec<u64> {
    let all = rules.as_array().expect("verdicts");
    assert_eq!(all.len(), 5);
    all.iter().filter(|v| v["kept"] == false).filter_map(|v| v["rule"].as_u64()).collect()
}

fn assert_sabotage_found(rule: u64) {
    let how = format!("rule-{rule}");
    let out = railhub(&[
        "day",
        &scenario_path("short.ini"),
        "--no-fixed",
        "--json",
        "--log",
        "off",
        "--sabotage",
        &how,
    ]);
    assert_eq!(out.status.code(), Some(3), "{}", String::from_utf8_lossy(&out.stderr));
    let report: Value = serde_json::from_slice(&out.stdout).expect("one JSON object");
    assert_eq!(broken_rules(&report["rules"]), [rule], "{}", report["rules"]);
}

#[test]
fn finds_lost_table_entries() {
    assert_sabotage_found(1);
}

#[test]
fn finds_unconditional_retries() {
    assert_sabotage_found(2);
}

#[test]
fn finds_traffic_to_draining_hosts() {
    assert_sabotage_found(3);
}

#[test]
fn finds_overloaded_cold_hosts() {
    assert_sabotage_found(4);
}

#[test]
fn finds_excess_messages() {
    assert_sabotage_found(5);
}

#[test]
fn short_scenario_keeps_all_rules_and_check_agrees() {
    let record = temporary_path("record");
    let path = record.to_str().expect("plain");
    let out = railhub(&["day", &scenario_path("short.ini"), "--json", "--log", "off", "--record", path]);
    assert_eq!(out.status.code(), Some(0), "{}", String::from_utf8_lossy(&out.stdout));
    let report: Value = serde_json::from_slice(&out.stdout).expect("one JSON object");
    assert_eq!(report["rules_kept"], true);
    let looked = |rule: usize| report["rules"][rule]["checked"].as_u64().unwrap_or_default();
    assert!((0..5).all(|rule| looked(rule) > 0), "each rule had something to look at: {report}");
    assert!(report["service"]["whole"].as_f64().expect("a figure") > 0.8, "{report}");
    let again = railhub(&["check", path, "--json"]);
    assert_eq!(again.status.code(), Some(0));
    let rules: Value = serde_json::from_slice(&again.stdout).expect("verdicts");
    assert_eq!(rules, report["rules"]);
    // A damaged record is told, not judged.
    let mut bytes = std::fs::read(&record).expect("there");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    std::fs::write(&record, bytes).expect("writable");
    let damaged = railhub(&["check", path]);
    std::fs::remove_file(&record).expect("there");
    assert_eq!(damaged.status.code(), Some(2));
}

#[test]
fn scenario_with_weights_keeps_all_rules() {
    let out = railhub(&["day", &scenario_path("short-weights.ini"), "--json", "--no-fixed", "--log", "off"]);
    assert_eq!(out.status.code(), Some(0), "{}", String::from_utf8_lossy(&out.stdout));
}

#[test]
fn invalid_scenario_exits_with_2_and_names_file_and_line() {
    let file = temporary_path("bad.ini");
    let text = std::fs::read_to_string(scenario_path("short.ini")).expect("there");
    std::fs::write(&file, text.replace("kind = deploy", "kind = redeploy")).expect("writable");
    let out = railhub(&["day", file.to_str().expect("plain")]);
    assert_eq!(out.status.code(), Some(2));
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(said.lines().count(), 1);
    assert!(said.contains("bad.ini:66: [trouble deploy] kind 'redeploy' is not known"), "{said}");
    assert_eq!(railhub(&["conf", "check", file.to_str().expect("plain")]).status.code(), Some(2));
    std::fs::remove_file(&file).expect("there");
    assert_eq!(railhub(&["conf", "check", &scenario_path("first-bad-day.ini")]).status.code(), Some(0));
    assert_eq!(railhub(&["day"]).status.code(), Some(2));
    assert_eq!(railhub(&["check", "/nowhere"]).status.code(), Some(2));
}

#[test]
fn connections_are_accepted_again_after_descriptors_ran_out() {
    let conf = temporary_path("handles.ini");
    let text = "[steward]\nroster = 127.0.0.1:9\n[limits]\nfirst_within = 60\n[class a]\ncontract_time = 1\n";
    std::fs::write(&conf, text).expect("writable");
    let binary = env!("CARGO_BIN_EXE_railhub");
    let mut child = Command::new("sh")
        .arg("-c")
        .arg("ulimit -n 60; exec \"$0\" steward --until-stdin-ends --log off --conf \"$1\"")
        .args([binary, conf.to_str().expect("plain")])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut line = String::new();
    let out = child.stdout.take().expect("piped");
    BufReader::new(out).read_line(&mut line).expect("it says where it listens");
    let address: Value = serde_json::from_str(&line).expect("JSON");
    let address = address["listening"].as_str().expect("an address").to_owned();
    // More connections than it has handles for; it lives on.
    let many: Vec<TcpStream> = (0..100).filter_map(|_| TcpStream::connect(&address).ok()).collect();
    assert!(many.len() > 60);
    std::thread::sleep(Duration::from_millis(500));
    assert!(child.try_wait().expect("a child").is_none(), "it ended");
    drop(many);
    std::thread::sleep(Duration::from_millis(500));
    // A stream that says nonsense is answered with a goodbye: it was taken.
    let mut late = TcpStream::connect(&address).expect("it still listens");
    std::io::Write::write_all(&mut late, &[0, 0, 0, 0]).expect("open");
    late.set_read_timeout(Some(Duration::from_secs(10))).expect("open");
    let mut answer = Vec::new();
    let _ = late.read_to_end(&mut answer);
    assert!(!answer.is_empty(), "the newcomer was taken in");
    drop(child.stdin.take());
    let _ = child.wait();
    std::fs::remove_file(&conf).expect("there");
}
