//! Rule 5: the update channel's backlog and the rate of messages to each proxy stay within limits.
use crate::verdict::Verdict;
use railhub_record::{Event, EventKind, Limits};
use std::collections::{BTreeMap, VecDeque};

/// The verdict on rule 5.
pub fn check(events: &[Event], limits: &Limits) -> Verdict {
    let mut verdict = Verdict::new(5, "a short queue");
    check_message_rate(&mut verdict, events, limits);
    check_backlog(&mut verdict, events, limits);
    verdict
}

/// Checks the number of messages to each proxy within the span. The limit applies to each controller separately.
fn check_message_rate(verdict: &mut Verdict, events: &[Event], limits: &Limits) {
    if limits.max_messages == 0 {
        return;
    }
    // The arrival times of the messages within the span, by proxy and controller.
    let mut recent: BTreeMap<(u32, u32), VecDeque<f64>> = BTreeMap::new();
    for event in events {
        match &event.kind {
            Some(EventKind::ProxyStream(stream)) if stream.open => {
                _ = recent.remove(&(stream.proxy, stream.controller))
            }
            Some(EventKind::DeltaReceived(received)) => {
                let arrivals = recent.entry((received.proxy, received.controller)).or_default();
                arrivals.push_back(event.at);
                while arrivals.front().is_some_and(|at| *at <= event.at - limits.message_span) {
                    arrivals.pop_front();
                }
                let limit_fraction = arrivals.len() as f64 / f64::from(limits.max_messages);
                verdict.check(event.at, limit_fraction, || {
                    format!("proxy {} got {} messages within the span", received.proxy, arrivals.len())
                });
            }
            _ => {}
        }
    }
}

/// Lines that enter the backlog (above 0) or leave it (below 0).
struct BacklogChange {
    at: f64,
    lines: f64,
}

/// Checks the backlog: the lines that were published and have not reached their proxy yet.
fn check_backlog(verdict: &mut Verdict, events: &[Event], limits: &Limits) {
    let mut changes = Vec::new();
    for event in events {
        if let Some(EventKind::DeltaReceived(received)) = &event.kind {
            let lines = received.delta.cost() as f64 + limits.message_cost;
            changes.push(BacklogChange { at: received.delta.published_at.min(event.at), lines });
            changes.push(BacklogChange { at: event.at, lines: -lines });
        }
    }
    changes.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.lines.total_cmp(&b.lines)));
    let mut waiting = 0.0;
    for change in changes {
        waiting += change.lines;
        if change.lines > 0.0 {
            verdict.check(change.at, waiting / limits.max_backlog, || format!("{waiting:.0} lines waited"));
        }
    }
}
