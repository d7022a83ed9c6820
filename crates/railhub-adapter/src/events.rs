//! Decodes lines of the wire protocol into the events of a batch.
use crate::error::{FieldProblem, WireError};
use crate::settings::WireNames;
use crate::wire_line::WireLine;
use railhub::{
    BarrierAck, BarrierId, ClassId, EndpointEntry, EndpointList, EventBatch, HealthCheckOutcome,
    HealthCheckResult, HostKindId, HostLoadReport, Phase, ProxyId, ProxyStreamEvent, SliceAssignment,
    SliceId, SliceLoadReport, TimerId, WeightedHost, ZoneId,
};
use std::ops::RangeInclusive;

/// The wire codes for the outcomes of a health check; any other code means a failed check.
const PASSED_CODE: u32 = 100;
const REJECTED_CODE: u32 = 302;
const UNREACHABLE_CODES: RangeInclusive<u32> = 304..=305;

/// Adds the event of a line to a batch. Lines with an unknown name are ignored.
///
/// # Errors
/// A field is missing or has an invalid value.
pub fn add_event(line: &WireLine, names: &mut WireNames, batch: &mut EventBatch) -> Result<(), WireError> {
    match line.name {
        "ENDPOINTS" => batch.endpoint_lists.extend(endpoint_list(line)?),
        "ITEM" => {
            if let Some(list) = batch.endpoint_lists.last_mut() {
                list.entries.push(endpoint_entry(line, names)?);
            }
        }
        "BELL" => batch.timers.push(TimerId(line.value("ref")?)),
        "HEALTH" => batch.health_checks.push(health_check(line)?),
        "CONFIRMED" => batch.barrier_acks.push(barrier_ack(line)?),
        "SUBSCRIBED" => batch.proxy_streams.push(subscribed(line)?),
        "STREAM_DOWN" => batch.proxy_streams.push(ProxyStreamEvent::Disconnected(proxy(line)?)),
        "HEARD" => batch.host_loads.push(host_load(line, names)?),
        "HOTNESS" => batch.slice_loads.extend(slice_load(line, names)?),
        "TENURE" => batch.assignments.push(assignment(line)?),
        "STORED_LINE" => add_stored_entry(line, batch)?,
        _ => {}
    }
    Ok(())
}

fn proxy(line: &WireLine) -> Result<ProxyId, WireError> {
    Ok(ProxyId(line.value("edge")?))
}

fn slice(line: &WireLine) -> Result<SliceId, WireError> {
    Ok(SliceId(line.value("sheet")?))
}

/// Decodes an endpoint list without its entries, which follow in lines of their own. `None` means that the list was
/// lost.
fn endpoint_list(line: &WireLine) -> Result<Option<EndpointList>, WireError> {
    let how = line.text("how")?;
    let complete = matches!(how, "total" | "warm_copy");
    Ok((how != "lost").then(|| EndpointList { complete, entries: Vec::new() }))
}

fn endpoint_entry(line: &WireLine, names: &mut WireNames) -> Result<EndpointEntry, WireError> {
    let started_at = match line.optional("last_start_us") {
        Some(_) => line.seconds("last_start_us")?,
        None => 0.0,
    };
    let host = line.host()?;
    let kind = HostKindId(index_of(&mut names.kinds, line.optional("flavor").unwrap_or_default()));
    let phase = match line.text("phase")? {
        "active" => Phase::Ready,
        "leaving" => Phase::Draining,
        "left" => Phase::Gone,
        other => return Err(line.invalid("phase", other)),
    };
    let weight = match line.optional("w") {
        Some(_) => line.non_negative("w")?,
        None => 1.0,
    };
    Ok(EndpointEntry { host, kind, phase, started_at: (started_at > 0.0).then_some(started_at), weight })
}

/// Returns the index of a name; an unknown name is added first.
fn index_of(names: &mut Vec<String>, name: &str) -> u16 {
    let known_index = names.iter().position(|known| known == name);
    let index = known_index.unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    index as u16
}

fn health_check(line: &WireLine) -> Result<HealthCheckResult, WireError> {
    let host = line.host()?;
    let outcome = match line.value::<u32>("code")? {
        PASSED_CODE => HealthCheckOutcome::Passed,
        REJECTED_CODE => HealthCheckOutcome::Rejected,
        code if UNREACHABLE_CODES.contains(&code) => HealthCheckOutcome::Unreachable,
        _ => HealthCheckOutcome::Failed,
    };
    Ok(HealthCheckResult { host, outcome })
}

fn barrier_ack(line: &WireLine) -> Result<BarrierAck, WireError> {
    let proxy = proxy(line)?;
    Ok(BarrierAck { proxy, barrier: BarrierId(line.value("rev")?) })
}

fn subscribed(line: &WireLine) -> Result<ProxyStreamEvent, WireError> {
    let is_first = line.flag("on")?;
    let proxy = proxy(line)?;
    Ok(if is_first { ProxyStreamEvent::Connected(proxy) } else { ProxyStreamEvent::Reconnected(proxy) })
}

fn host_load(line: &WireLine, names: &mut WireNames) -> Result<HostLoadReport, WireError> {
    let report = line.optional("server_stats").unwrap_or_default();
    let Some(values) = finite_numbers(report) else { return Err(line.invalid("server_stats", report)) };
    Ok(HostLoadReport {
        zone: ZoneId(index_of(&mut names.zones, line.text("zone")?)),
        host: line.host()?,
        attempts: line.non_negative("total")?,
        failed: line.non_negative("failed")?,
        mean_latency: line.seconds("rtt_us")?,
        span: line.seconds("over_us")?,
        cpu_utilization: names.cpu_utilization_index.and_then(|at| values.get(at).copied()),
    })
}

/// Parses a comma-separated list of numbers; `None` if a part is not a finite number.
fn finite_numbers(text: &str) -> Option<Vec<f64>> {
    let mut numbers = Vec::new();
    for part in text.split(',').filter(|part| !part.is_empty()) {
        let number: f64 = part.parse().ok()?;
        if !number.is_finite() {
            return None;
        }
        numbers.push(number);
    }
    Some(numbers)
}

/// Decodes a slice report; `None` if its class is unknown.
fn slice_load(line: &WireLine, names: &WireNames) -> Result<Option<SliceLoadReport>, WireError> {
    let name = line.text("cls")?;
    let Some(class) = names.classes.iter().position(|known| known == name) else { return Ok(None) };
    Ok(Some(SliceLoadReport {
        slice: slice(line)?,
        class: ClassId(class as u8),
        operations: line.non_negative("total")?,
        span: line.seconds("over_us")?,
    }))
}

fn assignment(line: &WireLine) -> Result<SliceAssignment, WireError> {
    let slice = slice(line)?;
    Ok(if line.flag("on")? {
        SliceAssignment::Assigned { slice, entries: Vec::new() }
    } else {
        SliceAssignment::Revoked { slice }
    })
}

/// Adds an entry of a stored table to the latest assignment of its slice.
fn add_stored_entry(line: &WireLine, batch: &mut EventBatch) -> Result<(), WireError> {
    let slice = slice(line)?;
    let stored = WeightedHost { host: line.host()?, weight: line.non_negative("w")? };
    let latest = batch.assignments.iter_mut().rev().find(|assignment| assignment.slice() == slice);
    match latest {
        Some(SliceAssignment::Assigned { entries, .. } | SliceAssignment::Retained { entries, .. }) => {
            entries.push(stored);
        }
        Some(SliceAssignment::Revoked { .. }) => {}
        None => return Err(line.error("sheet", FieldProblem::SliceNotAssigned)),
    }
    Ok(())
}
