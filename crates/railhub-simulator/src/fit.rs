//! What a machine adds, out of a loopback record: how long a message takes, and how late work ends.
use railhub_record::{Event, EventKind};
use std::collections::BTreeMap;

/// Seconds: a message that takes longer met a slow link or a pause, work that ends later waited for a core.
const LONGEST_WAY: f64 = 0.02;
const LATEST_WORK: f64 = 0.005;

/// Samples in seconds, as the record has them.
#[derive(Debug, Default)]
pub struct Samples {
    pub message_latency: Vec<f64>,
    pub completion_delay: Vec<f64>,
}

/// Reads what can be known: the way out and back of each completed try, and the end of work that did not wait,
/// met no kept key and was not on a cold host. Work on hosts that troubles slow falls outside of the bounds.
pub fn samples(events: &[Event]) -> Samples {
    let mut out = Samples::default();
    let mut speeds: BTreeMap<&str, f64> = BTreeMap::new();
    let mut tries: BTreeMap<(u64, u32, u32), (f64, &str, f64)> = BTreeMap::new();
    let mut effects: BTreeMap<(u64, &str), (f64, f64)> = BTreeMap::new();
    for event in events {
        match &event.kind {
            Some(EventKind::HostStarted(up)) if !up.cold => _ = speeds.insert(&up.host, up.speed),
            Some(EventKind::HostStarted(up)) => _ = speeds.remove(up.host.as_str()),
            Some(EventKind::Attempt(tried)) => {
                let key = (tried.operation, tried.request, tried.number);
                tries.insert(key, (event.at, &tried.host, tried.work));
            }
            Some(EventKind::Effect(effect)) if !effect.dropped => {
                effects.insert((effect.operation, &effect.host), (effect.began, event.at));
            }
            Some(EventKind::AttemptEnd(end)) if end.completed => {
                let Some((sent, host, work)) = tries.remove(&(end.operation, end.request, end.number)) else {
                    continue;
                };
                let Some((came, done)) = effects.get(&(end.operation, host)) else { continue };
                let within = |span: &f64| (0.0..LONGEST_WAY).contains(span);
                out.message_latency.extend([came - sent, event.at - done].iter().filter(|span| within(span)));
                if let Some(speed) = speeds.get(host) {
                    let late = done - came - work / speed;
                    out.completion_delay.extend(Some(late).filter(|late| (0.0..LATEST_WORK).contains(late)));
                }
            }
            _ => {}
        }
    }
    out
}

#[cfg(test)]
mod tests;
