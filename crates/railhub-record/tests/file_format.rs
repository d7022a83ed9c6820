//! The bytes of a recorded file: the fixture holds one event of each kind with every field set.
use railhub_proto::{Delta, TableLine};
use railhub_record::*;
use std::path::{Path, PathBuf};

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/every_event.rec")
}

fn limits() -> Limits {
    let class = ClassLimits {
        name: "read".into(),
        contract_time: 0.5,
        hard_stop: 2.5,
        gain: 3.0,
        repeats: Repeats::IdempotencyKeyLocal.into(),
        key_window: 30.0,
        writes: true,
    };
    Limits {
        classes: vec![class],
        slices: 7,
        single_owner: true,
        lost_for: 4.0,
        grace: 1.5,
        only_draining_binds: true,
        fall_multiple: 1.25,
        fall_for: 6.0,
        cold_from: 0.2,
        warm_within: 9.0,
        backlog: 500.0,
        message_cost: 12.0,
        message_cap: 11,
        messages_span: 8.0,
        from: 2.0,
        until: 52.0,
        zones: vec!["a".into(), "b".into()],
        proxies: 5,
    }
}

fn host_events() -> Vec<What> {
    let host = "127.0.0.1:8001".to_owned();
    let up = HostUp {
        host: host.clone(),
        zone: 1,
        cores: 4.0,
        speed: 1.5,
        cold: true,
        cold_from: 0.25,
        warm_after: 3.5,
    };
    let entry = Entry { host: host.clone(), listed: Listed::Gone.into(), started: Some(1.75) };
    vec![
        What::HostUp(up),
        What::HostDown(HostDown { host }),
        What::Roster(Roster { whole: true, entries: vec![entry], steward: 2 }),
    ]
}

fn proxy_events() -> Vec<What> {
    let line = TableLine { slice: 3, host: "127.0.0.1:8001".into(), weight: 0.75 };
    let delta = Delta { version: 6, lines: vec![line], ..Delta::default() };
    vec![
        What::Stream(Stream { proxy: 1, up: true, steward: 2 }),
        What::Delta(Received { proxy: 1, delta, steward: 2 }),
        What::Answered(Answered { proxy: 1, nonce: 9, refused: true, steward: 2, left_out: vec![3, 4] }),
    ]
}

fn operation_events() -> Vec<What> {
    let host = "127.0.0.1:8001".to_owned();
    let operation = 0x1_0000_0001;
    let attempt = Try {
        operation,
        coming: 2,
        number: 3,
        proxy: 4,
        host: host.clone(),
        class: 1,
        slice: 6,
        work: 0.125,
    };
    let operation_end = OperationEnd {
        operation,
        class: 1,
        slice: 6,
        zone: 2,
        began: 10.5,
        outcome: Outcome::GaveUp.into(),
        comings: 3,
        key: 77,
        work: 0.125,
        proxy: 4,
    };
    vec![
        What::Try(attempt),
        What::TryEnd(TryEnd { operation, coming: 2, number: 3, completed: true, never_ran: true }),
        What::Effect(Effect { operation, host, class: 1, slice: 6, began: 10.75, dropped: true }),
        What::Operation(operation_end),
    ]
}

fn controller_events() -> Vec<What> {
    vec![
        What::Trouble(Trouble { name: "crash".into(), on: true, note: "of a".into(), channel_slower: 5.0 }),
        What::StewardLife(StewardLife { up: true, steward: 2, still: true, set_back: true }),
        What::Granted(Granted { slice: 6, epoch: 8, process: 99 }),
        What::Stored(Stored { slice: 6, epoch: 8, written: true }),
    ]
}

fn every_event() -> Vec<Event> {
    let mut kinds = vec![What::Limits(limits())];
    kinds.extend(host_events());
    kinds.extend(proxy_events());
    kinds.extend(operation_events());
    kinds.extend(controller_events());
    let numbered = kinds.into_iter().enumerate();
    numbered.map(|(number, what)| Event { at: number as f64 + 0.5, what: Some(what) }).collect()
}

fn scratch(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("railhub-format-{name}-{}", std::process::id()))
}

fn bytes_and_remove(path: &Path) -> Vec<u8> {
    let bytes = std::fs::read(path).expect("written");
    std::fs::remove_file(path).expect("there");
    bytes
}

#[test]
fn saved_events_have_the_pinned_bytes() {
    let path = scratch("saved");
    save(&path, &every_event()).expect("saved");
    assert_eq!(bytes_and_remove(&path), std::fs::read(fixture()).expect("a fixture"));
}

#[test]
fn recorded_events_have_the_pinned_bytes() {
    let path = scratch("recorded");
    let recorder = Recorder::start(Some(&path)).expect("a file");
    for event in every_event() {
        recorder.note(event.at, event.what.expect("a kind"));
    }
    recorder.finish().expect("written");
    assert_eq!(bytes_and_remove(&path), std::fs::read(fixture()).expect("a fixture"));
}

#[test]
fn the_pinned_bytes_read_back_as_the_events() {
    assert_eq!(read(&fixture()).expect("a recording"), every_event());
}
