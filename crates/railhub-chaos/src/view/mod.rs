//! What stewards hold of each other while things fail: played in simulated time ([`sim`]) or on real processes
//! (`crate::bed`), and judged from what was seen ([`judge`]), which is the same for both.
pub mod heartbeat;
pub mod judge;
pub mod sim;

use crate::faults::{Fault, What};
use serde::Serialize;
use std::collections::BTreeSet;

/// Seconds after the last fault within which every view must be true again. The dead are asked at least every 9.6 s,
/// a death is found within some 4 s by one that fares badly itself, and a word comes round within 1 s.
pub const SETTLES_WITHIN: f64 = 15.0;
/// Seconds that are watched after that.
pub const WATCHED: f64 = 4.0;

/// One process of a run: a steward that starts again is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Node(pub usize);

/// What is seen of a run from outside. Times are seconds of the run.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Seen {
    Up {
        at: f64,
        node: Node,
        steward: u16,
    },
    Down {
        at: f64,
        node: Node,
        steward: u16,
    },
    Fault {
        at: f64,
        on: bool,
        fault: What,
    },
    /// What a process answers to one who looks: its own name, its process number, and whom it holds to live or not.
    View {
        at: f64,
        node: Node,
        steward: u16,
        process: u64,
        yielded: bool,
        living: Vec<(u16, u64)>,
        gone: Vec<(u16, u64)>,
    },
    /// The first word that crossed of a steward being dead under an incarnation.
    Dead {
        at: f64,
        by: u16,
        about: u16,
        process: u64,
        count: u64,
    },
    /// The whole seconds of the run in which words about a third were passed on.
    News {
        at: f64,
        seconds: BTreeSet<u32>,
    },
    /// Seconds of processor time that a process took from its start to its end, or to the end of the run.
    Cost {
        at: f64,
        node: Node,
        processor: f64,
    },
    /// What all stewards sent in the whole run, the longest datagram, and the share that is always lost.
    Sent {
        at: f64,
        datagrams: u64,
        bytes: u64,
        longest: usize,
        lost: f64,
    },
}

impl Seen {
    pub fn at(&self) -> f64 {
        match self {
            Seen::Up { at, .. }
            | Seen::Down { at, .. }
            | Seen::Fault { at, .. }
            | Seen::View { at, .. }
            | Seen::Dead { at, .. }
            | Seen::News { at, .. }
            | Seen::Cost { at, .. }
            | Seen::Sent { at, .. } => *at,
        }
    }
}

/// When a run with such faults ends.
pub fn ends(length: f64, faults: &[Fault]) -> f64 {
    let last = faults.iter().map(|fault| fault.at + fault.long).fold(0.0, f64::max);
    // Time for processes that start again, for the last of a replay, and for a flap's last half turn.
    length.max(last + 2.0 + SETTLES_WITHIN + WATCHED)
}

/// The faults of a run at the times at which they were seen to begin and to end. One that is never seen to end has
/// the length that it was given.
pub fn measured(events: &[Seen], planned: &[Fault]) -> Vec<Fault> {
    let mut faults: Vec<Fault> = Vec::new();
    let mut over: Vec<bool> = Vec::new();
    for event in events {
        let Seen::Fault { at, on, fault } = event else { continue };
        if *on {
            let long = planned.iter().find(|known| known.what == *fault).map_or(0.0, |known| known.long);
            faults.push(Fault { at: *at, long, what: fault.clone() });
            over.push(false);
        } else if let Some(place) = (0..faults.len()).find(|n| !over[*n] && faults[*n].what == *fault) {
            faults[place].long = at - faults[place].at;
            over[place] = true;
        }
    }
    faults
}

/// Whether a fault may make someone be held for dead who lives.
pub fn disturbs(what: &What) -> bool {
    match what {
        What::Links { faults } => faults.lost >= 0.05 || faults.delay + faults.jitter > 0.06,
        What::Flood { .. } | What::Replay | What::Apart { .. } => false,
        _ => true,
    }
}
