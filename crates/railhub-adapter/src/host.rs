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
                    let whole = matches!(how, "total" | "warm_copy");
                    round.lists.push(EndpointList { whole, entries: Vec::new() });
                }
            }
            "ITEM" => {
                self.entries_due -= 1;
                if let Some(list) = round.lists.last_mut() {
                    list.entries.push(listed(line, names)?);
                }
            }
            "BELL" => round.timers.push(TimerId(line.get("ref")?)),
            "HEALTH" => {
                round.probes.push(HealthCheckResult { host: line.host()?, end: probe_end(line)? });
            }
            "CONFIRMED" => round
                .confirmed
                .push(BarrierAck { proxy: ProxyId(line.get("edge")?), mark: BarrierId(line.get("rev")?) }),
            "SUBSCRIBED" | "STREAM_DOWN" => {
                let up = line.name == "SUBSCRIBED";
                let first = up && line.flag("on")?;
                round.streams.push(ProxyStreamEvent { proxy: ProxyId(line.get("edge")?), up, first });
            }
            "HEARD" => {
                let sum = heard(line, names)?;
                round.tries.push(sum);
            }
            "HOTNESS" => {
                let name = line.text("cls")?;
                if let Some(class) = names.classes.iter().position(|known| known == name) {
                    round.demand.push(SliceLoadReport {
                        slice: SliceId(line.get("sheet")?),
                        class: ClassId(class as u8),
                        operations: line.amount("total")?,
                        span: line.seconds("over_us")?,
                    });
                }
            }
            "TENURE" => round.charges.push(SliceAssignment {
                slice: SliceId(line.get("sheet")?),
                given: line.flag("on")?,
                lines: Vec::new(),
            }),
            "STORED_LINE" => {
                let slice = SliceId(line.get("sheet")?);
                let stored = (line.host()?, line.amount("w")?);
                match round.charges.iter_mut().rev().find(|charge| charge.slice == slice) {
                    Some(charge) => charge.lines.push(stored),
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
            instance.steward.round(&round, &mut writer);
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
    let started = line.maybe("last_start_us").map_or(Ok(0.0), |_| line.seconds("last_start_us"))?;
    Ok(EndpointEntry {
        host: line.host()?,
        kind: KindId(place(&mut names.kinds, line.maybe("flavor").unwrap_or_default())),
        phase: match line.text("phase")? {
            "active" => Phase::Ready,
            "leaving" => Phase::Draining,
            "left" => Phase::Gone,
            other => return Err(line.wrong("phase", format!("cannot be '{other}'"))),
        },
        started: (started > 0.0).then_some(started),
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
        100 => HealthCheckOutcome::Answered,
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
        tries: line.amount("total")?,
        failed: line.amount("failed")?,
        mean_time: line.seconds("rtt_us")?,
        span: line.seconds("over_us")?,
        busy: names.busy_at.and_then(|at| values.get(at).copied()),
    })
}

/// Writes decisions as lines of the wire.
struct Writer {
    out: String,
}

impl CommandSink for Writer {
    fn set_line(&mut self, slice: SliceId, host: HostId, weight: f64) {
        let _ = writeln!(self.out, "SET_LINE sheet={} host={} w={weight}", slice.0, host);
    }
    fn hand_table(&mut self, table: SliceId, proxy: ProxyId) {
        let _ = writeln!(self.out, "HAND_TABLE sheet={} only=0 edge={}", table.0, proxy.0);
    }
    fn set_level(&mut self, class: ClassId, share: f64, second_try: RetryPolicy) {
        let how = match second_try {
            RetryPolicy::Never => 0,
            RetryPolicy::IfNotExecuted => 1,
            RetryPolicy::AfterFailure => 2,
        };
        let only = 1u64 << class.0;
        let _ = writeln!(self.out, "THROTTLE sheet=65535 only={only} amount={share} second_try={how}");
    }
    fn shut_out(&mut self, host: HostId, out: bool) {
        let _ = writeln!(self.out, "BENCH host={} on={}", host, u8::from(out));
    }
    fn mark(&mut self, mark: BarrierId) {
        let _ = writeln!(self.out, "BARRIER rev={} on=1", mark.0);
    }
    fn probe(&mut self, host: HostId) {
        let _ = writeln!(self.out, "INSPECT host={}", host);
    }
    fn wake(&mut self, after: Seconds, timer: TimerId) {
        let micros = (after * 1e6).round().max(1.0) as u64;
        let _ = writeln!(self.out, "AFTER in_us={micros} ref={}", timer.0);
    }
    fn note(&mut self, text: &str) {
        let _ = writeln!(self.out, "TRACE words={text}");
    }
}

#[cfg(test)]
mod tests;
