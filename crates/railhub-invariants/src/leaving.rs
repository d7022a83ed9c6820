//! Rule 3: nothing is sent to a draining or gone host past the grace (draining only, where removal does not
//! bind). Where stewards share, the one that the proxy goes by for the slice is held to it; a drain that its
//! predecessor knew of, and could still order, has been on since then.
use crate::charge::InCharge;
use crate::slow::Slowness;
use crate::told::Told;
use crate::Verdict;
use railhub_record::{Event, Limits, Listed, Roster, What};
use std::collections::BTreeMap;

/// What one steward has been told to leave, and since when.
#[derive(Default)]
struct Bound {
    told: Told,
    /// A host that was told to drain stays bound when it is then told gone.
    hosts: BTreeMap<String, f64>,
}

impl Bound {
    fn hear(&mut self, at: f64, roster: &Roster, limits: &Limits, verdict: &mut Verdict) {
        self.told.hear(at, roster);
        for (host, word) in &self.told.hosts {
            let binds = match word.listed {
                Listed::Ready => false,
                Listed::Draining => true,
                Listed::Gone => !limits.only_draining_binds || self.hosts.contains_key(host),
            };
            if binds {
                self.hosts.entry(host.clone()).or_insert_with(|| {
                    verdict.look(at, 0.0, String::new);
                    word.since
                });
            } else {
                self.hosts.remove(host);
            }
        }
    }
}

pub fn judge(events: &[Event], limits: &Limits) -> Verdict {
    let mut verdict = Verdict::new(3, "drains are kept");
    let slowness = Slowness::of(events);
    let mut bound: BTreeMap<u32, Bound> = BTreeMap::new();
    let mut joined: BTreeMap<(u32, u32), f64> = BTreeMap::new();
    let mut charge = InCharge::default();
    for event in events {
        let at = event.at;
        match &event.what {
            Some(What::Roster(roster)) => {
                bound.entry(roster.steward).or_default().hear(at, roster, limits, &mut verdict);
            }
            Some(What::StewardLife(life)) => {
                charge.live(at, life);
                if !life.up {
                    bound.remove(&life.steward);
                }
            }
            Some(What::Stream(stream)) if stream.up => {
                joined.insert((stream.proxy, stream.steward), at);
            }
            Some(What::Stream(stream)) => _ = joined.remove(&(stream.proxy, stream.steward)),
            Some(What::Delta(received)) => _ = charge.hear(at, received),
            Some(What::Try(tried)) => {
                let steward = charge.steward(tried.proxy, tried.slice);
                let Some(joined) = joined.get(&(tried.proxy, steward)) else { continue };
                let own = bound.get(&steward).and_then(|bound| bound.hosts.get(&tried.host).copied());
                let Some(own) = own.filter(|_| charge.can_order(steward)) else { continue };
                // The first steward that knew of it, of those that were told before this one took over.
                let others = bound.values().filter_map(|bound| bound.hosts.get(&tried.host).copied());
                let since =
                    if charge.took_over(tried.proxy, tried.slice) { others.fold(own, f64::min) } else { own };
                let from = since.max(*joined).max(charge.answers_since(tried.proxy, tried.slice));
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
