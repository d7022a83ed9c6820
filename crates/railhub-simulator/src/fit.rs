//! Measures the delays of a [`TimingModel`](crate::TimingModel) in a loopback recording: how long a message takes,
//! and how late work ends.
use railhub_record::{Event, EventKind};
use std::collections::BTreeMap;

/// A message that takes longer met a slow link or a paused host, and is left out.
const MAX_MESSAGE_LATENCY_SECONDS: f64 = 0.02;
/// Work that ends later waited for a core, and is left out.
const MAX_COMPLETION_DELAY_SECONDS: f64 = 0.005;

/// Samples of a recording, in seconds.
#[derive(Debug, Default)]
pub struct Samples {
    pub message_latency: Vec<f64>,
    pub completion_delay: Vec<f64>,
}

/// Collects the latency of request and response of each completed attempt, and the completion delay of work that did
/// not wait, whose key was not cached and whose host was not cold. Work on hosts slowed by faults exceeds the bounds.
pub fn samples(events: &[Event]) -> Samples {
    let mut samples = Samples::default();
    let mut speeds: BTreeMap<&str, f64> = BTreeMap::new();
    let mut attempts: BTreeMap<(u64, u32, u32), (f64, &str, f64)> = BTreeMap::new();
    let mut effects: BTreeMap<(u64, &str), (f64, f64)> = BTreeMap::new();
    for event in events {
        match &event.kind {
            Some(EventKind::HostStarted(started)) if !started.cold => {
                _ = speeds.insert(&started.host, started.speed)
            }
            Some(EventKind::HostStarted(started)) => _ = speeds.remove(started.host.as_str()),
            Some(EventKind::Attempt(attempt)) => {
                let key = (attempt.operation, attempt.request, attempt.number);
                attempts.insert(key, (event.at, &attempt.host, attempt.work));
            }
            Some(EventKind::Effect(effect)) if !effect.dropped => {
                effects.insert((effect.operation, &effect.host), (effect.began, event.at));
            }
            Some(EventKind::AttemptEnd(end)) if end.completed => {
                let Some((sent_at, host, work)) = attempts.remove(&(end.operation, end.request, end.number))
                else {
                    continue;
                };
                let Some((arrived_at, done_at)) = effects.get(&(end.operation, host)) else { continue };
                let is_plausible = |span: &f64| (0.0..MAX_MESSAGE_LATENCY_SECONDS).contains(span);
                samples.message_latency.extend(
                    [arrived_at - sent_at, event.at - done_at].iter().filter(|span| is_plausible(span)),
                );
                if let Some(speed) = speeds.get(host) {
                    let delay = done_at - arrived_at - work / speed;
                    samples.completion_delay.extend(
                        Some(delay).filter(|delay| (0.0..MAX_COMPLETION_DELAY_SECONDS).contains(delay)),
                    );
                }
            }
            _ => {}
        }
    }
    samples
}

#[cfg(test)]
mod tests;
