//! The bytes of a recorded file. The fixture holds one event of each kind, with every field set.
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
        priority_weight: 3.0,
        idempotency: OperationIdempotency::IdempotencyKeyLocal.into(),
        key_window: 30.0,
        writes: true,
    };
    Limits {
        classes: vec![class],
        slices: 7,
        single_owner: true,
        max_unserved: 4.0,
        grace: 1.5,
        removed_hosts_exempt: true,
        overload_multiple: 1.25,
        overload_span: 6.0,
        cold_capacity_fraction: 0.2,
        max_warm_up: 9.0,
        max_backlog: 500.0,
        message_cost: 12.0,
        max_messages: 11,
        message_span: 8.0,
        from: 2.0,
        until: 52.0,
        zones: vec!["a".into(), "b".into()],
        proxies: 5,
    }
}

fn host_events() -> Vec<EventKind> {
    let host = "127.0.0.1:8001".to_owned();
    let host_started = HostStarted {
        host: host.clone(),
        zone: 1,
        cores: 4.0,
        speed: 1.5,
        cold: true,
        cold_capacity_fraction: 0.25,
        warm_up_time: 3.5,
    };
    let entry =
        EndpointStatus { host: host.clone(), phase: EndpointPhase::Gone.into(), started_at: Some(1.75) };
    vec![
        EventKind::HostStarted(host_started),
        EventKind::HostStopped(HostStopped { host }),
        EventKind::EndpointsReceived(EndpointsReceived {
            complete: true,
            entries: vec![entry],
            controller: 2,
        }),
    ]
}

fn proxy_events() -> Vec<EventKind> {
    let line = TableLine { slice: 3, host: "127.0.0.1:8001".into(), weight: 0.75 };
    let delta = Delta { version: 6, lines: vec![line], ..Delta::default() };
    vec![
        EventKind::ProxyStream(ProxyStream { proxy: 1, open: true, controller: 2 }),
        EventKind::DeltaReceived(DeltaReceived { proxy: 1, delta, controller: 2 }),
        EventKind::DeltaAcknowledged(DeltaAcknowledged {
            proxy: 1,
            nonce: 9,
            rejected: true,
            controller: 2,
            stale_slices: vec![3, 4],
        }),
    ]
}

fn operation_events() -> Vec<EventKind> {
    let host = "127.0.0.1:8001".to_owned();
    let operation = 0x1_0000_0001;
    let attempt = Attempt {
        operation,
        request: 2,
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
        requests: 3,
        key: 77,
        work: 0.125,
        proxy: 4,
    };
    vec![
        EventKind::Attempt(attempt),
        EventKind::AttemptEnd(AttemptEnd {
            operation,
            request: 2,
            number: 3,
            completed: true,
            not_executed: true,
        }),
        EventKind::Effect(Effect { operation, host, class: 1, slice: 6, began: 10.75, dropped: true }),
        EventKind::OperationEnd(operation_end),
    ]
}

fn controller_events() -> Vec<EventKind> {
    vec![
        EventKind::InjectedFault(InjectedFault {
            name: "crash".into(),
            active: true,
            note: "of a".into(),
            channel_slowdown: 5.0,
        }),
        EventKind::ControllerLifecycle(ControllerLifecycle {
            running: true,
            controller: 2,
            paused: true,
            clock_set_back: true,
        }),
        EventKind::SliceGranted(SliceGranted { slice: 6, epoch: 8, process: 99 }),
        EventKind::TableWrite(TableWrite { slice: 6, epoch: 8, written: true }),
    ]
}

fn every_event() -> Vec<Event> {
    let mut kinds = vec![EventKind::Limits(limits())];
    kinds.extend(host_events());
    kinds.extend(proxy_events());
    kinds.extend(operation_events());
    kinds.extend(controller_events());
    let numbered = kinds.into_iter().enumerate();
    numbered.map(|(number, kind)| Event { at: number as f64 + 0.5, kind: Some(kind) }).collect()
}

fn scratch_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("railhub-format-{name}-{}", std::process::id()))
}

fn read_and_remove(path: &Path) -> Vec<u8> {
    let bytes = std::fs::read(path).expect("readable");
    std::fs::remove_file(path).expect("removable");
    bytes
}

#[test]
fn saved_events_match_the_fixture() {
    let path = scratch_path("saved");
    save(&path, &every_event()).expect("saved");
    assert_eq!(read_and_remove(&path), std::fs::read(fixture()).expect("a fixture"));
}

#[test]
fn recorded_events_match_the_fixture() {
    let path = scratch_path("recorded");
    let recorder = Recorder::start(Some(&path)).expect("created");
    for event in every_event() {
        recorder.record(event.at, event.kind.expect("a kind"));
    }
    recorder.finish().expect("written");
    assert_eq!(read_and_remove(&path), std::fs::read(fixture()).expect("a fixture"));
}

#[test]
fn fixture_reads_back_as_the_events() {
    assert_eq!(read(&fixture()).expect("a recording"), every_event());
}
