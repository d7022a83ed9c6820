//! Judges a view run by its observations alone. The judge knows which processes were up, the views that each one showed and
//! which deaths were declared; it has no knowledge of how gossip, suspicion and incarnations work.
pub(crate) mod false_deaths;
pub(crate) mod history;
mod resurrection;

use crate::breach::Breach;
use crate::view::observation::{Node, ViewObservation};
use false_deaths::false_deaths;
use history::History;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds without a disturbance after which a false death breaks a rule.
const QUIET_TIME: f64 = 12.0;
/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 1400;

/// The rule that all views are correct within the settling timeout after the last disturbance.
pub const SETTLES: &str = "settles";
/// The rule that no live member is missing from a view after the settling timeout.
pub const NO_SPLIT: &str = "no lasting split";
/// The rule that a view never returns to an older process of a member, or to one that it had forgotten.
pub const NO_RESURRECTION: &str = "no life after death";
/// The rule that no live process is declared dead in the absence of disturbances.
pub const NO_FALSE_DEATH: &str = "no slander";
/// The rule that gossip ends, and that no datagram exceeds the maximum size.
pub const GOSSIP_ENDS: &str = "rumours end";
/// The rule that of two processes with the same id, one becomes inactive.
pub const ONE_PROCESS_PER_ID: &str = "one of a name";

/// Returns the first breach of each rule.
pub fn judge(observations: &[ViewObservation]) -> Vec<Breach> {
    let history = History::new(observations);
    let breaches = [
        not_settled(&history),
        two_processes_of_one_id(&history),
        resurrection::life_after_death(observations),
        false_death(&history),
        long_datagram(&history).or_else(|| endless_gossip(&history)),
    ];
    breaches.into_iter().flatten().collect()
}

/// Checks that from the settling timeout on, the views of all live processes are correct.
fn not_settled(history: &History) -> Option<Breach> {
    let settled_by = history.settled_by();
    if history.end < settled_by {
        let description =
            format!("the run was watched until {:.2} s only, {settled_by:.2} s are needed", history.end);
        return Some(Breach { rule: SETTLES, at: history.end, description });
    }
    let actual_members = history.actual_members();
    let mut live = history.lifetimes.iter().filter(|(node, _)| history.is_up_at_end(**node));
    live.find_map(|(node, lifetime)| incorrect_view(history, *node, lifetime.controller, &actual_members))
}

fn incorrect_view(
    history: &History,
    node: Node,
    controller: u16,
    actual_members: &[(u16, u64)],
) -> Option<Breach> {
    let settled_by = history.settled_by();
    let mut polls = history.polls.iter().filter(|poll| poll.node == node && poll.at >= settled_by).peekable();
    if polls.peek().is_none() {
        let description = format!("steward {controller} shows no view after {settled_by:.2} s");
        return Some(Breach { rule: SETTLES, at: history.end, description });
    }
    let incorrect = polls.find(|poll| !poll.superseded && poll.alive != actual_members)?;
    let is_shown = |id: u16| incorrect.alive.iter().any(|(shown, _)| *shown == id);
    let lacks_member = actual_members.iter().any(|(id, _)| !is_shown(*id));
    let rule = if lacks_member { NO_SPLIT } else { SETTLES };
    let description = format!(
        "steward {controller} holds {:?} to live, true is {actual_members:?}, {:.2} s after the last trouble",
        incorrect.alive,
        incorrect.at - history.last_disturbance()
    );
    Some(Breach { rule, at: incorrect.at, description })
}

/// Checks that of two processes with the same id, one is superseded within the settling timeout.
fn two_processes_of_one_id(history: &History) -> Option<Breach> {
    let settled_by = history.settled_by();
    let mut active_nodes: BTreeMap<u16, BTreeSet<Node>> = BTreeMap::new();
    for poll in &history.polls {
        if poll.at >= settled_by && !poll.superseded && history.is_up_at_end(poll.node) {
            active_nodes.entry(poll.controller).or_default().insert(poll.node);
        }
    }
    let (controller, nodes) = active_nodes.into_iter().find(|(_, nodes)| nodes.len() > 1)?;
    let description = format!("steward {controller}: processes {nodes:?} both take part");
    Some(Breach { rule: ONE_PROCESS_PER_ID, at: history.end, description })
}

fn false_death(history: &History) -> Option<Breach> {
    if history.is_lossy() {
        return None;
    }
    let death = false_deaths(history).find(|death| history.is_quiet(death.at, QUIET_TIME))?;
    let description = format!(
        "steward {} says that process {} of steward {} is dead: it lives, all is quiet",
        death.declared_by, death.process, death.subject
    );
    Some(Breach { rule: NO_FALSE_DEATH, at: death.at, description })
}

fn long_datagram(history: &History) -> Option<Breach> {
    let longest = history.sent_totals()?.longest;
    if longest <= MAX_DATAGRAM_BYTES {
        return None;
    }
    let description = format!("a datagram of {longest} bytes");
    Some(Breach { rule: GOSSIP_ENDS, at: history.end, description })
}

/// Checks that there is a second without gossip about third members once views have settled. Single seconds with gossip
/// are allowed, because a lost message may cause an entry to be gossiped again, which ends within a second.
fn endless_gossip(history: &History) -> Option<Breach> {
    if history.is_lossy() {
        return None;
    }
    let gossip_seconds = history.observations.iter().find_map(|observation| match observation {
        ViewObservation::GossipSeconds { seconds, .. } => Some(seconds),
        _ => None,
    })?;
    let settled_by = history.settled_by();
    let first = settled_by.ceil() as u32;
    let end = history.end.floor() as u32;
    let mut observed_seconds = first..end;
    let is_endless =
        observed_seconds.len() >= 2 && observed_seconds.all(|second| gossip_seconds.contains(&second));
    if !is_endless {
        return None;
    }
    let description = format!("news go round in every second from {first} to {end}");
    Some(Breach { rule: GOSSIP_ENDS, at: settled_by, description })
}
