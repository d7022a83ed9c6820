//! Encodes the lines that are sent to an engine.
use railhub::{
    ClassConfig, ControllerConfig, EndpointEntry, EndpointList, EventBatch, HealthCheckOutcome,
    HostLoadReport, Idempotency, Phase, ProxyStreamEvent, Seconds, SliceAssignment, SliceLoadReport,
    WeightedHost,
};
use std::fmt::{Display, Write};

/// Duration of a tick in microseconds, which the first line of an instance announces; also the shortest timer.
pub(super) const TICK_US: u64 = 4000;
/// Code of a health check that the host passed.
const PASSED_CODE: u32 = 100;
/// Code of a health check that the host rejected.
const REJECTED_CODE: u32 = 302;
/// Code of a health check that failed.
const FAILED_CODE: u32 = 303;
/// Code of a health check that could not reach the host.
const UNREACHABLE_CODE: u32 = 304;

fn micros(time: Seconds) -> u64 {
    (time * 1e6).round().max(0.0) as u64
}

/// Appends a ` name=value` pair.
fn put(out: &mut String, name: &str, value: impl Display) {
    let _ = write!(out, " {name}={value}");
}

/// Encodes the line that creates an instance. Zones are named by their index and listed in order, so that the engine
/// numbers them as this process does.
pub fn encode_create(config: &ControllerConfig, zones: usize) -> String {
    let mut out = format!("CREATE seed=1 tick_us={TICK_US} telemetry.names=busy");
    let throttle_by = if config.admission_by_fraction { "share" } else { "rate" };
    put(&mut out, "ceilings.probes", config.health_checks_allowed);
    put(&mut out, "family_info.backlog", config.backlog_limit);
    put(&mut out, "family_info.envelope", config.message_overhead);
    put(&mut out, "family_info.exclusive", config.single_owner);
    put(&mut out, "family_info.first_wait", config.first_attempt_timeout_multiple);
    put(&mut out, "family_info.key_ranges", config.slice_count);
    put(&mut out, "family_info.messages_over_us", micros(config.message_quota_window));
    put(&mut out, "family_info.throttle_by", throttle_by);
    put(&mut out, "family_info.update_cap", config.message_quota);
    put(&mut out, "family_info.write_lease_us", micros(config.write_lease));
    put(&mut out, "family_info.write_life_us", micros(config.max_write_duration));
    put(&mut out, "rules.cold_from", config.cold_capacity_fraction);
    put(&mut out, "rules.fall_multiple", config.overload_multiple);
    put(&mut out, "rules.removal_not_binding", config.delisted_may_serve);
    put(&mut out, "rules.warm_within_us", micros(config.warm_up_time));
    let zone_names: Vec<String> = (0..zones).map(|zone| format!("zone-{zone}")).collect();
    put(&mut out, "zones", zone_names.join(","));
    put(&mut out, "request_classes.count", config.classes.len());
    for (index, class) in config.classes.iter().enumerate() {
        put_class(&mut out, index, class);
    }
    out.push('\n');
    out
}

fn put_class(out: &mut String, index: usize, class: &ClassConfig) {
    let (effect, group, window) = match class.idempotency {
        Idempotency::Safe => ("repeatable", "all", 0.0),
        Idempotency::IdempotencyKeyGlobal(window) => ("by_key", "all", window),
        Idempotency::IdempotencyKeyLocal => ("by_key", "zone", 0.0),
        Idempotency::Never => ("once", "all", 0.0),
    };
    let mut put_field = |name: &str, value: &dyn Display| {
        put(out, &format!("request_classes.{index}.{name}"), value);
    };
    put_field("name", &format!("class-{index}"));
    put_field("aim_us", &micros(class.contract_time));
    put_field("worth", &class.priority_weight);
    put_field("effect", &effect);
    put_field("group", &group);
    put_field("key_ttl_us", &micros(window));
}

/// Encodes one event batch. `create_line` is inserted before the events of an instance's first batch.
pub fn encode_batch(events: &EventBatch, create_line: Option<&str>) -> String {
    let now = micros(events.now);
    let mut out = format!("FRAME wall_us={now}\nAT i=0\n{}", create_line.unwrap_or_default());
    for (revision, list) in events.endpoint_lists.iter().enumerate() {
        put_endpoint_list(&mut out, revision, list);
    }
    for event in &events.proxy_streams {
        put_proxy_stream(&mut out, event);
    }
    for assignment in &events.assignments {
        put_assignment(&mut out, assignment);
    }
    for report in &events.host_loads {
        put_host_load(&mut out, report);
    }
    for report in &events.slice_loads {
        put_slice_load(&mut out, report);
    }
    for check in &events.health_checks {
        let code = health_check_code(&check.outcome);
        let _ = writeln!(out, "HEALTH code={code} rtt_us=0 host={}", check.host);
    }
    for ack in &events.barrier_acks {
        let _ = writeln!(out, "CONFIRMED edge={} rev={} rtt_us=0", ack.proxy.0, ack.barrier.0);
    }
    for timer in &events.timers {
        let _ = writeln!(out, "BELL ref={}", timer.0);
    }
    out.push_str("OVER_TO_YOU\n");
    out
}

fn put_endpoint_list(out: &mut String, revision: usize, list: &EndpointList) {
    let how = if list.complete { "total" } else { "incr" };
    let _ = writeln!(out, "ENDPOINTS rev={revision} how={how} records={}", list.entries.len());
    for entry in &list.entries {
        put_endpoint(out, entry);
    }
}

fn put_endpoint(out: &mut String, entry: &EndpointEntry) {
    let phase = match entry.phase {
        Phase::Ready => "active",
        Phase::Draining => "leaving",
        Phase::Gone => "left",
    };
    let _ = write!(out, "ITEM phase={phase}");
    if let Some(started_at) = entry.started_at {
        put(out, "last_start_us", micros(started_at).max(1));
    }
    let (weight, host, kind) = (entry.weight, entry.host, entry.kind.0);
    let _ = writeln!(out, " w={weight} host={host} stripe=0 zone=zone-0 flavor=kind-{kind}");
}

fn put_proxy_stream(out: &mut String, event: &ProxyStreamEvent) {
    let _ = match event {
        ProxyStreamEvent::Connected(proxy) => {
            writeln!(out, "SUBSCRIBED edge={} zone=zone-0 w=1 on=1", proxy.0)
        }
        ProxyStreamEvent::Reconnected(proxy) => {
            writeln!(out, "SUBSCRIBED edge={} zone=zone-0 w=1 on=0", proxy.0)
        }
        ProxyStreamEvent::Disconnected(proxy) => writeln!(out, "STREAM_DOWN edge={}", proxy.0),
    };
}

fn put_assignment(out: &mut String, assignment: &SliceAssignment) {
    match assignment {
        SliceAssignment::Assigned { slice, entries } | SliceAssignment::Retained { slice, entries } => {
            let _ = writeln!(out, "TENURE sheet={} on=1", slice.0);
            for WeightedHost { host, weight } in entries {
                let _ = writeln!(out, "STORED_LINE sheet={} host={host} w={weight}", slice.0);
            }
        }
        SliceAssignment::Revoked { slice } => {
            let _ = writeln!(out, "TENURE sheet={} on=0", slice.0);
        }
    }
}

fn put_host_load(out: &mut String, report: &HostLoadReport) {
    let (zone, host, total, failed) = (report.zone.0, report.host, report.attempts, report.failed);
    let _ = write!(out, "HEARD zone=zone-{zone} host={host} total={total} failed={failed}");
    put(out, "rtt_us", micros(report.mean_latency));
    put(out, "over_us", micros(report.span));
    if let Some(utilization) = report.cpu_utilization {
        put(out, "server_stats", utilization);
    }
    out.push('\n');
}

fn put_slice_load(out: &mut String, report: &SliceLoadReport) {
    let (slice, class, total) = (report.slice.0, report.class.0, report.operations);
    let span = micros(report.span);
    let _ = writeln!(out, "HOTNESS sheet={slice} cls=class-{class} total={total} failed=0 over_us={span}");
}

fn health_check_code(outcome: &HealthCheckOutcome) -> u32 {
    match outcome {
        HealthCheckOutcome::Passed => PASSED_CODE,
        HealthCheckOutcome::Rejected => REJECTED_CODE,
        HealthCheckOutcome::Failed => FAILED_CODE,
        HealthCheckOutcome::Unreachable => UNREACHABLE_CODE,
    }
}
