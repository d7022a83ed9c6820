use super::request::TICK_US;
use super::*;
use proptest::prelude::*;
use railhub::{
    EndpointEntry, EndpointList, EventBatch, HostId, HostKindId, HostLoadReport, Phase, TimerId, ZoneId,
};
use railhub_controller::delta_builder::DeltaBuilder;

#[test]
fn encodes_event_batch_as_lines() {
    let host = HostId::new("10.0.0.1:80").expect("a valid address");
    let entry =
        EndpointEntry { host, kind: HostKindId(2), phase: Phase::Ready, started_at: Some(1.5), weight: 4.0 };
    let report = HostLoadReport {
        zone: ZoneId(1),
        host,
        attempts: 14.0,
        failed: 1.0,
        mean_latency: 0.04825,
        span: 1.0,
        cpu_utilization: Some(0.5),
    };
    let events = EventBatch {
        now: 2.0,
        endpoint_lists: vec![EndpointList { complete: true, entries: vec![entry] }],
        host_loads: vec![report],
        timers: vec![TimerId(7)],
        ..EventBatch::default()
    };
    let lines = [
        "FRAME wall_us=2000000",
        "AT i=0",
        "ENDPOINTS rev=0 how=total records=1",
        "ITEM phase=active last_start_us=1500000 w=4 host=10.0.0.1:80 stripe=0 zone=zone-0 flavor=kind-2",
        "HEARD zone=zone-1 host=10.0.0.1:80 total=14 failed=1 rtt_us=48250 over_us=1000000 server_stats=0.5",
        "BELL ref=7",
        "OVER_TO_YOU",
    ];
    assert_eq!(encode_batch(&events, None).lines().collect::<Vec<_>>(), lines);
}

#[test]
fn applies_supported_actions_and_rejects_others() {
    let mut delta = DeltaBuilder::default();
    let mut apply = |line: &str| apply_line(line, 2, &mut delta);
    assert_eq!(apply("SET_LINE sheet=1 host=10.0.0.1:80 w=0.5"), Ok(Progress::Incomplete));
    assert_eq!(apply("THROTTLE sheet=65535 only=2 amount=0.75 second_try=2"), Ok(Progress::Incomplete));
    assert_eq!(apply("AFTER in_us=500000 ref=9\r"), Ok(Progress::Incomplete));
    assert_eq!(apply("AFTER in_us=0 ref=9"), Ok(Progress::Incomplete));
    assert_eq!(apply("TRACE words=two hosts known"), Ok(Progress::Incomplete));
    assert_eq!(apply("DONE"), Ok(Progress::Complete));
    for invalid in [
        "SET_LINE sheet=1 host=10.0.0.1:80 w=NaN",
        "SET_LINE sheet=70000 host=10.0.0.1:80 w=1",
        "SET_LINE sheet=1 w=1",
        "THROTTLE sheet=3 only=2 amount=0.75 second_try=2",
        "THROTTLE sheet=65535 only=0 amount=1 second_try=3",
        "HAND_TABLE sheet=0 only=1 edge=4",
        "EMPTY sheet=4",
        "DIE words=no",
    ] {
        assert!(apply(invalid).is_err(), "{invalid}");
    }
    assert_eq!(delta.change.lines.len(), 1);
    assert_eq!(delta.change.admission_rates.len(), 1);
    assert_eq!(delta.timers, [(0.5, TimerId(9)), (TICK_US as f64 / 1e6, TimerId(9))]);
    assert_eq!(delta.decision_log, ["two hosts known"]);
}

proptest! {
    /// A reply line from a faulty engine is applied or gives an error, but never panics.
    #[test]
    fn arbitrary_reply_lines_do_not_panic(line in "(SET_LINE|THROTTLE|AFTER|BENCH|BARRIER|HAND_TABLE)?( [a-z_]{1,9}=[-0-9a-zA-Z.:]{0,24}){0,5}") {
        let _ = apply_line(&line, 64, &mut DeltaBuilder::default());
    }
}
