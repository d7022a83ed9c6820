//! Rule 1: no joined proxy lacks a line for a slice beyond the limit while an open, warm host is listed ready.
use crate::charge::InCharge;
use crate::slow::Slowness;
use crate::told::Told;
use crate::Verdict;
use railhub_proto::Delta;
use railhub_record::{Event, Limits, Listed, What};
use std::collections::{BTreeMap, BTreeSet};

/// Since when a proxy has had a stream to a steward, by both.
type Joined = BTreeMap<(u32, u32), f64>;

#[derive(Default)]
struct Proxy {
    tables: BTreeMap<u32, BTreeMap<String, f64>>,
    shut: BTreeSet<String>,
    on_table: Option<u32>,
    /// Slices without a line to pick, since when.
    empty: BTreeMap<u32, f64>,
}

impl Proxy {
    fn take_in(&mut self, at: f64, delta: &Delta, old: &BTreeSet<u32>, slices: u32) {
        if delta.reset {
            self.shut.clear();
        }
        let fresh = |slice: &u32| !old.contains(slice);
        delta.cleared.iter().filter(|slice| fresh(slice)).for_each(|slice| _ = self.tables.remove(slice));
        for line in delta.lines.iter().filter(|line| fresh(&line.slice)) {
            let table = self.tables.entry(line.slice).or_default();
            if line.weight > 0.0 {
                table.insert(line.host.clone(), line.weight);
            } else {
                table.remove(&line.host);
            }
        }
        for word in &delta.exclusions {
            if word.excluded {
                self.shut.insert(word.host.clone());
            } else {
                self.shut.remove(&word.host);
            }
        }
        self.on_table = delta.assigned_table.or(self.on_table);
        if slices == 0 || self.on_table.is_some() || delta.reset || !delta.exclusions.is_empty() {
            return self.look(at, slices);
        }
        // Nothing but what the delta names can have changed.
        let named = delta.lines.iter().map(|line| line.slice).chain(delta.cleared.iter().copied());
        let named: BTreeSet<u32> = named.filter(|slice| *slice < slices).collect();
        named.into_iter().for_each(|slice| self.look_at(at, slice));
    }

    /// Which slices lack a line now.
    fn look(&mut self, at: f64, slices: u32) {
        // A proxy that was put on a table goes by it for every slice.
        let wanted: Vec<u32> = match self.on_table {
            Some(table) => vec![table],
            None => (0..slices).collect(),
        };
        self.empty.retain(|slice, _| wanted.contains(slice));
        wanted.into_iter().for_each(|slice| self.look_at(at, slice));
    }

    fn look_at(&mut self, at: f64, slice: u32) {
        let table = self.tables.get(&slice);
        let open = table.is_some_and(|table| table.keys().any(|host| !self.shut.contains(host)));
        if open {
            self.empty.remove(&slice);
        } else {
            self.empty.entry(slice).or_insert(at);
        }
    }
}

pub fn judge(events: &[Event], limits: &Limits) -> Verdict {
    let mut verdict = Verdict::new(1, "nobody left without a host");
    let slowness = Slowness::of(events);
    let mut proxies: BTreeMap<u32, Proxy> = BTreeMap::new();
    let mut told = Told::default();
    let (mut joined, mut charge) = (Joined::new(), InCharge::default());
    // Since when a warm host has been listed without a break; it can lie ahead.
    let mut warm_since: Option<f64> = None;
    let last = events.last().map_or(0.0, |event| event.at);
    for event in events {
        let at = event.at;
        match &event.what {
            Some(What::Roster(roster)) => {
                told.hear(at, roster);
                let ready = told.hosts.values().filter(|word| word.listed == Listed::Ready);
                let warm_at = ready.map(|word| word.started.map_or(0.0, |s| s + limits.warm_within));
                let before = warm_since.filter(|since| *since <= at);
                let next = warm_at.min_by(f64::total_cmp).map(|first| match before {
                    Some(since) if first <= at => since,
                    _ => first.max(at),
                });
                if next.is_none() || before.is_some() && next != before {
                    settle(
                        &mut verdict,
                        &mut proxies,
                        &Facts { joined: &joined, charge: &charge, warm_since, limits, slowness: &slowness },
                        at,
                    );
                }
                warm_since = next;
            }
            Some(What::Stream(stream)) => {
                let proxy = proxies.entry(stream.proxy).or_default();
                let key = (stream.proxy, stream.steward);
                if stream.up {
                    joined.insert(key, at);
                    proxy.look(at, limits.slices);
                } else {
                    let facts =
                        Facts { joined: &joined, charge: &charge, warm_since, limits, slowness: &slowness };
                    facts.weigh(&mut verdict, stream.proxy, &proxy.empty, at);
                    joined.remove(&key);
                }
            }
            Some(What::Delta(received)) => {
                let old = charge.hear(at, received);
                let proxy = proxies.entry(received.proxy).or_default();
                let before = proxy.empty.clone();
                proxy.take_in(at, &received.delta, &old, limits.slices);
                let ended =
                    before.into_iter().filter(|(slice, _)| !proxy.empty.contains_key(slice)).collect();
                let facts =
                    Facts { joined: &joined, charge: &charge, warm_since, limits, slowness: &slowness };
                facts.weigh(&mut verdict, received.proxy, &ended, at);
            }
            Some(What::StewardLife(life)) => {
                charge.live(at, life);
                if charge.is_nobody() {
                    settle(
                        &mut verdict,
                        &mut proxies,
                        &Facts { joined: &joined, charge: &charge, warm_since, limits, slowness: &slowness },
                        at,
                    );
                    told.forget();
                    warm_since = None;
                }
            }
            _ => {}
        }
    }
    settle(
        &mut verdict,
        &mut proxies,
        &Facts { joined: &joined, charge: &charge, warm_since, limits, slowness: &slowness },
        last,
    );
    verdict
}

/// What a span without a line is weighed by.
struct Facts<'a> {
    joined: &'a Joined,
    charge: &'a InCharge,
    warm_since: Option<f64>,
    limits: &'a Limits,
    slowness: &'a Slowness,
}

/// All spans without a line so far count; what goes on after starts anew.
fn settle(verdict: &mut Verdict, proxies: &mut BTreeMap<u32, Proxy>, facts: &Facts, at: f64) {
    for (number, proxy) in proxies {
        facts.weigh(verdict, *number, &proxy.empty, at);
        proxy.empty.values_mut().for_each(|since| *since = at);
    }
}

impl Facts<'_> {
    /// A proxy is joined for a slice while it has a stream to the steward that it goes by there, and that one can order.
    fn weigh(&self, verdict: &mut Verdict, number: u32, empty: &BTreeMap<u32, f64>, at: f64) {
        let Some(warm) = self.warm_since else { return };
        for (slice, since) in empty {
            let steward = self.charge.steward(number, *slice);
            let Some(joined) = self.joined.get(&(number, steward)) else { continue };
            let from = since.max(*joined).max(warm).max(self.charge.answers_since(number, *slice));
            let limit = self.limits.lost_for * self.slowness.between(from, at);
            let used = (at - from) / limit;
            if used > 0.0 {
                verdict.look(at, used, || {
                    format!("proxy {number} had no line for slice {slice} for {:.2} s", at - from)
                });
            }
        }
    }
}
