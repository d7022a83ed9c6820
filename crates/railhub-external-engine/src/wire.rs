//! A round as a batch of lines, and a reply as a draft. Free of I/O and of clocks.
use railhub::{
    BarrierId, ClassId, CommandSink, ControllerConfig, EventBatch, HealthCheckOutcome, HostId, Idempotency,
    Phase, ProxyId, ProxyStreamEvent, RetryPolicy, Seconds, SliceAssignment, SliceId, TimerId, WeightedHost,
};
use railhub_controller::delta_builder::DeltaBuilder;
use std::fmt::{Display, Write};
use std::str::FromStr;

/// The table number that stands for all tables.
const ALL_TABLES: u16 = u16::MAX;
/// The protocol's codes for the ends of a probe.
const ANSWERED: u32 = 100;
const FAILED: u32 = 303;
const TURNED_AWAY: u32 = 302;
const UNREACHABLE: u32 = 304;
/// Microseconds of a turn, which the protocol wants to be told; a round of ours may come at any time.
const TICK_US: u64 = 4000;

fn micros(span: Seconds) -> u64 {
    (span * 1e6).round().max(0.0) as u64
}

/// The line that starts an instance. Zones are named by their numbers, in order, so that the version numbers
/// them as we do.
pub fn create(terms: &ControllerConfig, zones: usize) -> String {
    let mut out = format!("CREATE seed=1 tick_us={TICK_US} telemetry.names=busy");
    let mut put = |name: &str, value: &dyn Display| _ = write!(out, " {name}={value}");
    put("ceilings.probes", &terms.health_checks_allowed);
    put("family_info.backlog", &terms.backlog_limit);
    put("family_info.envelope", &terms.message_overhead);
    put("family_info.exclusive", &terms.single_owner);
    put("family_info.first_wait", &terms.first_attempt_timeout_multiple);
    put("family_info.key_ranges", &terms.slice_count);
    put("family_info.messages_over_us", &micros(terms.message_quota_window));
    put("family_info.throttle_by", &if terms.admission_by_fraction { "share" } else { "rate" });
    put("family_info.update_cap", &terms.message_quota);
    put("family_info.write_lease_us", &micros(terms.write_lease));
    put("family_info.write_life_us", &micros(terms.max_write_duration));
    put("rules.cold_from", &terms.cold_capacity_fraction);
    put("rules.fall_multiple", &terms.overload_multiple);
    put("rules.removal_not_binding", &terms.delisted_may_serve);
    put("rules.warm_within_us", &micros(terms.warm_up_time));
    let zones: Vec<String> = (0..zones).map(|zone| format!("zone-{zone}")).collect();
    put("zones", &zones.join(","));
    put("request_classes.count", &terms.classes.len());
    for (n, class) in terms.classes.iter().enumerate() {
        let (effect, group, window) = match class.idempotency {
            Idempotency::Safe => ("repeatable", "all", 0.0),
            Idempotency::IdempotencyKeyGlobal(window) => ("by_key", "all", window),
            Idempotency::IdempotencyKeyLocal => ("by_key", "zone", 0.0),
            Idempotency::Never => ("once", "all", 0.0),
        };
        let mut put = |name: &str, value: &dyn Display| put(&format!("request_classes.{n}.{name}"), value);
        put("name", &format!("class-{n}"));
        put("aim_us", &micros(class.contract_time));
        put("worth", &class.priority_weight);
        put("effect", &effect);
        put("group", &group);
        put("key_ttl_us", &micros(window));
    }
    out.push('\n');
    out
}

/// One round's batch, with what goes before its events: the instance's start, at its first.
pub fn batch(round: &EventBatch, start: Option<&str>) -> String {
    let mut out = format!("FRAME wall_us={}\nAT i=0\n{}", micros(round.now), start.unwrap_or_default());
    for (n, list) in round.endpoint_lists.iter().enumerate() {
        let how = if list.complete { "total" } else { "incr" };
        let _ = writeln!(out, "ENDPOINTS rev={n} how={how} records={}", list.entries.len());
        for entry in &list.entries {
            let phase = match entry.phase {
                Phase::Ready => "active",
                Phase::Draining => "leaving",
                Phase::Gone => "left",
            };
            let _ = write!(out, "ITEM phase={phase}");
            if let Some(started) = entry.started_at {
                let _ = write!(out, " last_start_us={}", micros(started).max(1));
            }
            let (weight, host, kind) = (entry.weight, entry.host, entry.kind.0);
            let _ = writeln!(out, " w={weight} host={host} stripe=0 zone=zone-0 flavor=kind-{kind}");
        }
    }
    for change in &round.proxy_streams {
        let _ = match change {
            ProxyStreamEvent::Connected(proxy) => {
                writeln!(out, "SUBSCRIBED edge={} zone=zone-0 w=1 on=1", proxy.0)
            }
            ProxyStreamEvent::Reconnected(proxy) => {
                writeln!(out, "SUBSCRIBED edge={} zone=zone-0 w=1 on=0", proxy.0)
            }
            ProxyStreamEvent::Disconnected(proxy) => writeln!(out, "STREAM_DOWN edge={}", proxy.0),
        };
    }
    for assignment in &round.assignments {
        match assignment {
            SliceAssignment::Assigned { slice, entries } => {
                let _ = writeln!(out, "TENURE sheet={} on=1", slice.0);
                for WeightedHost { host, weight } in entries {
                    let _ = writeln!(out, "STORED_LINE sheet={} host={host} w={weight}", slice.0);
                }
            }
            SliceAssignment::Revoked { slice } => _ = writeln!(out, "TENURE sheet={} on=0", slice.0),
        }
    }
    for sum in &round.host_loads {
        let (zone, host, time, span) = (sum.zone.0, sum.host, micros(sum.mean_latency), micros(sum.span));
        let _ =
            write!(out, "HEARD zone=zone-{zone} host={host} total={} failed={}", sum.attempts, sum.failed);
        let _ = write!(out, " rtt_us={time} over_us={span}");
        let _ = match sum.cpu_utilization {
            Some(busy) => writeln!(out, " server_stats={busy}"),
            None => writeln!(out),
        };
    }
    for sum in &round.slice_loads {
        let (slice, class, span) = (sum.slice.0, sum.class.0, micros(sum.span));
        let total = sum.operations;
        let _ =
            writeln!(out, "HOTNESS sheet={slice} cls=class-{class} total={total} failed=0 over_us={span}");
    }
    for probe in &round.health_checks {
        let code = match probe.outcome {
            HealthCheckOutcome::Passed => ANSWERED,
            HealthCheckOutcome::Rejected => TURNED_AWAY,
            HealthCheckOutcome::Failed => FAILED,
            HealthCheckOutcome::Unreachable => UNREACHABLE,
        };
        let _ = writeln!(out, "HEALTH code={code} rtt_us=0 host={}", probe.host);
    }
    for word in &round.barrier_acks {
        let _ = writeln!(out, "CONFIRMED edge={} rev={} rtt_us=0", word.proxy.0, word.barrier.0);
    }
    for timer in &round.timers {
        let _ = writeln!(out, "BELL ref={}", timer.0);
    }
    out.push_str("OVER_TO_YOU\n");
    out
}

/// One line of a reply.
struct Action<'a> {
    text: &'a str,
    name: &'a str,
}

impl<'a> Action<'a> {
    fn text(&self, field: &str) -> Result<&'a str, String> {
        let mut pairs = self.text.split(' ').filter_map(|part| part.split_once('='));
        pairs.find(|pair| pair.0 == field).map(|pair| pair.1).ok_or_else(|| self.wrong(field, "is missing"))
    }

    fn get<T: FromStr>(&self, field: &str) -> Result<T, String> {
        let value = self.text(field)?;
        value.parse().map_err(|_| self.wrong(field, &format!("cannot be '{value}'")))
    }

    fn amount(&self, field: &str) -> Result<f64, String> {
        let value: f64 = self.get(field)?;
        let sane = value.is_finite() && value >= 0.0;
        sane.then_some(value).ok_or_else(|| self.wrong(field, &format!("cannot be '{value}'")))
    }

    fn flag(&self, field: &str) -> Result<bool, String> {
        match self.text(field)? {
            "1" | "true" => Ok(true),
            "0" | "false" => Ok(false),
            other => Err(self.wrong(field, &format!("cannot be '{other}'"))),
        }
    }

    fn host(&self) -> Result<HostId, String> {
        Ok(HostId::from(self.get::<std::net::SocketAddr>("host")?))
    }

    fn wrong(&self, field: &str, what: &str) -> String {
        format!("{}: field {field} {what}, in '{}'", self.name, self.text)
    }
}

/// Takes one line of a reply into a draft; whether it was the last. An order that proxies here do not know is a
/// fault: left out in silence, it would make the version look worse or better than it is.
pub fn take_in(line: &str, classes: usize, draft: &mut DeltaBuilder) -> Result<bool, String> {
    let text = line.trim_end();
    let name = text.split(' ').next().unwrap_or_default();
    let action = Action { text, name };
    match name {
        "DONE" => return Ok(true),
        "" | "SPEAKING" => {}
        "SET_LINE" => {
            draft.set_weight(SliceId(action.get("sheet")?), action.host()?, action.amount("w")?);
        }
        "HAND_TABLE" => {
            if action.get::<u64>("only")? != 0 {
                return Err(action.wrong("only", "names classes: tables for some classes are not known here"));
            }
            draft.assign_table(SliceId(action.get("sheet")?), ProxyId(action.get("edge")?));
        }
        "THROTTLE" => throttle(&action, classes, draft)?,
        "BENCH" => match (action.host()?, action.flag("on")?) {
            (host, true) => draft.exclude_host(host),
            (host, false) => draft.readmit_host(host),
        },
        "BARRIER" => draft.set_barrier(BarrierId(action.get("rev")?)),
        "INSPECT" => draft.check_health(action.host()?),
        // Never in the moment that it is asked for: time would stand still.
        "AFTER" => {
            let after = action.get::<u64>("in_us")?.max(TICK_US);
            draft.set_timer(after as f64 / 1e6, TimerId(action.get("ref")?));
        }
        "TRACE" => draft.notes.push(text.split_once("words=").map_or("", |(_, words)| words).to_owned()),
        "DIE" => return Err(format!("it gave up: {text}")),
        other => return Err(format!("'{other}' is not known here, in '{text}'")),
    }
    Ok(false)
}

fn throttle(action: &Action, classes: usize, draft: &mut DeltaBuilder) -> Result<(), String> {
    if action.get::<u16>("sheet")? != ALL_TABLES {
        return Err(action.wrong("sheet", "names one table: levels of one table are not known here"));
    }
    let second_try = match action.get::<u32>("second_try")? {
        0 => RetryPolicy::Never,
        1 => RetryPolicy::IfNotExecuted,
        2 => RetryPolicy::AfterFailure,
        _ => return Err(action.wrong("second_try", "is not known here")),
    };
    let (only, amount) = (action.get::<u64>("only")?, action.amount("amount")?);
    let named = |class: &usize| only == 0 || only >> class & 1 == 1;
    for class in (0..classes.min(64)).filter(named) {
        draft.set_admission_rate(ClassId(class as u8), amount, second_try);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
