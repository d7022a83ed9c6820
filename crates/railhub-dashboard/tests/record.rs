//! Checks the dashboard's output for recordings and experiments, and the reading of a growing recording.
use railhub_dashboard::recording_reader::RecordingReader;
use railhub_dashboard::render_once;
use railhub_record::{save, Event};
use railhub_scenario::Scenario;
use railhub_simulator::{run, Policy, TimingModel};
use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};

fn simulated_events() -> Vec<Event> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/first-bad-day.ini");
    run(&Scenario::open(&path).expect("valid scenario"), &Policy::Controller, TimingModel::default())
        .expect("simulation succeeds")
}

fn temporary_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("railhub-dashboard-{}-{name}", std::process::id()))
}

#[test]
fn finished_recording_is_shown_at_its_end_or_a_given_time() {
    let path = temporary_path("finished");
    save(&path, &simulated_events()).expect("writable");
    let at_end = render_once(&path, None).expect("rendered");
    let controller_down = render_once(&path, Some(30.0)).expect("rendered");
    let hosts_draining = render_once(&path, Some(21.0)).expect("rendered");
    fs::remove_file(&path).expect("the file exists");
    assert!(at_end.contains("24 proxies connected") && at_end.contains("controller up"), "{at_end}");
    assert!(at_end.contains("deploy (deploy) ends"), "{at_end}");
    assert!(
        controller_down.contains("30.0 s")
            && controller_down.contains("controller AWAY")
            && controller_down.contains("0 proxies connected"),
        "{controller_down}"
    );
    assert!(controller_down.contains("on: steward killed"), "{controller_down}");
    assert!(!controller_down.contains("the controller starts\n30"), "{controller_down}");
    assert!(hosts_draining.contains("draining") && hosts_draining.contains("cold"), "{hosts_draining}");
}

#[test]
fn growing_recording_is_read_in_complete_blocks() {
    let path = temporary_path("grows");
    let events = simulated_events();
    save(&path, &events[..500]).expect("writable");
    let bytes = fs::read(&path).expect("the file exists");
    let mut file = fs::File::create(&path).expect("writable");
    let mut reader = RecordingReader::open(&path).expect("an empty recording can be opened");
    let mut events_read = 0;
    for part in bytes.chunks(777) {
        file.write_all(part).expect("writable");
        events_read += reader.poll().expect("the blocks are valid");
        assert_eq!(events_read, reader.events.len());
    }
    fs::remove_file(&path).expect("the file exists");
    assert_eq!(events_read, 500);
    assert!(reader.events == events[..500]);
}

#[test]
fn rejects_a_file_that_is_not_a_recording() {
    let path = temporary_path("foreign");
    fs::write(&path, "[day]\nname = no record at all\n").expect("writable");
    let error = render_once(&path, None).expect_err("not a recording").to_string();
    fs::remove_file(&path).expect("the file exists");
    assert!(error.ends_with("not a record of this version"), "{error}");
}

#[test]
fn experiment_view_shows_the_arms() {
    let folder = temporary_path("folder");
    fs::create_dir_all(&folder).expect("writable");
    assert!(render_once(&folder, None)
        .expect("rendered")
        .contains("no experiment stage has finished in this folder yet"));
    let outcome = r#"{"experiment":"first waits","how":"simulated","blocks":12,"settled":false,"arms":[
        {"name":"as it is","service":{"mean":0.97},"difference":null,"verdict":null},
        {"name":"hash","service":{"mean":0.9},"difference":{"mean":-0.07,"low":-0.08,"high":-0.06},"verdict":"breaks_rules"}]}"#;
    fs::write(folder.join("outcome.json"), outcome).expect("writable");
    let shown = render_once(&folder, None).expect("rendered");
    fs::remove_dir_all(&folder).expect("the folder exists");
    assert!(
        shown.contains("first waits") && shown.contains("12 blocks") && shown.contains("not settled"),
        "{shown}"
    );
    assert!(shown.contains("-0.070 [-0.0800, -0.0600]") && shown.contains("breaks rules"), "{shown}");
}
