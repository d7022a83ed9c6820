//! Hosts the instances, each apart from the others: collects a batch, then runs one round for each
//! instance that had an event and writes its decisions.
use crate::conf::{self, Names};
use crate::fields::Line;
use railhub::*;
use std::collections::BTreeMap;
use std::fmt::Write;

struct Instance {
    steward: Controller,
    names: Names,
    round: EventBatch,
    has_news: bool,
}

#[derive(Default)]
pub struct Machine {
    instances: BTreeMap<u32, Instance>,
    now: Seconds,
    speaking: Option<u32>,
    lines_read: usize,
    entries_due: usize,
    entries_skipped: bool,
}

impl Machine {
    /// Takes one line; a batch's last line brings back the reply.
    pub fn feed(&mut self, text: &str) -> Result<Option<String>, String> {
        self.lines_read += 1;
        let line = Line::read(text, self.lines_read)?;
        match line.name {
            "" => {}
            "FRAME" => {
                self.now = line.seconds("wall_us")?;
                self.speaking = None;
            }
            "OVER_TO_YOU" => return Ok(Some(self.reply())),
            "AT" => self.speaking = Some(line.get("i")?),
            "CREATE" => {
                let (terms, names) = conf::decode(&line)?;
                let steward = Controller::new(terms);
                let instance = Instance { steward, names, round: EventBatch::default(), has_news: true };
                self.instances.insert(self.at(&line)?, instance);
            }
            "DETACH" => {
                let at = self.at(&line)?;
                self.instances.remove(&at);
            }
            "ITEM" if self.entries_due == 0 => return Err(line.wrong("records", "names fewer entries")),
            "ITEM" if self.entries_skipped => self.entries_due -= 1,
            _ => self.event(&line)?,
        }
        Ok(None)
    }

    fn at(&self, line: &Line) -> Result<u32, String> {
        self.speaking.ok_or_else(|| line.wrong("i", "is missing: no AT came before"))
    }

    fn event(&mut self, line: &Line) -> Result<(), String> {
        let at = self.at(line)?;
        let known = self.instances.get_mut(&at);
        if line.name == "ENDPOINTS" {
            self.entries_due = line.maybe("records").map_or(Ok(0), |_| line.get("records"))?;
            self.entries_skipped = known.is_none();
        }
        let Some(Instance { names, round, has_news, .. }) = known else {
            return Ok(());
        };
        *has_news = true;
        match line.name {
            "ENDPOINTS" => {
                let how = line.text("how")?;
                if how != "lost" {
                    let complete = matches!(how, "total" | "warm_copy");
                    round.endpoint_lists.push(EndpointList { complete, entries: Vec::new() });
                }
            }
            "ITEM" => {
                self.entries_due -= 1;
                if let Some(list) = round.endpoint_lists.last_mut() {
                    list.entries.push(listed(line, names)?);
                }
            }
            "BELL" => round.timers.push(TimerId(line.get("ref")?)),
            "HEALTH" => {
                round.health_checks.push(HealthCheckResult { host: line.host()?, outcome: probe_end(line)? });
            }
            "CONFIRMED" => round
                .barrier_acks
                .push(BarrierAck { proxy: ProxyId(line.get("edge")?), barrier: BarrierId(line.get("rev")?) }),
            "SUBSCRIBED" | "STREAM_DOWN" => {
                let is_connected = line.name == "SUBSCRIBED";
                let is_first = is_connected && line.flag("on")?;
                let proxy = ProxyId(line.get("edge")?);
                round.proxy_streams.push(match (is_connected, is_first) {
                    (true, true) => ProxyStreamEvent::Connected(proxy),
                    (true, false) => ProxyStreamEvent::Reconnected(proxy),
                    (false, _) => ProxyStreamEvent::Disconnected(proxy),
                });
            }
            "HEARD" => {
                let sum = heard(line, names)?;
                round.host_loads.push(sum);
            }
            "HOTNESS" => {
                let name = line.text("cls")?;
                if let Some(class) = names.classes.iter().position(|known| known == name) {
                    round.slice_loads.push(SliceLoadReport {
                        slice: SliceId(line.get("sheet")?),
                        class: ClassId(class as u8),
                        operations: line.amount("total")?,
                        span: line.seconds("over_us")?,
                    });
                }
            }
            "TENURE" => {
                let slice = SliceId(line.get("sheet")?);
                round.assignments.push(match line.flag("on")? {
                    true => SliceAssignment::Assigned { slice, entries: Vec::new() },
                    false => SliceAssignment::Revoked { slice },
                });
            }
            "STORED_LINE" => {
                let slice = SliceId(line.get("sheet")?);
                let stored = WeightedHost { host: line.host()?, weight: line.amount("w")? };
                match round.assignments.iter_mut().rev().find(|assignment| assignment.slice() == slice) {
                    Some(SliceAssignment::Assigned { entries, .. }) => entries.push(stored),
                    Some(SliceAssignment::Revoked { .. }) => {}
                    None => return Err(line.wrong("sheet", "was not given in this batch")),
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn reply(&mut self) -> String {
        let mut out = String::new();
        for (number, instance) in &mut self.instances {
            if !std::mem::take(&mut instance.has_news) {
                continue;
            }
            let mut round = std::mem::take(&mut instance.round);
            round.now = self.now;
            let mut writer = Writer { out: String::new() };
            instance.steward.handle_batch(&round, &mut writer);
            if !writer.out.is_empty() {
                let _ = writeln!(out, "SPEAKING i={number}");
                out.push_str(&writer.out);
            }
        }
        out.push_str("DONE\n");
        out
    }
}

fn listed(line: &Line, names: &mut Names) -> Result<EndpointEntry, String> {
    let started_at = line.maybe("last_start_us").map_or(Ok(0.0), |_| line.seconds("last_start_us"))?;
    Ok(EndpointEntry {
        host: line.host()?,
        kind: KindId(place(&mut names.kinds, line.maybe("flavor").unwrap_or_default())),
        phase: match line.text("phase")? {
            "active" => Phase::Ready,
            "leaving" => Phase::Draining,
            "left" => Phase::Gone,
            other => return Err(line.wrong("phase", format!("cannot be '{other}'"))),
        },
        started_at: (started_at > 0.0).then_some(started_at),
        weight: line.maybe("w").map_or(Ok(1.0), |_| line.amount("w"))?,
    })
}

/// A name's place among those met, itself added when new.
fn place(names: &mut Vec<String>, name: &str) -> u16 {
    let found = names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    found as u16
}

fn probe_end(line: &Line) -> Result<HealthCheckOutcome, String> {
    Ok(match line.get::<u32>("code")? {
        100 => HealthCheckOutcome::Passed,
        302 => HealthCheckOutcome::Rejected,
        304 | 305 => HealthCheckOutcome::Unreachable,
        _ => HealthCheckOutcome::Failed,
    })
}

fn heard(line: &Line, names: &mut Names) -> Result<HostLoadReport, String> {
    let report = line.maybe("server_stats").unwrap_or_default();
    let values: Vec<f64> = (report.split(',').filter(|value| !value.is_empty()))
        .map(|value| value.parse().ok().filter(|v: &f64| v.is_finite()))
        .collect::<Option<_>>()
        .ok_or_else(|| line.wrong("server_stats", format!("cannot be '{report}'")))?;
    Ok(HostLoadReport {
        zone: ZoneId(place(&mut names.zones, line.text("zone")?)),
        host: line.host()?,
        attempts: line.amount("total")?,
        failed: line.amount("failed")?,
        mean_latency: line.seconds("rtt_us")?,
        span: line.seconds("over_us")?,
        cpu_utilization: names.busy_at.and_then(|at| values.get(at).copied()),
    })
}

/// Writes decisions as lines of the wire.
struct Writer {
    out: String,
}

impl CommandSink for Writer {
    fn set_weight(&mut self, slice: SliceId, host: HostId, weight: f64) {
        let _ = writeln!(self.out, "SET_LINE sheet={} host={} w={weight}", slice.0, host);
    }
    fn assign_table(&mut self, table: SliceId, proxy: ProxyId) {
        let _ = writeln!(self.out, "HAND_TABLE sheet={} only=0 edge={}", table.0, proxy.0);
    }
    fn set_admission_rate(&mut self, class: ClassId, rate: f64, retry_policy: RetryPolicy) {
        let how = match retry_policy {
            RetryPolicy::Never => 0,
            RetryPolicy::IfNotExecuted => 1,
            RetryPolicy::AfterFailure => 2,
        };
        let only = 1u64 << class.0;
        let _ = writeln!(self.out, "THROTTLE sheet=65535 only={only} amount={rate} second_try={how}");
    }
    fn exclude_host(&mut self, host: HostId) {
        let _ = writeln!(self.out, "BENCH host={host} on=1");
    }
    fn readmit_host(&mut self, host: HostId) {
        let _ = writeln!(self.out, "BENCH host={host} on=0");
    }
    fn set_barrier(&mut self, barrier: BarrierId) {
        let _ = writeln!(self.out, "BARRIER rev={} on=1", barrier.0);
    }
    fn check_health(&mut self, host: HostId) {
        let _ = writeln!(self.out, "INSPECT host={}", host);
    }
    fn set_timer(&mut self, after: Seconds, timer: TimerId) {
        let micros = (after * 1e6).round().max(1.0) as u64;
        let _ = writeln!(self.out, "AFTER in_us={micros} ref={}", timer.0);
    }
    fn report(&mut self, event: DecisionEvent) {
        let _ = writeln!(self.out, "TRACE words={}", trace_words(event));
    }
}

/// A decision as this wire words it.
fn trace_words(event: DecisionEvent) -> String {
    match event {
        DecisionEvent::HealthCheckPassed(host) => format!("host {host} answers"),
        DecisionEvent::HealthChecksFailed(host) => format!("host {host} is down: probes fail"),
        DecisionEvent::OutlierEjected(host) => format!("host {host} is the outlier: withdrawn"),
        DecisionEvent::EjectionEnded(host) => format!("withdrawal of {host} ends"),
        DecisionEvent::SlicesFailedOver(count) => format!("{count} slices handed over"),
    }
}

#[cfg(test)]
mod tests;
