//! When the seed addresses are tried: often while the node is alone, seldom while others live.
use crate::Seconds;

/// Seconds between two tries to join while no live member is known, at first.
const JOIN_RETRY_INTERVAL: Seconds = 0.3;
/// Growth of that interval with each try.
const JOIN_RETRY_GROWTH: f64 = 1.5;
/// The longest it grows to, in seconds.
const MAX_JOIN_RETRY_INTERVAL: Seconds = 3.0;
/// Seconds between two probes of a seed while others live, at first; doubled each time. A newcomer meets those whom
/// the member it joined by cannot reach, and halves that have forgotten each other meet at all.
const REJOIN_INTERVAL: Seconds = 5.0;
/// The longest it grows to, in seconds.
const MAX_REJOIN_INTERVAL: Seconds = 60.0;

/// When the seed addresses are tried next.
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

    /// No live member is known: the next try does not wait for the long interval of one that has company.
    pub(super) fn on_no_live_peers(&mut self, now: Seconds) {
        self.next_at = self.next_at.min(now + self.retry_interval);
    }

    /// All seeds were tried, without a live member known.
    pub(super) fn on_join_attempt(&mut self, now: Seconds, jitter: f64) {
        self.next_at = now + self.retry_interval * jitter;
        self.retry_interval = (self.retry_interval * JOIN_RETRY_GROWTH).min(MAX_JOIN_RETRY_INTERVAL);
        self.rejoin_interval = REJOIN_INTERVAL;
    }

    /// One seed was probed while others live.
    pub(super) fn on_rejoin_attempt(&mut self, now: Seconds, jitter: f64) {
        self.next_at = now + self.rejoin_interval * jitter;
        self.retry_interval = JOIN_RETRY_INTERVAL;
        self.rejoin_interval = (self.rejoin_interval * 2.0).min(MAX_REJOIN_INTERVAL);
    }

    /// The node stood still until now, or its clock was set.
    pub(super) fn resume(&mut self, now: Seconds) {
        self.next_at = self.next_at.min(now + MAX_REJOIN_INTERVAL);
    }
}
