use super::request::TICK_US;
use super::*;
use proptest::prelude::*;
use railhub::{
    EndpointEntry, EndpointList, EventBatch, HostId, HostKindId, HostLoadReport, Phase, TimerId, ZoneId,
};
use railhub_controller::delta_builder::DeltaBuilder;

#[test]
fn a_round_is_written_line_by_line() {
    let host = HostId::new("10.0.0.1:80").expect("a name");
    let listed =
        EndpointEntry { host, kind: HostKindId(2), phase: Phase::Ready, started_at: Some(1.5), weight: 4.0 };
    let sum = HostLoadReport {
        zone: ZoneId(1),
        host,
        attempts: 14.0,
        failed: 1.0,
        mean_latency: 0.04825,
        span: 1.0,
        cpu_utilization: Some(0.5),
    };
    let round = EventBatch {
        now: 2.0,
        endpoint_lists: vec![EndpointList { complete: true, entries: vec![listed] }],
        host_loads: vec![sum],
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
    assert_eq!(batch(&round, None).lines().collect::<Vec<_>>(), lines);
}

#[test]
fn orders_are_read_and_those_unknown_here_are_refused() {
    let mut draft = DeltaBuilder::default();
    let mut read = |line: &str| apply_line(line, 2, &mut draft);
    assert_eq!(read("SET_LINE sheet=1 host=10.0.0.1:80 w=0.5"), Ok(Progress::Incomplete));
    assert_eq!(read("THROTTLE sheet=65535 only=2 amount=0.75 second_try=2"), Ok(Progress::Incomplete));
    assert_eq!(read("AFTER in_us=500000 ref=9\r"), Ok(Progress::Incomplete));
    assert_eq!(read("AFTER in_us=0 ref=9"), Ok(Progress::Incomplete));
    assert_eq!(read("TRACE words=two hosts known"), Ok(Progress::Incomplete));
    assert_eq!(read("DONE"), Ok(Progress::Complete));
    for bad in [
        "SET_LINE sheet=1 host=10.0.0.1:80 w=NaN",
        "SET_LINE sheet=70000 host=10.0.0.1:80 w=1",
        "SET_LINE sheet=1 w=1",
        "THROTTLE sheet=3 only=2 amount=0.75 second_try=2",
        "THROTTLE sheet=65535 only=0 amount=1 second_try=3",
        "HAND_TABLE sheet=0 only=1 edge=4",
        "EMPTY sheet=4",
        "DIE words=no",
    ] {
        assert!(read(bad).is_err(), "{bad}");
    }
    assert_eq!(draft.change.lines.len(), 1);
    assert_eq!(draft.change.admission_rates.len(), 1);
    assert_eq!(draft.timers, [(0.5, TimerId(9)), (TICK_US as f64 / 1e6, TimerId(9))]);
    assert_eq!(draft.decision_log, ["two hosts known"]);
}

proptest! {
    /// What a broken version writes is an error or an order, never a panic.
    #[test]
    fn no_line_of_a_reply_can_bring_us_down(line in "(SET_LINE|THROTTLE|AFTER|BENCH|BARRIER|HAND_TABLE)?( [a-z_]{1,9}=[-0-9a-zA-Z.:]{0,24}){0,5}") {
        let _ = apply_line(&line, 64, &mut DeltaBuilder::default());
    }
}
