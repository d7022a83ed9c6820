//! Rule 5: channel backlog and messages per proxy stay within limits.
use crate::Verdict;
use railhub_record::{Event, Limits, What};
use std::collections::{BTreeMap, VecDeque};

pub fn judge(events: &[Event], limits: &Limits) -> Verdict {
    let mut verdict = Verdict::new(5, "a short queue");
    messages(&mut verdict, events, limits);
    backlog(&mut verdict, events, limits);
    verdict
}

fn messages(verdict: &mut Verdict, events: &[Event], limits: &Limits) {
    if limits.message_cap == 0 {
        return;
    }
    // Where stewards share, each keeps to the limit by itself.
    let mut lately: BTreeMap<(u32, u32), VecDeque<f64>> = BTreeMap::new();
    for event in events {
        match &event.what {
            Some(What::Stream(stream)) if stream.up => _ = lately.remove(&(stream.proxy, stream.steward)),
            Some(What::Delta(received)) => {
                let times = lately.entry((received.proxy, received.steward)).or_default();
                times.push_back(event.at);
                while times.front().is_some_and(|at| *at <= event.at - limits.messages_span) {
                    times.pop_front();
                }
                let used = times.len() as f64 / f64::from(limits.message_cap);
                verdict.look(event.at, used, || {
                    format!("proxy {} got {} messages within the span", received.proxy, times.len())
                });
            }
            _ => {}
        }
    }
}

/// Lines between the moment they were ordered and the moment they reached the proxy.
fn backlog(verdict: &mut Verdict, events: &[Event], limits: &Limits) {
    let mut steps: Vec<(f64, f64)> = Vec::new();
    for event in events {
        if let Some(What::Delta(received)) = &event.what {
            let lines = received.delta.cost() as f64 + limits.message_cost;
            steps.push((received.delta.ordered_at.min(event.at), lines));
            steps.push((event.at, -lines));
        }
    }
    steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
    let mut waiting = 0.0;
    for (at, lines) in steps {
        waiting += lines;
        if lines > 0.0 {
            let used = waiting / limits.backlog;
            verdict.look(at, used, || format!("{waiting:.0} lines waited"));
        }
    }
}
