//! A record as it is shown: finished, at a moment of it, and while it grows.
use railhub_dashboard::recording_reader::RecordingReader;
use railhub_dashboard::render_once;
use railhub_record::{save, Event};
use railhub_scenario::Scenario;
use railhub_simulator::{run, Policy, TimingModel};
use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};

fn events() -> Vec<Event> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/first-bad-day.ini");
    run(&Scenario::open(&path).expect("a good script"), &Policy::Controller, TimingModel::default())
        .expect("it runs")
}

fn scratch(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("railhub-dashboard-{}-{name}", std::process::id()))
}

#[test]
fn a_finished_record_shows_its_end_and_any_moment_of_it() {
    let path = scratch("finished");
    save(&path, &events()).expect("writable");
    let end = render_once(&path, None).expect("drawn");
    let away = render_once(&path, Some(30.0)).expect("drawn");
    let drain = render_once(&path, Some(21.0)).expect("drawn");
    fs::remove_file(&path).expect("there");
    assert!(end.contains("24 proxies joined") && end.contains("steward up"), "{end}");
    assert!(end.contains("deploy (deploy) ends"), "{end}");
    assert!(
        away.contains("30.0 s") && away.contains("steward AWAY") && away.contains("0 proxies joined"),
        "{away}"
    );
    assert!(away.contains("on: steward killed") && !away.contains("the steward starts\n30"), "{away}");
    assert!(drain.contains("draining") && drain.contains("cold"), "{drain}");
}

#[test]
fn a_record_that_grows_is_taken_in_by_whole_blocks() {
    let path = scratch("grows");
    let events = events();
    save(&path, &events[..500]).expect("writable");
    let bytes = fs::read(&path).expect("there");
    let mut file = fs::File::create(&path).expect("writable");
    let mut reader = RecordingReader::open(&path).expect("nothing in it yet");
    let mut seen = 0;
    for part in bytes.chunks(777) {
        file.write_all(part).expect("writable");
        seen += reader.poll().expect("whole blocks so far");
        assert_eq!(seen, reader.events.len());
    }
    fs::remove_file(&path).expect("there");
    assert_eq!(seen, 500);
    assert!(reader.events == events[..500]);
}

#[test]
fn a_file_that_is_no_record_is_refused() {
    let path = scratch("foreign");
    fs::write(&path, "[day]\nname = no record at all\n").expect("writable");
    let error = render_once(&path, None).expect_err("foreign").to_string();
    fs::remove_file(&path).expect("there");
    assert!(error.ends_with("not a record of this version"), "{error}");
}

#[test]
fn an_experiment_shows_its_arms() {
    let folder = scratch("folder");
    fs::create_dir_all(&folder).expect("writable");
    assert!(render_once(&folder, None)
        .expect("drawn")
        .contains("no stage of an experiment is done here yet"));
    let outcome = r#"{"experiment":"first waits","how":"simulated","blocks":12,"settled":false,"arms":[
        {"name":"as it is","service":{"mean":0.97},"difference":null,"verdict":null},
        {"name":"hash","service":{"mean":0.9},"difference":{"mean":-0.07,"low":-0.08,"high":-0.06},"verdict":"breaks_rules"}]}"#;
    fs::write(folder.join("outcome.json"), outcome).expect("writable");
    let shown = render_once(&folder, None).expect("drawn");
    fs::remove_dir_all(&folder).expect("ours");
    assert!(
        shown.contains("first waits") && shown.contains("12 blocks") && shown.contains("not settled"),
        "{shown}"
    );
    assert!(shown.contains("-0.070 [-0.0800, -0.0600]") && shown.contains("breaks rules"), "{shown}");
}
