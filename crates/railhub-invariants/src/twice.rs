//! Rule 2: no effect twice by repeats that are ordered; with one owner, writes never with two hosts, nor with a
//! former owner after a later one.
use crate::Verdict;
use railhub_record::{ClassLimits, Effect, Event, Limits, Repeats, Try, What};
use std::collections::BTreeMap;

#[derive(Default)]
struct Coming<'a> {
    tries: Vec<(f64, &'a Try)>,
    /// Numbers of tries that are proved never to have run.
    never_ran: Vec<u32>,
}

pub fn judge(events: &[Event], limits: &Limits) -> Verdict {
    let mut verdict = Verdict::new(2, "no effect twice");
    let mut comings: BTreeMap<(u64, u32), Coming> = BTreeMap::new();
    let mut effects: BTreeMap<u64, Vec<(f64, &Effect)>> = BTreeMap::new();
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    for event in events {
        match &event.what {
            Some(What::HostUp(up)) => _ = zones.insert(&up.host, up.zone),
            Some(What::Try(tried)) => {
                let coming = comings.entry((tried.operation, tried.coming)).or_default();
                coming.tries.push((event.at, tried));
            }
            Some(What::TryEnd(end)) if end.never_ran => {
                comings.entry((end.operation, end.coming)).or_default().never_ran.push(end.number);
            }
            Some(What::Effect(effect)) if !effect.dropped => {
                effects.entry(effect.operation).or_default().push((event.at, effect));
            }
            _ => {}
        }
    }
    for ((operation, _), coming) in &comings {
        let Some((first_at, first)) = coming.tries.first() else { continue };
        let Some(class) = limits.classes.get(first.class as usize) else { continue };
        repeats(&mut verdict, class, coming, &zones);
        if class.repeats() == Repeats::Never {
            let hosts = coming.tries.iter().map(|(_, tried)| &tried.host);
            let here = |effect: &Effect| hosts.clone().any(|host| *host == effect.host);
            let all = effects.get(operation).into_iter().flatten();
            let ran = all.filter(|(at, effect)| here(effect) && at >= first_at).count();
            let comings = comings.range((*operation, 0)..=(*operation, u32::MAX)).count();
            // Where the client came again, its own repeat may be the second effect.
            if comings == 1 && ran > 0 {
                let what = || format!("operation {operation} took effect {ran} times");
                verdict.look(*first_at, if ran > 1 { 2.0 } else { 0.0 }, what);
            }
        }
    }
    if limits.single_owner {
        owners(&mut verdict, events, limits);
    }
    verdict
}

/// Each further try against what came before it.
fn repeats(verdict: &mut Verdict, class: &ClassLimits, coming: &Coming, zones: &BTreeMap<&str, u32>) {
    for (place, (at, tried)) in coming.tries.iter().enumerate().skip(1) {
        let before = &coming.tries[..place];
        let mut may_have_run = before.iter().filter(|(_, t)| !coming.never_ran.contains(&t.number));
        let Some((first_at, first)) = may_have_run.next() else {
            verdict.look(*at, 0.0, String::new);
            continue;
        };
        let in_window = (at - first_at) / class.key_window.max(1e-9);
        let nearby = zones.get(first.host.as_str()) == zones.get(tried.host.as_str());
        let used = match class.repeats() {
            Repeats::Safe => 0.0,
            Repeats::IdempotencyKeyGlobal => in_window,
            Repeats::IdempotencyKeyLocal if nearby => in_window,
            Repeats::IdempotencyKeyLocal | Repeats::Never => 2.0,
        };
        verdict.look(*at, used, || {
            let (operation, proxy) = (tried.operation, tried.proxy);
            format!(
                "proxy {proxy} sent operation {operation} to {} after {} may have run it",
                tried.host, first.host
            )
        });
    }
}

/// Writes of one slice: never with two hosts at a time, nor with a former owner after a later one took one.
fn owners(verdict: &mut Verdict, events: &[Event], limits: &Limits) {
    let mut writes: BTreeMap<u32, Vec<(f64, f64, &str)>> = BTreeMap::new();
    for event in events {
        if let Some(What::Effect(effect)) = &event.what {
            if limits.classes.get(effect.class as usize).is_some_and(|class| class.writes) {
                writes.entry(effect.slice).or_default().push((effect.began, event.at, &effect.host));
            }
        }
    }
    for (slice, mut held) in writes {
        held.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut former: Vec<&str> = Vec::new();
        let mut owner: Option<(&str, f64)> = None;
        for (began, ended, host) in held {
            let wrong = match owner {
                Some((present, until)) if present != host => {
                    former.push(present);
                    began < until || former.contains(&host)
                }
                _ => false,
            };
            let until = owner.filter(|(present, _)| *present == host).map_or(ended, |(_, u)| u.max(ended));
            owner = Some((host, until));
            verdict.look(began, if wrong { 2.0 } else { 0.0 }, || {
                format!("a write of slice {slice} was with {host}, which does not own it alone")
            });
        }
    }
}
