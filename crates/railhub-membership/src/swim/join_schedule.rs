//! When the seed addresses are probed: often while no other live member is known, seldom otherwise.
use crate::Seconds;

/// First interval in seconds between two join attempts while no other live member is known.
const JOIN_RETRY_INTERVAL: Seconds = 0.3;
/// Factor by which that interval grows with each attempt.
const JOIN_RETRY_GROWTH: f64 = 1.5;
/// The longest such interval in seconds.
const MAX_JOIN_RETRY_INTERVAL: Seconds = 3.0;
/// First interval in seconds between two probes of a seed while other members are live; doubled with each probe. These
/// probes let a new node find members that the node through which it joined cannot reach, and reunite the sides of a
/// partition that have forgotten each other.
const REJOIN_INTERVAL: Seconds = 5.0;
/// The longest such interval in seconds.
const MAX_REJOIN_INTERVAL: Seconds = 60.0;

/// The schedule of probes to the seed addresses.
#[derive(Clone, Copy, Debug)]
pub(super) struct JoinSchedule {
    next_at: Seconds,
    retry_interval: Seconds,
    rejoin_interval: Seconds,
}

impl JoinSchedule {
    pub(super) fn new(now: Seconds) -> JoinSchedule {
        JoinSchedule { next_at: now, retry_interval: JOIN_RETRY_INTERVAL, rejoin_interval: REJOIN_INTERVAL }
    }

    pub(super) fn is_due(&self, now: Seconds) -> bool {
        now >= self.next_at
    }

    /// No other live member is known: brings the next attempt forward from the long rejoin interval.
    pub(super) fn on_no_live_peers(&mut self, now: Seconds) {
        self.next_at = self.next_at.min(now + self.retry_interval);
    }

    /// All seeds were probed because no other live member is known.
    pub(super) fn on_join_attempt(&mut self, now: Seconds, jitter: f64) {
        self.next_at = now + self.retry_interval * jitter;
        self.retry_interval = (self.retry_interval * JOIN_RETRY_GROWTH).min(MAX_JOIN_RETRY_INTERVAL);
        self.rejoin_interval = REJOIN_INTERVAL;
    }

    /// One seed was probed while other members are live.
    pub(super) fn on_rejoin_attempt(&mut self, now: Seconds, jitter: f64) {
        self.next_at = now + self.rejoin_interval * jitter;
        self.retry_interval = JOIN_RETRY_INTERVAL;
        self.rejoin_interval = (self.rejoin_interval * 2.0).min(MAX_REJOIN_INTERVAL);
    }

    /// The node was paused until now, or its clock jumped: limits the time to the next attempt.
    pub(super) fn resume(&mut self, now: Seconds) {
        self.next_at = self.next_at.min(now + MAX_REJOIN_INTERVAL);
    }
}
