//! Rule 4: no cold host is pushed over: what is sent to it within any span of the stated length stays under a
//! multiple of what it can do in that time, all proxies together.
use crate::charge::InCharge;
use crate::slow::Slowness;
use crate::Verdict;
use railhub_record::{Event, HostUp, Limits, What};
use std::collections::{BTreeMap, VecDeque};

/// Slack for chance, on top of one operation's work.
const SLACK: f64 = 1.1;
/// Part of the work that must have been sent by those who knew of the start.
const KNOWING: f64 = 2.0 / 3.0;

struct Start<'a> {
    up: &'a HostUp,
    at: f64,
    /// When the steward was told of it.
    told: Option<f64>,
    /// Sent within the span: when, work, and whether its sender knew.
    sent: VecDeque<(f64, f64, bool)>,
    largest: f64,
}

impl Start<'_> {
    /// Core seconds it can do from one moment on, over a span.
    fn can_do(&self, from: f64, span: f64) -> f64 {
        let share = |at: f64| {
            let grown = (at - self.at) / self.up.warm_after.max(1e-9);
            (self.up.cold_from + (1.0 - self.up.cold_from) * grown).clamp(0.0, 1.0)
        };
        // The share grows evenly up to 1: the mean of a few points is close enough.
        let steps = 20;
        let mean =
            (0..steps).map(|n| share(from + span * (f64::from(n) + 0.5) / f64::from(steps))).sum::<f64>()
                / f64::from(steps);
        self.up.cores * self.up.speed * mean * span
    }
}

pub fn judge(events: &[Event], limits: &Limits) -> Verdict {
    let mut verdict = Verdict::new(4, "no cold host is pushed over");
    let slowness = Slowness::of(events);
    let mut starts: BTreeMap<&str, Start> = BTreeMap::new();
    let mut last_ordered: BTreeMap<(u32, u32), f64> = BTreeMap::new();
    let mut charge = InCharge::default();
    for event in events {
        let at = event.at;
        match &event.what {
            Some(What::HostUp(up)) if up.cold => {
                let start = Start { up, at, told: None, sent: VecDeque::new(), largest: 0.0 };
                starts.insert(&up.host, start);
            }
            Some(What::HostUp(up)) => _ = starts.remove(up.host.as_str()),
            Some(What::HostDown(down)) => _ = starts.remove(down.host.as_str()),
            Some(What::Roster(roster)) => {
                for entry in &roster.entries {
                    if let Some(start) = starts.get_mut(entry.host.as_str()) {
                        let knows = entry.started.is_some_and(|started| started >= start.at - 0.001);
                        start.told = start.told.or(knows.then_some(at));
                    }
                }
            }
            Some(What::Delta(received)) => {
                charge.hear(at, received);
                last_ordered.insert((received.proxy, received.steward), received.delta.ordered_at);
            }
            Some(What::Try(tried)) => {
                let Some(start) = starts.get_mut(tried.host.as_str()) else { continue };
                if at - start.at > start.up.warm_after {
                    continue;
                }
                let ordered = last_ordered
                    .get(&(tried.proxy, charge.steward(tried.proxy, tried.slice)))
                    .copied()
                    .unwrap_or(f64::NEG_INFINITY);
                let knew = start.told.is_some_and(|told| {
                    ordered >= told || at >= told + limits.grace * slowness.between(told, at)
                });
                start.sent.push_back((at, tried.work, knew));
                start.largest = start.largest.max(tried.work);
                while start.sent.front().is_some_and(|sent| sent.0 <= at - limits.fall_for) {
                    start.sent.pop_front();
                }
                let all: f64 = start.sent.iter().map(|sent| sent.1).sum();
                let knowing: f64 = start.sent.iter().filter(|sent| sent.2).map(|sent| sent.1).sum();
                let from = (at - limits.fall_for).max(start.at);
                let budget = limits.fall_multiple * start.can_do(from, limits.fall_for);
                let used = (all - start.largest) / (budget * SLACK);
                if knowing >= KNOWING * all {
                    verdict.look(at, used, || {
                        format!("{} was sent {all:.2} core seconds, {budget:.2} were its budget", tried.host)
                    });
                }
            }
            _ => {}
        }
    }
    verdict
}
