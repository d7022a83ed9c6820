//! Commands that need no sockets, run as processes: their output and their exit codes.
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};

/// A path relative to the workspace root.
fn workspace_path(name: &str) -> String {
    format!("{}/../../{name}", env!("CARGO_MANIFEST_DIR"))
}

fn railhub(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_railhub")).args(arguments).output().expect("the railhub binary starts")
}

/// The JSON output of a command that succeeds.
fn json_output(arguments: &[&str]) -> Value {
    let output = railhub(arguments);
    assert!(output.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("standard output is one JSON object")
}

/// A temporary folder for one test.
fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("railhub-commands-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder is writable");
    folder
}

fn path_text(path: &std::path::Path) -> &str {
    path.to_str().expect("the path is UTF-8")
}

#[test]
fn traffic_commands_extract_show_cut_scale_and_replay_a_run() {
    let folder = temporary_folder("traffic");
    let (recording, whole, part, scaled) =
        (folder.join("a.rec"), folder.join("a.traffic"), folder.join("b.traffic"), folder.join("c.traffic"));
    let original = json_output(&[
        "model",
        &workspace_path("days/short.ini"),
        "--no-fixed",
        "--json",
        "--record",
        path_text(&recording),
    ]);
    run_without_output(&["traffic", "record", path_text(&recording), "-o", path_text(&whole)]);
    let shown = json_output(&["traffic", "show", path_text(&whole), "--json"]);
    assert_eq!(shown["operations"], original["service"]["operations"]);
    run_without_output(&[
        "traffic",
        "cut",
        path_text(&whole),
        "--from",
        "2",
        "--until",
        "7",
        "--zone",
        "north",
        "-o",
        path_text(&part),
    ]);
    run_without_output(&["traffic", "scale", path_text(&part), "--times", "2", "-o", path_text(&scaled)]);
    let operations = |path: &PathBuf| {
        json_output(&["traffic", "show", path_text(path), "--json"])["operations"]
            .as_u64()
            .expect("operations is a number")
    };
    assert_eq!(operations(&scaled), 2 * operations(&part));
    assert!(json_output(&["traffic", "fit", path_text(&whole), "--json"])["work"][0]["candidates"][0]
        ["fits"]
        .is_boolean());
    let scenario =
        std::fs::read_to_string(workspace_path("days/short.ini")).expect("the scenario file is readable");
    let replay_file = folder.join("again.ini");
    std::fs::write(&replay_file, scenario.replace("share = 0.35\n", "traffic = a.traffic\n"))
        .expect("the temporary folder is writable");
    let replayed = json_output(&["model", path_text(&replay_file), "--no-fixed", "--json"]);
    assert_eq!(replayed["service"]["operations"], original["service"]["operations"]);
    std::fs::remove_dir_all(folder).expect("the temporary folder can be removed");
}

/// Runs a command that prints nothing on success.
fn run_without_output(arguments: &[&str]) {
    let output = railhub(arguments);
    assert!(
        output.status.success() && output.stdout.is_empty(),
        "{arguments:?}: {}",
        String::from_utf8_lossy(&output.stderr)
    );
}

#[test]
fn recordings_are_reported_and_watched_even_if_truncated() {
    let folder = temporary_folder("report");
    let (recording, truncated) = (folder.join("a.rec"), folder.join("cut.rec"));
    railhub(&[
        "model",
        &workspace_path("days/one-hot-key.ini"),
        "--policy",
        "fixed",
        "--no-fixed",
        "--record",
        path_text(&recording),
    ]);
    let report = json_output(&["report", path_text(&recording), "--json"]);
    let preceding_event =
        report["changes"][0]["just_before"][1].as_str().expect("the change has a preceding event");
    assert_eq!(preceding_event, "one key (hot_key) begins");
    let frame = railhub(&["watch", path_text(&recording), "--once", "--at", "20"]);
    assert!(String::from_utf8_lossy(&frame.stdout).contains("on: one key (hot_key)"));
    let bytes = std::fs::read(&recording).expect("the recording is readable");
    std::fs::write(&truncated, &bytes[..bytes.len() / 2 + 3]).expect("the temporary folder is writable");
    let reported = railhub(&["report", path_text(&truncated), "--json"]);
    assert!(reported.status.success() && String::from_utf8_lossy(&reported.stderr).contains("cut off"));
    let checked = railhub(&["check", path_text(&truncated)]);
    assert_eq!(checked.status.code(), Some(2), "expected no verdicts for a truncated recording");
    std::fs::remove_dir_all(folder).expect("the temporary folder can be removed");
}

#[test]
fn chaos_exits_with_0_without_violations_and_with_3_after_one() {
    let file = workspace_path("chaos/three.ini");
    assert_eq!(json_output(&["chaos", &file, "--runs", "4", "--json"])["failed"], 0);
    let output = railhub(&["chaos", &file, "--runs", "20", "--sabotage", "epoch-reused", "--json"]);
    assert_eq!(output.status.code(), Some(3));
    let report: Value = serde_json::from_slice(&output.stdout).expect("standard output is one JSON object");
    assert_eq!(report["first"]["breaches"][0]["rule"], "one steward a slice and epoch");
}

#[test]
fn invalid_input_is_reported_in_one_line_with_exit_code_2() {
    let error_line = |arguments: &[&str]| {
        let output = railhub(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        stderr
    };
    let scenario = workspace_path("days/short.ini");
    assert!(error_line(&["traffic", "show", &scenario]).contains("not recorded traffic"));
    assert!(error_line(&["watch", &scenario, "--once"]).contains("not a record of this version"));
    assert!(error_line(&["chaos", &scenario]).contains("[day] is not known"));
    assert!(error_line(&["compare", &scenario]).contains("[day] is not known"));
}

#[test]
fn earlier_command_names_stay_as_aliases() {
    for (alias, name) in [("steward", "controller"), ("day", "scenario")] {
        let (by_alias, by_name) = (railhub(&[alias, "--help"]), railhub(&[name, "--help"]));
        assert_eq!(by_alias.status.code(), Some(0));
        assert_eq!(by_name.status.code(), Some(0));
        assert_eq!(by_alias.stdout, by_name.stdout);
    }
}
