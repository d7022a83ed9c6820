//! What a node keeps of each other one besides its entry: when it was last seen, how it answers, who suspects it.
use crate::member::Load;
use crate::probe_score::ProbeScore;
use crate::{NodeId, Seconds};
use std::collections::BTreeSet;

/// Seconds until a dead member is probed for the first time.
const DEAD_PROBE_INTERVAL: Seconds = 0.5;
/// Longest time in seconds between two probes of a dead member; it doubles up to here.
const MAX_DEAD_PROBE_INTERVAL: Seconds = 8.0;

/// How one other node is watched.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// When its status changed.
    pub(super) status_since: Seconds,
    /// When its own last message came, and the process and sequence number of that message.
    pub(super) last_seen_at: Seconds,
    pub(super) process: u64,
    pub(super) sequence: u64,
    pub(super) load: Load,
    /// A majority names it as their outlier.
    pub(super) ejected: bool,
    pub(super) probe_score: ProbeScore,
    /// The member that it names as its outlier, and when it did so.
    pub(super) outlier_vote: Option<OutlierVote>,
    /// The nodes that suspect it, each by a probe of its own.
    pub(super) suspected_by: BTreeSet<NodeId>,
    /// When it is probed next, once it is dead, and the time to the probe after that.
    pub(super) dead_probe_at: Seconds,
    pub(super) dead_probe_interval: Seconds,
}

/// A vote for the member that stands out.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutlierVote {
    pub(super) id: NodeId,
    pub(super) at: Seconds,
}

impl Peer {
    pub(super) fn new(now: Seconds) -> Peer {
        Peer {
            status_since: now,
            last_seen_at: f64::NEG_INFINITY,
            process: 0,
            sequence: 0,
            load: Load::default(),
            ejected: false,
            probe_score: ProbeScore::new(now),
            outlier_vote: None,
            suspected_by: BTreeSet::new(),
            dead_probe_at: now + DEAD_PROBE_INTERVAL,
            dead_probe_interval: DEAD_PROBE_INTERVAL,
        }
    }

    /// Its status has changed.
    pub(super) fn on_status_change(&mut self, now: Seconds) {
        self.status_since = now;
        self.dead_probe_interval = DEAD_PROBE_INTERVAL;
        self.dead_probe_at = now + DEAD_PROBE_INTERVAL;
    }

    /// It is probed as a dead member now; `jitter` is a factor on the time to the next probe.
    pub(super) fn schedule_dead_probe(&mut self, now: Seconds, jitter: f64) {
        self.dead_probe_interval = (self.dead_probe_interval * 2.0).min(MAX_DEAD_PROBE_INTERVAL);
        self.dead_probe_at = now + self.dead_probe_interval * jitter;
    }

    /// This node stood still until now, or its clock was set: time before counts for nothing.
    pub(super) fn resume(&mut self, now: Seconds) {
        self.status_since = now;
        self.last_seen_at = self.last_seen_at.min(now);
        self.dead_probe_at = self.dead_probe_at.min(now + self.dead_probe_interval);
    }
}
