//! Commands that need no sockets, through the real binary: what they print, and how they end.
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};

fn workspace_path(name: &str) -> String {
    format!("{}/../../{name}", env!("CARGO_MANIFEST_DIR"))
}

fn railhub(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_railhub")).args(arguments).output().expect("the binary runs")
}

fn json_output(arguments: &[&str]) -> Value {
    let out = railhub(arguments);
    assert!(out.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&out.stderr));
    serde_json::from_slice(&out.stdout).expect("one JSON object")
}

/// A folder of its own for each test.
fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("railhub-commands-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("writable");
    folder
}

fn text(path: &std::path::Path) -> &str {
    path.to_str().expect("plain")
}

#[test]
fn traffic_commands_extract_show_cut_scale_and_replay_a_run() {
    let folder = temporary_folder("traffic");
    let (record, whole, part, more) =
        (folder.join("a.rec"), folder.join("a.traffic"), folder.join("b.traffic"), folder.join("c.traffic"));
    let first = json_output(&[
        "model",
        &workspace_path("days/short.ini"),
        "--no-fixed",
        "--json",
        "--record",
        text(&record),
    ]);
    run_without_output(&["traffic", "record", text(&record), "-o", text(&whole)]);
    let shown = json_output(&["traffic", "show", text(&whole), "--json"]);
    assert_eq!(shown["operations"], first["service"]["operations"]);
    run_without_output(&[
        "traffic",
        "cut",
        text(&whole),
        "--from",
        "2",
        "--until",
        "7",
        "--zone",
        "north",
        "-o",
        text(&part),
    ]);
    run_without_output(&["traffic", "scale", text(&part), "--times", "2", "-o", text(&more)]);
    let count = |path: &PathBuf| {
        json_output(&["traffic", "show", text(path), "--json"])["operations"].as_u64().expect("a count")
    };
    assert_eq!(count(&more), 2 * count(&part));
    assert!(json_output(&["traffic", "fit", text(&whole), "--json"])["work"][0]["candidates"][0]["fits"]
        .is_boolean());
    let day = std::fs::read_to_string(workspace_path("days/short.ini")).expect("ours");
    let again = folder.join("again.ini");
    std::fs::write(&again, day.replace("share = 0.35\n", "traffic = a.traffic\n")).expect("writable");
    let second = json_output(&["model", text(&again), "--no-fixed", "--json"]);
    assert_eq!(second["service"]["operations"], first["service"]["operations"]);
    std::fs::remove_dir_all(folder).expect("ours");
}

/// A command that says nothing when all is well.
fn run_without_output(arguments: &[&str]) {
    let out = railhub(arguments);
    assert!(
        out.status.success() && out.stdout.is_empty(),
        "{arguments:?}: {}",
        String::from_utf8_lossy(&out.stderr)
    );
}

#[test]
fn recordings_are_reported_and_watched_even_if_truncated() {
    let folder = temporary_folder("report");
    let (record, cut) = (folder.join("a.rec"), folder.join("cut.rec"));
    railhub(&[
        "model",
        &workspace_path("days/one-hot-key.ini"),
        "--policy",
        "fixed",
        "--no-fixed",
        "--record",
        text(&record),
    ]);
    let report = json_output(&["report", text(&record), "--json"]);
    let cause = report["changes"][0]["just_before"][1].as_str().expect("a cause");
    assert_eq!(cause, "one key (hot_key) begins");
    let shown = railhub(&["watch", text(&record), "--once", "--at", "20"]);
    assert!(String::from_utf8_lossy(&shown.stdout).contains("on: one key (hot_key)"));
    let bytes = std::fs::read(&record).expect("there");
    std::fs::write(&cut, &bytes[..bytes.len() / 2 + 3]).expect("writable");
    let out = railhub(&["report", text(&cut), "--json"]);
    assert!(out.status.success() && String::from_utf8_lossy(&out.stderr).contains("cut off"));
    let checked = railhub(&["check", text(&cut)]);
    assert_eq!(checked.status.code(), Some(2), "verdicts on half a run are not given");
    std::fs::remove_dir_all(folder).expect("ours");
}

#[test]
fn chaos_exits_with_0_without_violations_and_with_3_after_one() {
    let file = workspace_path("chaos/three.ini");
    assert_eq!(json_output(&["chaos", &file, "--runs", "4", "--json"])["failed"], 0);
    let out = railhub(&["chaos", &file, "--runs", "20", "--sabotage", "epoch-reused", "--json"]);
    assert_eq!(out.status.code(), Some(3));
    let told: Value = serde_json::from_slice(&out.stdout).expect("one JSON object");
    assert_eq!(told["first"]["breaches"][0]["rule"], "one steward a slice and epoch");
}

#[test]
fn invalid_input_is_reported_in_one_line_with_exit_code_2() {
    let fault = |arguments: &[&str]| {
        let out = railhub(arguments);
        assert_eq!(out.status.code(), Some(2), "{arguments:?}");
        let words = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(words.lines().count(), 1, "{words}");
        words
    };
    let day = workspace_path("days/short.ini");
    assert!(fault(&["traffic", "show", &day]).contains("not recorded traffic"));
    assert!(fault(&["watch", &day, "--once"]).contains("not a record of this version"));
    assert!(fault(&["chaos", &day]).contains("[day] is not known"));
    assert!(fault(&["compare", &day]).contains("[day] is not known"));
}

#[test]
fn earlier_command_names_stay_as_aliases() {
    for (earlier, now) in [("steward", "controller"), ("day", "scenario")] {
        let (earlier, now) = (railhub(&[earlier, "--help"]), railhub(&[now, "--help"]));
        assert_eq!(earlier.status.code(), Some(0));
        assert_eq!(now.status.code(), Some(0));
        assert_eq!(earlier.stdout, now.stdout);
    }
}
