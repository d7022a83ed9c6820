//! Events added up by seconds of the day.
use crate::owing::Owing;
use crate::tables::Tables;
use railhub_record::{Event, EventKind, Limits, Outcome};
use serde::Serialize;
use std::collections::BTreeSet;

/// Seconds of a step.
pub const STEP: f64 = 1.0;

/// Figures by step, from the first operation on.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Lines {
    /// Gain answered within the contract time over gain asked for, by when operations began; none came: 1.
    pub service: Vec<f64>,
    pub operations: Vec<u32>,
    /// Slices whose heaviest line moved to another host, as the first proxy that learnt of it saw.
    pub moves: Vec<u32>,
    /// Lines that were put to 0.
    pub withdrawals: Vec<u32>,
    /// Deltas that reached proxies.
    pub messages: Vec<u32>,
    /// Deltas ordered and not yet confirmed, at the end of the step.
    pub owing: Vec<u32>,
    /// Proxies with a stream, at the end of the step.
    pub joined: Vec<u32>,
    /// Hosts whose process runs, at the end of the step.
    pub hosts: Vec<u32>,
}

impl Lines {
    fn of(steps: usize) -> Lines {
        let none = vec![0; steps];
        Lines {
            service: vec![1.0; steps],
            operations: none.clone(),
            moves: none.clone(),
            withdrawals: none.clone(),
            messages: none.clone(),
            owing: none.clone(),
            joined: none.clone(),
            hosts: none,
        }
    }

    pub fn total_moves(&self) -> u64 {
        self.moves.iter().map(|moves| u64::from(*moves)).sum()
    }
}

/// Adds a record up. What happened before the first operation counts for what stands, and in no step.
pub fn over_time(events: &[Event], limits: &Limits) -> Lines {
    let steps = ((limits.until - limits.from) / STEP).ceil().max(1.0) as usize;
    let mut lines = Lines::of(steps);
    let (mut asked, mut answered) = (vec![0.0; steps], vec![0.0; steps]);
    let mut tables = Tables::default();
    let (mut owing, mut joined, mut hosts) = (Owing::default(), BTreeSet::new(), BTreeSet::new());
    let mut stood_until = 0;
    for event in events {
        let at = (event.at - limits.from) / STEP;
        let step = (at >= 0.0 && (at as usize) < steps).then_some(at as usize);
        if let Some(step) = step {
            stand(&mut lines, stood_until..step, owing.deltas(), joined.len(), hosts.len());
            stood_until = stood_until.max(step);
        }
        match &event.kind {
            Some(EventKind::OperationEnd(end)) => {
                let began = ((end.began - limits.from) / STEP).max(0.0) as usize;
                if began < steps {
                    let gain =
                        limits.classes.get(end.class as usize).map_or(0.0, |class| class.priority_weight);
                    lines.operations[began] += 1;
                    asked[began] += gain;
                    answered[began] += if end.outcome() == Outcome::Completed { gain } else { 0.0 };
                }
            }
            Some(EventKind::DeltaReceived(received)) => {
                let (moves, withdrawals) = tables.take(&received.delta).unwrap_or_default();
                owing.got(received.proxy, received.delta.version, received.delta.cost());
                if let Some(step) = step {
                    lines.moves[step] += moves;
                    lines.withdrawals[step] += withdrawals;
                    lines.messages[step] += 1;
                }
            }
            Some(EventKind::DeltaAcknowledged(word)) => owing.word(word.proxy, word.nonce),
            Some(EventKind::ProxyStream(stream)) if stream.open => _ = joined.insert(stream.proxy),
            Some(EventKind::ProxyStream(stream)) => {
                joined.remove(&stream.proxy);
                owing.gone(stream.proxy);
            }
            Some(EventKind::HostStarted(up)) => _ = hosts.insert(up.host.clone()),
            Some(EventKind::HostStopped(down)) => _ = hosts.remove(&down.host),
            _ => {}
        }
    }
    stand(&mut lines, stood_until..steps, owing.deltas(), joined.len(), hosts.len());
    for step in (0..steps).filter(|step| asked[*step] > 0.0) {
        lines.service[step] = answered[step] / asked[step];
    }
    lines
}

/// What stood at the end of steps that are over.
fn stand(lines: &mut Lines, steps: std::ops::Range<usize>, owing: usize, joined: usize, hosts: usize) {
    for step in steps {
        lines.owing[step] = owing as u32;
        lines.joined[step] = joined as u32;
        lines.hosts[step] = hosts as u32;
    }
}
