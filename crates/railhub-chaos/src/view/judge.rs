//! Judges a run of views from what was seen alone. It knows who was up, what each process answered and which words of
//! death crossed; nothing of rumours, suspicion or counts.
use crate::judge::Breach;
use crate::view::{disturbs, Node, Seen, SETTLES_WITHIN};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds without trouble before a death that is told of one that lives is slander.
const QUIET: f64 = 12.0;
/// Share that is always lost from which on the living may be called dead, and words never end.
const LOSSY: f64 = 0.05;
/// Bytes that no datagram may exceed.
const LONGEST: usize = 1400;

pub const SETTLES: &str = "settles";
pub const NO_SPLIT: &str = "no lasting split";
pub const NO_LIFE_AFTER_DEATH: &str = "no life after death";
pub const NO_SLANDER: &str = "no slander";
pub const RUMOURS_END: &str = "rumours end";
pub const ONE_OF_A_NAME: &str = "one of a name";

/// A poll, as the judge keeps it.
struct Poll<'a> {
    at: f64,
    node: Node,
    steward: u16,
    process: u64,
    yielded: bool,
    living: &'a [(u16, u64)],
}

/// What the run was like, besides being right or wrong. Times in seconds.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct ViewFigures {
    /// From the last fault to the last view that was not true; `None`: it never settled.
    pub settled: Option<f64>,
    /// For each death and each process that lived on: until it showed it.
    pub known: Vec<f64>,
    /// Words of death about processes that lived, whatever went on.
    pub slanders: u64,
    /// A steward and second.
    pub datagrams: f64,
    pub bytes: f64,
    /// Share of a core a steward, where processes were real.
    pub processor: Option<f64>,
    pub polls: usize,
}

struct Run<'a> {
    events: &'a [Seen],
    polls: Vec<Poll<'a>>,
    up: BTreeMap<Node, (u16, f64, f64)>,
    /// When trouble was, and whether it may make the living look dead.
    troubles: Vec<(f64, f64, bool)>,
    end: f64,
}

impl<'a> Run<'a> {
    fn read(events: &'a [Seen]) -> Run<'a> {
        let mut run = Run { events, polls: Vec::new(), up: BTreeMap::new(), troubles: Vec::new(), end: 0.0 };
        let mut on: Vec<(f64, &crate::What)> = Vec::new();
        for event in events {
            match event {
                Seen::Up { at, node, steward } => {
                    run.up.insert(*node, (*steward, *at, f64::INFINITY));
                    run.troubles.push((*at, *at, true));
                }
                Seen::Down { at, node, .. } => {
                    run.up.entry(*node).and_modify(|up| up.2 = *at);
                    run.troubles.push((*at, *at, true));
                }
                Seen::Fault { at, on: true, fault } => on.push((*at, fault)),
                Seen::Fault { at, on: false, fault } => {
                    if let Some(place) = on.iter().position(|(_, known)| *known == fault) {
                        let (since, fault) = on.remove(place);
                        run.troubles.push((since, *at, disturbs(fault)));
                    }
                }
                Seen::View { at, node, steward, process, yielded, living, .. } => {
                    let (at, node, steward, process) = (*at, *node, *steward, *process);
                    run.polls.push(Poll { at, node, steward, process, yielded: *yielded, living });
                    run.end = run.end.max(at);
                }
                _ => {}
            }
        }
        run.troubles.extend(on.into_iter().map(|(since, fault)| (since, f64::INFINITY, disturbs(fault))));
        run
    }

    fn last_trouble(&self) -> f64 {
        self.troubles.iter().map(|trouble| trouble.1).fold(0.0, f64::max)
    }

    /// The processes that live at the end, without those that say that they stood back for another of their name.
    fn living(&self) -> BTreeMap<u16, (Node, u64)> {
        let mut latest: BTreeMap<Node, &Poll> = BTreeMap::new();
        self.polls.iter().for_each(|poll| _ = latest.insert(poll.node, poll));
        let lives = latest.values().filter(|poll| self.is_up(poll.node) && !poll.yielded);
        lives.map(|poll| (poll.steward, (poll.node, poll.process))).collect()
    }

    fn is_up(&self, node: Node) -> bool {
        self.up.get(&node).is_some_and(|up| up.2 == f64::INFINITY)
    }

    /// The longest datagram, and the share that is always lost.
    fn sent(&self) -> Option<(usize, f64)> {
        self.events.iter().find_map(|event| match event {
            Seen::Sent { longest, lost, .. } => Some((*longest, *lost)),
            _ => None,
        })
    }

    /// So much is always lost that suspicions come and go for ever.
    fn is_lossy(&self) -> bool {
        self.sent().is_some_and(|(_, lost)| lost >= LOSSY)
    }

    fn truth(&self) -> Vec<(u16, u64)> {
        self.living().into_iter().map(|(steward, (_, process))| (steward, process)).collect()
    }
}

/// The first breach of each rule.
pub fn judge(events: &[Seen]) -> Vec<Breach> {
    let run = Run::read(events);
    let mut breaches: Vec<Breach> = Vec::new();
    for found in
        [settles(&run), one_of_a_name(&run), life_after_death(&run), slander(&run), rumours_end(&run)]
    {
        breaches.extend(found);
    }
    breaches
}

fn breach(rule: &'static str, at: f64, what: String) -> Option<Breach> {
    Some(Breach { rule, at, what })
}

/// Within the bound after the last trouble each process that lives shows the truth, and goes on showing it.
fn settles(run: &Run) -> Option<Breach> {
    let by = run.last_trouble() + SETTLES_WITHIN;
    let truth = run.truth();
    if run.end < by {
        let what = format!("the run was watched until {:.2} s only, {by:.2} s are needed", run.end);
        return breach(SETTLES, run.end, what);
    }
    for node in run.up.keys().filter(|node| run.is_up(**node)) {
        let polls = run.polls.iter().filter(|poll| poll.node == *node && poll.at >= by);
        let polls: Vec<&Poll> = polls.collect();
        let steward = run.up[node].0;
        if polls.is_empty() {
            return breach(SETTLES, run.end, format!("steward {steward} shows no view after {by:.2} s"));
        }
        let wrong = polls.iter().find(|poll| !poll.yielded && poll.living != truth);
        if let Some(poll) = wrong {
            let lacks = truth.iter().any(|(id, _)| poll.living.iter().all(|(known, _)| known != id));
            let rule = if lacks { NO_SPLIT } else { SETTLES };
            let what = format!(
                "steward {steward} holds {:?} to live, true is {truth:?}, {:.2} s after the last trouble",
                poll.living,
                poll.at - run.last_trouble()
            );
            return breach(rule, poll.at, what);
        }
    }
    None
}

/// Of two processes with one name one stands back within the bound.
fn one_of_a_name(run: &Run) -> Option<Breach> {
    let by = run.last_trouble() + SETTLES_WITHIN;
    let mut holders: BTreeMap<u16, BTreeSet<Node>> = BTreeMap::new();
    for poll in run.polls.iter().filter(|poll| poll.at >= by && !poll.yielded && run.is_up(poll.node)) {
        holders.entry(poll.steward).or_default().insert(poll.node);
    }
    let twice = holders.into_iter().find(|(_, nodes)| nodes.len() > 1)?;
    breach(ONE_OF_A_NAME, run.end, format!("steward {}: processes {:?} both take part", twice.0, twice.1))
}

/// Who has shown a process to live never shows an older one of that steward, nor one that it had forgotten.
fn life_after_death(run: &Run) -> Option<Breach> {
    let mut newest: BTreeMap<(Node, u16), u64> = BTreeMap::new();
    let mut buried: BTreeMap<(Node, u16), u64> = BTreeMap::new();
    let mut held_gone: BTreeMap<(Node, u16), u64> = BTreeMap::new();
    for event in run.events {
        let Seen::View { at, node, living, gone, .. } = event else { continue };
        for (steward, process) in living {
            let known = newest.entry((*node, *steward)).or_default();
            if process < known {
                let what =
                    format!("{node:?} holds process {process} of steward {steward} to live after {known}");
                return breach(NO_LIFE_AFTER_DEATH, *at, what);
            }
            *known = *process;
            if buried.get(&(*node, *steward)).is_some_and(|tomb| process <= tomb) {
                let what = format!("{node:?} had forgotten process {process} of steward {steward}");
                return breach(NO_LIFE_AFTER_DEATH, *at, what);
            }
        }
        let shown: BTreeSet<u16> = living.iter().chain(gone).map(|(steward, _)| *steward).collect();
        for ((who, steward), process) in &held_gone {
            if who == node && !shown.contains(steward) {
                buried.insert((*who, *steward), *process);
            }
        }
        held_gone.extend(gone.iter().map(|(steward, process)| ((*node, *steward), *process)));
    }
    None
}

/// Words of death about a process that is up.
fn slanders<'a>(run: &'a Run) -> impl Iterator<Item = (f64, u16, u16, u64)> + 'a {
    run.events.iter().filter_map(|event| match event {
        Seen::Dead { at, by, about, process, .. } => {
            let own = |poll: &&Poll| poll.steward == *about && poll.process == *process;
            let lived = run.polls.iter().filter(own).any(|poll| {
                let (_, since, until) = run.up.get(&poll.node).copied().unwrap_or((0, 0.0, 0.0));
                (since..until).contains(at)
            });
            lived.then_some((*at, *by, *about, *process))
        }
        _ => None,
    })
}

fn slander(run: &Run) -> Option<Breach> {
    if run.is_lossy() {
        return None;
    }
    let quiet = |at: f64| {
        let disturbed = |trouble: &&(f64, f64, bool)| trouble.2 && trouble.0 <= at && at < trouble.1 + QUIET;
        !run.troubles.iter().any(|trouble| disturbed(&trouble))
    };
    let (at, by, about, process) = slanders(run).find(|word| quiet(word.0))?;
    let what = format!(
        "steward {by} says that process {process} of steward {about} is dead: it lives, all is quiet"
    );
    breach(NO_SLANDER, at, what)
}

/// When all is settled there is a second in which nothing is passed on (a message that is lost may start a word anew,
/// which is over within a second), and no datagram is ever longer than a frame.
fn rumours_end(run: &Run) -> Option<Breach> {
    let longest = run.sent().map(|(longest, _)| longest);
    if let Some(longest) = longest.filter(|longest| *longest > LONGEST) {
        return breach(RUMOURS_END, run.end, format!("a datagram of {longest} bytes"));
    }
    if run.is_lossy() {
        return None;
    }
    let busy = run.events.iter().find_map(|event| match event {
        Seen::News { seconds, .. } => Some(seconds),
        _ => None,
    })?;
    let by = run.last_trouble() + SETTLES_WITHIN;
    let mut watched = by.ceil() as u32..run.end.floor() as u32;
    let (from, until) = (watched.start, watched.end);
    let endless = watched.len() >= 2 && watched.all(|second| busy.contains(&second));
    if !endless {
        return None;
    }
    breach(RUMOURS_END, by, format!("news go round in every second from {from} to {until}"))
}

pub fn figures(events: &[Seen]) -> ViewFigures {
    let run = Run::read(events);
    let truth = run.truth();
    let last = run.last_trouble();
    let wrong = run
        .polls
        .iter()
        .filter(|poll| poll.at >= last && !poll.yielded && run.is_up(poll.node) && poll.living != truth);
    let last_wrong = wrong.map(|poll| poll.at).fold(last, f64::max);
    let (datagrams, bytes, until) = (events.iter())
        .find_map(|event| match event {
            Seen::Sent { at, datagrams, bytes, .. } => Some((*datagrams as f64, *bytes as f64, *at)),
            _ => None,
        })
        .unwrap_or((0.0, 0.0, 1.0));
    let lived: f64 = run.up.values().map(|(_, since, end)| end.min(until) - since).sum();
    let cost = |event: &Seen| match event {
        Seen::Cost { processor, .. } => Some(*processor),
        _ => None,
    };
    let costs: Vec<f64> = events.iter().filter_map(cost).collect();
    ViewFigures {
        settled: (last_wrong < run.end - 0.3).then_some(last_wrong - last),
        known: known(&run),
        slanders: slanders(&run).count() as u64,
        datagrams: datagrams / lived.max(1.0),
        bytes: bytes / lived.max(1.0),
        processor: (!costs.is_empty()).then(|| costs.iter().sum::<f64>() / lived.max(1.0)),
        polls: run.polls.len(),
    }
}

/// For each death without a follower within the next seconds, and each process that lived through them.
fn known(run: &Run) -> Vec<f64> {
    let mut all = Vec::new();
    for (steward, _, died) in run.up.values().filter(|up| up.2.is_finite()) {
        let followed = run.up.values().any(|up| up.0 == *steward && up.1 >= *died && up.1 < died + QUIET);
        if followed || run.end < died + QUIET {
            continue;
        }
        for (viewer, (_, since, until)) in &run.up {
            if *since < died - 2.0 && *until > died + QUIET {
                let holds = |poll: &&Poll| {
                    poll.node == *viewer
                        && (*died..died + QUIET).contains(&poll.at)
                        && poll.living.iter().any(|(id, _)| id == steward)
                };
                let last = run.polls.iter().filter(holds).map(|poll| poll.at).fold(*died, f64::max);
                all.push(last - died);
            }
        }
    }
    all
}
