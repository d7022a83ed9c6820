//! Judges a run from what was seen of it.
use crate::world::Event;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds that a message of the store may be under way: until then a steward cannot know of a newer grant.
const UNDER_WAY: f64 = 0.01;

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Breach {
    pub rule: &'static str,
    pub at: f64,
    pub what: String,
}

pub const ONE_STEWARD: &str = "one steward a slice and epoch";
pub const NEVER_BACK: &str = "no proxy goes back to an earlier epoch";
pub const NOT_TWICE: &str = "no order taken twice";
pub const NOT_PAST: &str = "nothing decided past the lease";

/// The first breach of each rule.
pub fn judge(events: &[Event]) -> Vec<Breach> {
    let mut owners: BTreeMap<(u16, u64), u64> = BTreeMap::new();
    let mut obeyed: BTreeMap<(u16, u16), u64> = BTreeMap::new();
    let mut taken: BTreeSet<(u16, u64)> = BTreeSet::new();
    let mut granted: BTreeMap<u16, (f64, u64, u64)> = BTreeMap::new();
    let mut breaches: Vec<Breach> = Vec::new();
    let mut breach = |rule: &'static str, at: f64, what: String| {
        if breaches.iter().all(|breach| breach.rule != rule) {
            breaches.push(Breach { rule, at, what });
        }
    };
    for event in events {
        match *event {
            Event::Granted { at, slice, epoch, process } => _ = granted.insert(slice, (at, epoch, process)),
            Event::Ordered { at, slice, epoch, process, sane_clock } => {
                let owner = *owners.entry((slice, epoch)).or_insert(process);
                if owner != process {
                    let what =
                        format!("slice {slice}, epoch {epoch}: ordered by processes {owner} and {process}");
                    breach(ONE_STEWARD, at, what);
                }
                let newer = granted.get(&slice).filter(|(_, _, holder)| *holder != process);
                if let Some((since, newer, holder)) =
                    newer.filter(|(since, ..)| sane_clock && at - since > UNDER_WAY)
                {
                    let late = at - since;
                    let what = format!(
                        "slice {slice}: process {process} decides under epoch {epoch}, {late:.2} s after \
                         epoch {newer} was granted to {holder}"
                    );
                    breach(NOT_PAST, at, what);
                }
            }
            Event::Obeyed { at, proxy, slice, epoch, process, number } => {
                let newest = obeyed.entry((proxy, slice)).or_default();
                if epoch < *newest {
                    let what = format!(
                        "proxy {proxy}, slice {slice}: obeys process {process} under epoch {epoch} after epoch {newest}"
                    );
                    breach(NEVER_BACK, at, what);
                }
                *newest = epoch.max(*newest);
                if !taken.insert((proxy, number)) {
                    breach(
                        NOT_TWICE,
                        at,
                        format!("proxy {proxy}: order {number} of process {process} taken twice"),
                    );
                }
            }
            Event::Steward { .. } => {}
        }
    }
    breaches
}

/// How long slices were without anyone who decides for them, after a death.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Figures {
    /// Seconds, one for each slice that a dead steward had decided for and another took up.
    pub taken_up: Vec<f64>,
    /// Changes of hands, but for the first time.
    pub handed: u64,
}

pub fn figures(events: &[Event]) -> Figures {
    let mut last: BTreeMap<u16, u64> = BTreeMap::new();
    let mut waits: BTreeMap<u16, f64> = BTreeMap::new();
    let mut figures = Figures::default();
    for event in events {
        match *event {
            Event::Ordered { at, slice, process, .. } => {
                let before = last.insert(slice, process);
                figures.handed += u64::from(before.is_some_and(|before| before != process));
                figures.taken_up.extend(waits.remove(&slice).map(|since| at - since));
            }
            Event::Steward { at, process, up: false, .. } => {
                let of = last.iter().filter(|(_, holder)| **holder == process).map(|(slice, _)| *slice);
                waits.extend(of.map(|slice| (slice, at)));
            }
            _ => {}
        }
    }
    figures
}
