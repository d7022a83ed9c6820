//! Files written before types, fields and packages were renamed are still read, with the same results.
//! `fixtures/before_renames` holds a scenario, the recording of one run of it, the traffic extracted from that
//! recording, and the output of `check`, `report` and `traffic show`, all written by the earlier build.
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/before_renames").join(name)
}

fn railhub(arguments: &[&str], file: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_railhub"));
    command.args(arguments).arg(fixture(file));
    command.output().expect("the railhub binary starts")
}

fn json_output(arguments: &[&str], file: &str) -> Value {
    let output = railhub(arguments, file);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("standard output is one JSON value")
}

fn earlier_output(file: &str) -> Value {
    let text = std::fs::read(fixture(file)).expect("the fixture is readable");
    serde_json::from_slice(&text).expect("the fixture is JSON")
}

#[test]
fn earlier_recording_gets_the_same_verdicts() {
    assert_eq!(json_output(&["check", "--json"], "recording.rec"), earlier_output("check.json"));
}

#[test]
fn earlier_recording_gets_the_same_report() {
    let mut report = json_output(&["report", "--json"], "recording.rec");
    let mut earlier = earlier_output("report.json");
    for value in [&mut report, &mut earlier] {
        // Holds the path from the command line, which differs.
        value["day"].take();
    }
    assert_eq!(report, earlier);
}

#[test]
fn earlier_traffic_file_is_shown_the_same() {
    assert_eq!(
        json_output(&["traffic", "show", "--json"], "operations.traffic"),
        earlier_output("show.json")
    );
}

#[test]
fn traffic_of_an_earlier_recording_has_the_same_bytes() {
    let extracted = std::env::temp_dir().join(format!("railhub-earlier-{}.traffic", std::process::id()));
    let arguments = ["traffic", "record", "-o", extracted.to_str().expect("the path is UTF-8")];
    assert!(railhub(&arguments, "recording.rec").status.success());
    let bytes = std::fs::read(&extracted).expect("the command wrote the file");
    let _ = std::fs::remove_file(&extracted);
    assert_eq!(bytes, std::fs::read(fixture("operations.traffic")).expect("the fixture is readable"));
}

#[test]
fn earlier_scenario_file_is_accepted() {
    let output = railhub(&["conf", "check"], "scenario.ini");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}
