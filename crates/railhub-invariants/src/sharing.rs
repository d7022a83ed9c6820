//! What stewards that share slices promise, judged from what crossed the sockets: what the store granted and wrote, and
//! what reached the proxies. Epochs are what is promised about, and no lease or clock of a steward is believed.
use crate::Verdict;
use railhub_record::{Answered, Event, Received, What};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds that a grant's answer may be under way on loopback, and a turn of a busy process: until then a steward
/// cannot know that its lease was over.
const UNDER_WAY: f64 = 0.05;

pub fn judge(events: &[Event]) -> Vec<Verdict> {
    vec![one_steward(events), never_back(events), not_past(events), granted_alone(events), not_twice(events)]
}

/// Deltas that reached a proxy, by proxy, steward and nonce.
type Got<'a> = BTreeMap<(u32, u32, u64), Vec<(f64, &'a Received)>>;

/// Deltas with the word that their proxy had on them.
fn obeyed(events: &[Event]) -> Vec<(f64, &Received, &Answered)> {
    let mut waiting = Got::new();
    let mut all = Vec::new();
    for event in events {
        match &event.what {
            Some(What::Delta(got)) => {
                let key = (got.proxy, got.steward, got.delta.nonce);
                waiting.entry(key).or_default().push((event.at, got));
            }
            Some(What::Answered(word)) if !word.refused => {
                let key = (word.proxy, word.steward, word.nonce);
                all.extend(waiting.remove(&key).into_iter().flatten().map(|(at, got)| (at, got, word)));
            }
            _ => {}
        }
    }
    all
}

/// No two processes order a slice under one epoch.
fn one_steward(events: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(6, "one steward a slice and epoch");
    let mut owners: BTreeMap<(u32, u64), u64> = BTreeMap::new();
    for event in events {
        let Some(What::Delta(got)) = &event.what else { continue };
        for each in &got.delta.epochs {
            let owner = *owners.entry((each.slice, each.epoch)).or_insert(got.delta.incarnation);
            let other = owner != got.delta.incarnation;
            verdict.look(event.at, if other { 2.0 } else { 0.0 }, || {
                let (slice, epoch, now) = (each.slice, each.epoch, got.delta.incarnation);
                format!("slice {slice}, epoch {epoch}: ordered by processes {owner} and {now}")
            });
        }
    }
    verdict
}

/// No proxy obeys an epoch after a newer one of the same slice.
fn never_back(events: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(7, "no epoch goes back at a proxy");
    let mut newest: BTreeMap<(u32, u32), u64> = BTreeMap::new();
    for (at, got, word) in obeyed(events) {
        for each in got.delta.epochs.iter().filter(|each| !word.left_out.contains(&each.slice)) {
            let known = newest.entry((got.proxy, each.slice)).or_default();
            let back = each.epoch < *known;
            verdict.look(at, if back { 2.0 } else { 0.0 }, || {
                let (proxy, slice, epoch) = (got.proxy, each.slice, each.epoch);
                format!("proxy {proxy}, slice {slice}: obeys epoch {epoch} after {known}")
            });
            *known = each.epoch.max(*known);
        }
    }
    verdict
}

/// Nothing is decided for a slice once the store has granted it to another; but by one whose clock is set back.
fn not_past(events: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(8, "nothing decided past the lease");
    let mut grants: BTreeMap<u32, Vec<(f64, u64)>> = BTreeMap::new();
    for event in events {
        if let Some(What::Granted(grant)) = &event.what {
            grants.entry(grant.slice).or_default().push((event.at, grant.epoch));
        }
    }
    let mut set_back: BTreeSet<u32> = BTreeSet::new();
    for event in events {
        if let Some(What::StewardLife(life)) = &event.what {
            if life.set_back {
                set_back.insert(life.steward);
            }
        }
        let Some(What::Delta(got)) = &event.what else { continue };
        if set_back.contains(&got.steward) {
            continue;
        }
        for each in &got.delta.epochs {
            let of = grants.get(&each.slice);
            let newer = of.and_then(|all| all.iter().find(|(_, epoch)| *epoch > each.epoch));
            let late = newer.map_or(0.0, |(since, _)| got.delta.ordered_at - since);
            verdict.look(event.at, (late / UNDER_WAY).max(0.0), || {
                let (slice, epoch) = (each.slice, each.epoch);
                format!(
                    "slice {slice}: decided under epoch {epoch} {late:.2} s after a newer one was granted"
                )
            });
        }
    }
    verdict
}

/// Each epoch that is ordered was granted to that very process; epochs rise; tables are written under the newest alone.
fn granted_alone(events: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(9, "the store's grants are kept to");
    let mut to: BTreeMap<(u32, u64), u64> = BTreeMap::new();
    let mut newest: BTreeMap<u32, u64> = BTreeMap::new();
    for event in events {
        let mut wrong =
            |wrong: bool, what: String| verdict.look(event.at, if wrong { 2.0 } else { 0.0 }, || what);
        match &event.what {
            Some(What::Granted(grant)) => {
                let before = newest.insert(grant.slice, grant.epoch).unwrap_or(0);
                wrong(
                    grant.epoch <= before,
                    format!("slice {}: epoch {} after {before}", grant.slice, grant.epoch),
                );
                to.insert((grant.slice, grant.epoch), grant.process);
            }
            Some(What::Stored(stored)) if stored.written => {
                let known = newest.get(&stored.slice).copied().unwrap_or(0);
                let (slice, epoch) = (stored.slice, stored.epoch);
                wrong(
                    epoch < known,
                    format!("slice {slice}: a table of epoch {epoch} is written after {known}"),
                );
            }
            Some(What::Delta(got)) => {
                for each in &got.delta.epochs {
                    let holder = to.get(&(each.slice, each.epoch)).copied();
                    let (slice, epoch, by) = (each.slice, each.epoch, got.delta.incarnation);
                    wrong(
                        holder != Some(by),
                        format!("slice {slice}: process {by} orders under {epoch}, not its own"),
                    );
                }
            }
            _ => {}
        }
    }
    verdict
}

/// No proxy takes an order of a process after a later one of it, nor the same twice on one stream.
fn not_twice(events: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(10, "no order is taken twice");
    let mut latest: BTreeMap<(u32, u64), u64> = BTreeMap::new();
    let mut seen: BTreeMap<(u32, u64), f64> = BTreeMap::new();
    for (at, got, _) in obeyed(events) {
        let key = (got.proxy, got.delta.incarnation);
        let before = latest.get(&key).copied().unwrap_or(0);
        // A stream that is opened anew may be told where it stands: the same version with nothing in it.
        let again = got.delta.version == before && got.delta.cost() > 0 && !got.delta.reset;
        let back = got.delta.version < before;
        verdict.look(at, if back || again { 2.0 } else { 0.0 }, || {
            let since = seen.get(&key).copied().unwrap_or(0.0);
            let (proxy, version) = (got.proxy, got.delta.version);
            format!("proxy {proxy}: version {version} after {before}, taken at {since:.3}")
        });
        latest.insert(key, got.delta.version.max(before));
        seen.insert(key, at);
    }
    verdict
}

/// Seconds from a steward's end until each proxy got the next word on each slice that it had from that one's last
/// process; in no order.
pub fn taken_up(events: &[Event]) -> Vec<f64> {
    let mut holds: BTreeMap<(u32, u32), (u32, u64)> = BTreeMap::new();
    let mut waits: BTreeMap<(u32, u32), f64> = BTreeMap::new();
    let mut all = Vec::new();
    for event in events {
        match &event.what {
            Some(What::StewardLife(life)) if !life.up => {
                let of = holds.iter().filter(|(_, (steward, _))| *steward == life.steward);
                of.for_each(|(key, _)| _ = waits.entry(*key).or_insert(event.at));
            }
            Some(What::Delta(got)) => {
                for each in &got.delta.epochs {
                    let key = (got.proxy, each.slice);
                    if holds.get(&key).is_none_or(|known| known.1 < each.epoch) {
                        holds.insert(key, (got.steward, each.epoch));
                        all.extend(waits.remove(&key).map(|since| event.at - since));
                    }
                }
            }
            _ => {}
        }
    }
    all
}
