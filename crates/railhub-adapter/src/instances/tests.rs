use super::*;
use railhub::{
    BarrierId, HealthCheckOutcome, HostId, ProxyId, SliceAssignment, SliceId, TimerId, WeightedHost, ZoneId,
};

const CREATE: &str = "CREATE seed=7 ceilings.probes=true family_info.backlog=1000.0 \
    family_info.envelope=8.0 family_info.exclusive=false family_info.first_wait=1.0 \
    family_info.key_ranges=4 family_info.messages_over_us=10000000 \
    family_info.throttle_by=share family_info.update_cap=20 request_classes.count=1 \
    request_classes.0.aim_us=800000 request_classes.0.effect=repeatable request_classes.0.name=view \
    request_classes.0.worth=1.0 rules.cold_from=0.2 rules.fall_multiple=2.5 \
    rules.warm_within_us=10000000 telemetry.names=rif,busy zones=a,b tick_us=4000 unheard.of=1";
const LIST: &str = "ENDPOINTS rev=1 how=warm_copy records=2\n\
    ITEM phase=active w=4 host=10.0.0.1:80 stripe=0 zone=a flavor=x\n\
    ITEM phase=active last_start_us=5 w=1.5 host=10.0.0.2:80 stripe=0 zone=b flavor=y";

/// Processes lines, and returns the last reply or the first error.
fn process_lines(instances: &mut Instances, text: &str) -> Result<String, String> {
    let mut reply = None;
    for line in text.lines() {
        reply = instances.process_line(line).map_err(|error| error.to_string())?.or(reply);
    }
    Ok(reply.unwrap_or_default())
}

/// One instance with two hosts, after its first batch.
fn instances_with_one() -> Instances {
    let mut instances = Instances::default();
    let first = format!("FRAME wall_us=1000000\nAT i=3\n{CREATE}\n{LIST}\nOVER_TO_YOU");
    let reply = process_lines(&mut instances, &first).expect("a valid batch");
    assert!(reply.starts_with("SPEAKING i=3\n") && reply.ends_with("DONE\n"), "{reply}");
    instances
}

/// The error for lines sent to the instance in its second batch.
fn error_text(text: &str) -> String {
    process_lines(&mut instances_with_one(), &format!("FRAME wall_us=2000000\nAT i=3\n{text}\nOVER_TO_YOU"))
        .expect_err("an error")
}

#[test]
fn empty_batch_has_empty_reply() {
    let reply = process_lines(&mut Instances::default(), "FRAME wall_us=1\nOVER_TO_YOU");
    assert_eq!(reply.as_deref(), Ok("DONE\n"));
}

#[test]
fn parses_every_event() {
    let mut instances = instances_with_one();
    let text = "AT i=3\nFRAMED x=1\nBELL ref=77\nHEALTH code=304 rtt_us=5 host=10.0.0.1:80\n\
        SUBSCRIBED edge=41 zone=a w=6.5 on=1\nSTREAM_DOWN edge=40\n\
        HEARD zone=b host=10.0.0.2:80 total=14 failed=1 rtt_us=48250 over_us=1000000 server_stats=7,0.5\n\
        TENURE sheet=2 on=1\nSTORED_LINE sheet=2 host=10.0.0.1:80 w=0.75\n\
        HOTNESS sheet=2 cls=view total=9 failed=0 over_us=2000000\nCONFIRMED edge=41 rev=1 rtt_us=5";
    process_lines(&mut instances, text).expect("valid lines");
    let batch = &instances.instances[&3].batch;
    assert_eq!(batch.timers, [TimerId(77)]);
    assert_eq!(batch.health_checks[0].outcome, HealthCheckOutcome::Unreachable);
    assert_eq!(
        batch.proxy_streams.iter().map(|s| (s.proxy().0, s.is_connected())).collect::<Vec<_>>(),
        [(41, true), (40, false)]
    );
    let load = &batch.host_loads[0];
    assert_eq!((load.zone, load.attempts, load.failed, load.mean_latency), (ZoneId(1), 14.0, 1.0, 0.04825));
    assert_eq!((load.span, load.cpu_utilization), (1.0, Some(0.5)));
    let stored = WeightedHost { host: HostId::new("10.0.0.1:80").expect("valid host name"), weight: 0.75 };
    let assigned = SliceAssignment::Assigned { slice: SliceId(2), entries: vec![stored] };
    assert_eq!(batch.assignments, [assigned]);
    assert_eq!((batch.slice_loads[0].operations, batch.slice_loads[0].span), (9.0, 2.0));
    assert_eq!((batch.barrier_acks[0].proxy, batch.barrier_acks[0].barrier), (ProxyId(41), BarrierId(1)));
}

#[test]
fn interleaved_instances_are_independent() {
    let mut two_instances = instances_with_one();
    let other = format!("FRAME wall_us=1000000\nAT i=5\n{CREATE}\n{LIST}\nOVER_TO_YOU");
    process_lines(&mut two_instances, &other).expect("a valid batch");
    let assignment = "TENURE sheet=1 on=1\nSTORED_LINE sheet=1 host=10.0.0.1:80 w=1";
    let removal = "ENDPOINTS rev=2 how=incr records=1\nITEM phase=left host=10.0.0.1:80";
    let batch = format!(
        "FRAME wall_us=2000000\nAT i=3\n{assignment}\nAT i=5\n{removal}\nAT i=3\nBELL ref=0\nOVER_TO_YOU"
    );
    let together = process_lines(&mut two_instances, &batch).expect("a valid batch");
    let alone = format!("FRAME wall_us=2000000\nAT i=3\n{assignment}\nBELL ref=0\nOVER_TO_YOU");
    let alone = process_lines(&mut instances_with_one(), &alone).expect("a valid batch");
    assert!(together.starts_with(alone.trim_end_matches("DONE\n")), "{together} against {alone}");
}

#[test]
fn errors_name_line_and_field() {
    assert!(error_text("BELL ref=x").ends_with("(BELL): field ref cannot be 'x'"));
    assert!(error_text("HEALTH host=10.0.0.1:80").ends_with("(HEALTH): field code is missing"));
    assert!(error_text("STREAM_DOWN edge").contains("'edge' is not name=value"));
    assert!(error_text("TENURE sheet=1 on=1\nSTORED_LINE sheet=1 host=10.0.0.1:80 w=NaN").contains("field w"));
}

#[test]
fn missing_setting_is_named_in_error() {
    let batch = format!("AT i=3\n{}", CREATE.replace("rules.cold_from=0.2 ", ""));
    let error = process_lines(&mut Instances::default(), &batch).expect_err("an error");
    assert!(error.contains("field rules.cold_from is missing"), "{error}");
}

#[test]
fn events_for_detached_instance_are_skipped() {
    let text = format!("FRAME wall_us=2000000\nAT i=3\nDETACH\n{LIST}\nBELL ref=0\nOVER_TO_YOU");
    assert_eq!(process_lines(&mut instances_with_one(), &text).as_deref(), Ok("DONE\n"));
}
