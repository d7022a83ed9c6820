//! Rule 3: nothing is sent to a draining or gone host past the grace (draining only, where removal does not
//! bind).
use crate::slow::Slowness;
use crate::told::Told;
use crate::Verdict;
use railhub_record::{Event, Limits, Listed, What};
use std::collections::BTreeMap;

pub fn judge(events: &[Event], limits: &Limits) -> Verdict {
    let mut verdict = Verdict::new(3, "drains are kept");
    let slowness = Slowness::of(events);
    let mut told = Told::default();
    // A host that was told to drain stays bound when it is then told gone.
    let mut bound: BTreeMap<String, f64> = BTreeMap::new();
    let mut joined: BTreeMap<u32, f64> = BTreeMap::new();
    for event in events {
        let at = event.at;
        match &event.what {
            Some(What::Roster(roster)) => {
                told.hear(at, roster);
                for (host, word) in &told.hosts {
                    let binds = match word.listed {
                        Listed::Ready => false,
                        Listed::Draining => true,
                        Listed::Gone => !limits.only_draining_binds || bound.contains_key(host),
                    };
                    if binds {
                        bound.entry(host.clone()).or_insert_with(|| {
                            verdict.look(at, 0.0, String::new);
                            word.since
                        });
                    } else {
                        bound.remove(host);
                    }
                }
            }
            Some(What::StewardLife(life)) if !life.up => {
                told.forget();
                bound.clear();
            }
            Some(What::Stream(stream)) if stream.up => _ = joined.insert(stream.proxy, at),
            Some(What::Stream(stream)) => _ = joined.remove(&stream.proxy),
            Some(What::Try(tried)) => {
                let (Some(since), Some(joined)) = (bound.get(&tried.host), joined.get(&tried.proxy)) else {
                    continue;
                };
                let from = since.max(*joined);
                let grace = limits.grace * slowness.between(from, at);
                verdict.look(at, (at - from) / grace, || {
                    let late = at - from;
                    format!(
                        "proxy {} sent to {} {late:.2} s after it was to be left",
                        tried.proxy, tried.host
                    )
                });
            }
            _ => {}
        }
    }
    verdict
}
