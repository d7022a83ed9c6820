//! The state that a node keeps about each other node besides its entry: when it was last seen, how well it answers
//! probes, and which nodes suspect it.
use crate::member::Load;
use crate::probe_score::ProbeScore;
use crate::{NodeId, Seconds};
use std::collections::BTreeSet;

/// Seconds after which a dead member is probed for the first time. The interval doubles with each probe.
const DEAD_PROBE_INTERVAL: Seconds = 0.5;
/// Longest interval in seconds between two probes of a dead member.
const MAX_DEAD_PROBE_INTERVAL: Seconds = 8.0;

/// The state kept about one other node.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// When its status changed.
    pub(super) status_since: Seconds,
    /// When its latest message arrived.
    pub(super) last_seen_at: Seconds,
    /// Process number of that message.
    pub(super) process: u64,
    /// Sequence number of that message.
    pub(super) sequence: u64,
    pub(super) load: Load,
    /// Whether a majority votes for it as the outlier.
    pub(super) ejected: bool,
    pub(super) probe_score: ProbeScore,
    /// Its vote for a slow member.
    pub(super) outlier_vote: Option<OutlierVote>,
    /// The nodes that suspect it because their own probes of it failed.
    pub(super) suspected_by: BTreeSet<NodeId>,
    /// When it is probed next if it is dead.
    pub(super) dead_probe_at: Seconds,
    /// Seconds between two probes of it if it is dead, without jitter.
    pub(super) dead_probe_interval: Seconds,
}

/// A node's vote for the member whose probe score is an outlier.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutlierVote {
    /// The member that is voted for.
    pub(super) id: NodeId,
    /// When the vote arrived.
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

    /// Restarts the timers of the peer's status after a change.
    pub(super) fn on_status_change(&mut self, now: Seconds) {
        self.status_since = now;
        self.dead_probe_interval = DEAD_PROBE_INTERVAL;
        self.dead_probe_at = now + DEAD_PROBE_INTERVAL;
    }

    /// Schedules the next probe of a dead member, which is being probed now. `jitter` is a factor on the interval.
    pub(super) fn schedule_dead_probe(&mut self, now: Seconds, jitter: f64) {
        self.dead_probe_interval = (self.dead_probe_interval * 2.0).min(MAX_DEAD_PROBE_INTERVAL);
        self.dead_probe_at = now + self.dead_probe_interval * jitter;
    }

    /// This node was paused until now, or its clock jumped: restarts timers so that the time before does not count.
    pub(super) fn resume(&mut self, now: Seconds) {
        self.status_since = now;
        self.last_seen_at = self.last_seen_at.min(now);
        self.dead_probe_at = self.dead_probe_at.min(now + self.dead_probe_interval);
    }
}
