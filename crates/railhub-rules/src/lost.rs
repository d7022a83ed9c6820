//! Rule 1: no joined proxy lacks a line for a slice beyond the limit while an open, warm host is listed ready.
use crate::slow::Slowness;
use crate::told::Told;
use crate::Verdict;
use railhub_proto::Delta;
use railhub_record::{Event, Limits, Listed, What};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
struct Proxy {
    joined: Option<f64>,
    tables: BTreeMap<u32, BTreeMap<String, f64>>,
    shut: BTreeSet<String>,
    on_table: Option<u32>,
    /// Slices without a line to pick, since when.
    empty: BTreeMap<u32, f64>,
}

impl Proxy {
    fn take_in(&mut self, at: f64, delta: &Delta, slices: u32) {
        if delta.reset {
            self.shut.clear();
        }
        delta.cleared.iter().for_each(|slice| _ = self.tables.remove(slice));
        for line in &delta.lines {
            let table = self.tables.entry(line.slice).or_default();
            if line.weight > 0.0 {
                table.insert(line.host.clone(), line.weight);
            } else {
                table.remove(&line.host);
            }
        }
        for word in &delta.shut {
            if word.out {
                self.shut.insert(word.host.clone());
            } else {
                self.shut.remove(&word.host);
            }
        }
        self.on_table = delta.handed.or(self.on_table);
        if slices == 0 || self.on_table.is_some() || delta.reset || !delta.shut.is_empty() {
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
                    settle(&mut verdict, &mut proxies, warm_since, at, limits, &slowness);
                }
                warm_since = next;
            }
            Some(What::Stream(stream)) => {
                let proxy = proxies.entry(stream.proxy).or_default();
                if stream.up {
                    proxy.joined = Some(at);
                    proxy.look(at, limits.slices);
                } else {
                    weigh(&mut verdict, stream.proxy, proxy, warm_since, at, limits, &slowness);
                    proxy.joined = None;
                }
            }
            Some(What::Delta(received)) => {
                let proxy = proxies.entry(received.proxy).or_default();
                let before = proxy.empty.clone();
                proxy.take_in(at, &received.delta, limits.slices);
                let ended = before.into_iter().filter(|(slice, _)| !proxy.empty.contains_key(slice));
                let ended = Proxy { joined: proxy.joined, empty: ended.collect(), ..Proxy::default() };
                weigh(&mut verdict, received.proxy, &ended, warm_since, at, limits, &slowness);
            }
            Some(What::StewardLife(life)) if !life.up => {
                settle(&mut verdict, &mut proxies, warm_since, at, limits, &slowness);
                told.forget();
                warm_since = None;
            }
            _ => {}
        }
    }
    settle(&mut verdict, &mut proxies, warm_since, last, limits, &slowness);
    verdict
}

/// All spans without a line so far count; what goes on after starts anew.
fn settle(
    verdict: &mut Verdict,
    proxies: &mut BTreeMap<u32, Proxy>,
    warm_since: Option<f64>,
    at: f64,
    limits: &Limits,
    slowness: &Slowness,
) {
    for (number, proxy) in proxies {
        weigh(verdict, *number, proxy, warm_since, at, limits, slowness);
        proxy.empty.values_mut().for_each(|since| *since = at);
    }
}

fn weigh(
    verdict: &mut Verdict,
    number: u32,
    proxy: &Proxy,
    warm_since: Option<f64>,
    at: f64,
    limits: &Limits,
    slowness: &Slowness,
) {
    let (Some(joined), Some(warm)) = (proxy.joined, warm_since) else { return };
    for (slice, since) in &proxy.empty {
        let from = since.max(joined).max(warm);
        let limit = limits.lost_for * slowness.between(from, at);
        let used = (at - from) / limit;
        if used > 0.0 {
            verdict.look(at, used, || {
                format!("proxy {number} had no line for slice {slice} for {:.2} s", at - from)
            });
        }
    }
}
