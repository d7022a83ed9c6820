//! Short scenarios played by the railhub binary: a controller process that is killed, rules judged from the recording,
//! sabotaged runs, and the error messages for invalid input.
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
    Command::new(binary).args(arguments).output().expect("the railhub binary starts")
}

fn temporary_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("railhub-test-{}-{name}", std::process::id()))
}

fn broken_rules(verdicts: &Value) -> Vec<u64> {
    let all = verdicts.as_array().expect("the verdicts are an array");
    assert_eq!(all.len(), 5);
    all.iter()
        .filter(|verdict| verdict["kept"] == false)
        .filter_map(|verdict| verdict["rule"].as_u64())
        .collect()
}

/// Plays a scenario with the sabotage that breaks one rule, and asserts that this rule and no other is reported broken.
fn assert_sabotage_found(rule: u64) {
    let sabotage = format!("rule-{rule}");
    let output = railhub(&[
        "day",
        &scenario_path("short.ini"),
        "--no-fixed",
        "--json",
        "--log",
        "off",
        "--sabotage",
        &sabotage,
    ]);
    assert_eq!(output.status.code(), Some(3), "{}", String::from_utf8_lossy(&output.stderr));
    let report: Value = serde_json::from_slice(&output.stdout).expect("standard output is one JSON object");
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
    let recording = temporary_path("record");
    let path = recording.to_str().expect("the path is UTF-8");
    let output = railhub(&["day", &scenario_path("short.ini"), "--json", "--log", "off", "--record", path]);
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stdout));
    let report: Value = serde_json::from_slice(&output.stdout).expect("standard output is one JSON object");
    assert_eq!(report["rules_kept"], true);
    let checked = |rule: usize| report["rules"][rule]["checked"].as_u64().unwrap_or_default();
    assert!((0..5).all(|rule| checked(rule) > 0), "a rule checked nothing: {report}");
    assert!(report["service"]["whole"].as_f64().expect("the service is a number") > 0.8, "{report}");
    let check = railhub(&["check", path, "--json"]);
    assert_eq!(check.status.code(), Some(0));
    let rules: Value = serde_json::from_slice(&check.stdout).expect("the verdicts are JSON");
    assert_eq!(rules, report["rules"]);
    // A damaged recording is reported as an error and gets no verdicts.
    let mut bytes = std::fs::read(&recording).expect("the recording is readable");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    std::fs::write(&recording, bytes).expect("the temporary folder is writable");
    let damaged = railhub(&["check", path]);
    std::fs::remove_file(&recording).expect("the recording can be removed");
    assert_eq!(damaged.status.code(), Some(2));
}

#[test]
fn scenario_with_weights_keeps_all_rules() {
    let output =
        railhub(&["day", &scenario_path("short-weights.ini"), "--json", "--no-fixed", "--log", "off"]);
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stdout));
}

#[test]
fn invalid_scenario_exits_with_2_and_names_file_and_line() {
    let file = temporary_path("bad.ini");
    let text = std::fs::read_to_string(scenario_path("short.ini")).expect("the scenario file is readable");
    std::fs::write(&file, text.replace("kind = deploy", "kind = redeploy"))
        .expect("the temporary folder is writable");
    let output = railhub(&["day", file.to_str().expect("the path is UTF-8")]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(stderr.lines().count(), 1);
    assert!(stderr.contains("bad.ini:66: [trouble deploy] kind 'redeploy' is not known"), "{stderr}");
    let check = railhub(&["conf", "check", file.to_str().expect("the path is UTF-8")]);
    assert_eq!(check.status.code(), Some(2));
    std::fs::remove_file(&file).expect("the scenario file can be removed");
    assert_eq!(railhub(&["conf", "check", &scenario_path("first-bad-day.ini")]).status.code(), Some(0));
    assert_eq!(railhub(&["day"]).status.code(), Some(2));
    assert_eq!(railhub(&["check", "/nowhere"]).status.code(), Some(2));
}

#[test]
fn connections_are_accepted_again_after_descriptors_ran_out() {
    let conf = temporary_path("handles.ini");
    let text = "[steward]\nroster = 127.0.0.1:9\n[limits]\nfirst_within = 60\n[class a]\ncontract_time = 1\n";
    std::fs::write(&conf, text).expect("the temporary folder is writable");
    let binary = env!("CARGO_BIN_EXE_railhub");
    let mut child = Command::new("sh")
        .arg("-c")
        .arg("ulimit -n 60; exec \"$0\" steward --until-stdin-ends --log off --conf \"$1\"")
        .args([binary, conf.to_str().expect("the path is UTF-8")])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the shell starts");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("standard output is piped");
    BufReader::new(stdout).read_line(&mut line).expect("the controller prints its address");
    let address: Value = serde_json::from_str(&line).expect("the line is JSON");
    let address = address["listening"].as_str().expect("the address is a string").to_owned();
    // More connections than the controller has descriptors for; it must keep running.
    let crowd: Vec<TcpStream> = (0..100).filter_map(|_| TcpStream::connect(&address).ok()).collect();
    assert!(crowd.len() > 60);
    std::thread::sleep(Duration::from_millis(500));
    let exit_status = child.try_wait().expect("the child process can be polled");
    assert!(exit_status.is_none(), "the controller exited");
    drop(crowd);
    std::thread::sleep(Duration::from_millis(500));
    // An invalid message gets a closing message in response, which shows that the connection was accepted.
    let mut late = TcpStream::connect(&address).expect("the controller still listens");
    std::io::Write::write_all(&mut late, &[0, 0, 0, 0]).expect("the connection is open");
    late.set_read_timeout(Some(Duration::from_secs(10))).expect("timeout is set");
    let mut response = Vec::new();
    let _ = late.read_to_end(&mut response);
    assert!(!response.is_empty(), "no response on a connection opened after descriptors were free again");
    drop(child.stdin.take());
    let _ = child.wait();
    std::fs::remove_file(&conf).expect("the configuration file can be removed");
}
