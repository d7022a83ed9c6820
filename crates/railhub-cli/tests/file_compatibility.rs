//! Files that the build before the renaming of types, fields and packages wrote are still read, and the same is said
//! of them. `fixtures/before_renames` holds a scenario, the recording of one run of it, the traffic taken from that
//! recording, and what `check`, `report` and `traffic show` printed.
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/before_renames").join(name)
}

fn railhub(arguments: &[&str], file: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_railhub"));
    command.args(arguments).arg(fixture(file));
    command.output().expect("the binary runs")
}

fn json_output(arguments: &[&str], file: &str) -> Value {
    let output = railhub(arguments, file);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("one JSON value")
}

fn earlier_output(file: &str) -> Value {
    let text = std::fs::read(fixture(file)).expect("a fixture");
    serde_json::from_slice(&text).expect("JSON")
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
        // The name of the file as it was given on the command line.
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
    let taken = std::env::temp_dir().join(format!("railhub-earlier-{}.traffic", std::process::id()));
    let arguments = ["traffic", "record", "-o", taken.to_str().expect("a plain path")];
    assert!(railhub(&arguments, "recording.rec").status.success());
    let bytes = std::fs::read(&taken).expect("written by the command");
    let _ = std::fs::remove_file(&taken);
    assert_eq!(bytes, std::fs::read(fixture("operations.traffic")).expect("a fixture"));
}

#[test]
fn earlier_scenario_file_is_accepted() {
    let output = railhub(&["conf", "check"], "scenario.ini");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}
