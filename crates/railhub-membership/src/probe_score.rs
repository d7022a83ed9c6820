//! How well one member answers probes. A slow member acknowledges probes, but late, so no suspicion of it ends in its
//! death. Late and missing acknowledgements are therefore scored like failures of hosts: the score rises at once and
//! falls gradually.
use crate::Seconds;

/// Ack timeout, after which indirect probes are requested, in multiples of the mean round trip.
const ACK_TIMEOUT_MULTIPLE: f64 = 8.0;
/// Shortest ack timeout in seconds. A round trip takes about 1 ms within a data centre, and about 10 ms to a busy node.
pub const MIN_ACK_TIMEOUT: Seconds = 0.08;
/// Time constant in seconds of the decaying mean: a round trip counts for 1/e after it.
const ROUND_TRIP_DECAY_TIME: Seconds = 10.0;
/// Score of a member whose failure fraction is too high.
const MAX_SCORE: f64 = 100.0;
/// Points by which the score falls per second while the failure fraction is acceptable.
const SCORE_RECOVERY_PER_SECOND: f64 = 8.0;
/// Points by which the highest score must exceed the second highest for its member to be the outlier.
pub const OUTLIER_SCORE_GAP: f64 = 30.0;
/// Highest acceptable fraction of late or missing acknowledgements.
const MAX_FAILURE_FRACTION: f64 = 0.3;
/// Probes over which that fraction is averaged, so that one lost message does not make a member count as slow.
const FAILURE_WINDOW_PROBES: f64 = 6.0;

/// Round trips and failures of the probes of one member, and the score that follows from them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeScore {
    round_trips: f64,
    round_trip_sum: Seconds,
    summed_at: Seconds,
    failure_fraction: f64,
    score: f64,
    scored_at: Seconds,
}

impl ProbeScore {
    /// The score of a member that is probed from `now` on.
    pub fn new(now: Seconds) -> ProbeScore {
        ProbeScore { scored_at: now, ..ProbeScore::default() }
    }

    /// The score, from 0 (answers in time) to 100 (too many late or missing acknowledgements).
    pub fn score(&self) -> f64 {
        self.score
    }

    /// Records an acknowledgement that arrived after `round_trip` seconds.
    pub fn record_round_trip(&mut self, now: Seconds, round_trip: Seconds) {
        let decay = (-(now - self.summed_at).max(0.0) / ROUND_TRIP_DECAY_TIME).exp();
        self.round_trips = self.round_trips * decay + 1.0;
        self.round_trip_sum = self.round_trip_sum * decay + round_trip;
        self.summed_at = now;
    }

    /// Seconds after which an acknowledgement is late: at most `max`, but never below [`MIN_ACK_TIMEOUT`].
    pub fn ack_timeout(&self, max: Seconds) -> Seconds {
        let mean = if self.round_trips > 0.0 { self.round_trip_sum / self.round_trips } else { 0.0 };
        (mean * ACK_TIMEOUT_MULTIPLE).clamp(MIN_ACK_TIMEOUT, max.max(MIN_ACK_TIMEOUT))
    }

    /// Records the outcome of a probe and updates the score. `failed`: the acknowledgement was late or missing.
    pub fn record_outcome(&mut self, now: Seconds, failed: bool) {
        let elapsed = (now - self.scored_at).max(0.0);
        self.scored_at = now;
        self.failure_fraction +=
            (f64::from(u8::from(failed)) - self.failure_fraction) / FAILURE_WINDOW_PROBES;
        self.score = if self.failure_fraction > MAX_FAILURE_FRACTION {
            MAX_SCORE
        } else {
            (self.score - elapsed * SCORE_RECOVERY_PER_SECOND).max(0.0)
        };
    }

    /// Forgets failures. Used when a member returns: its absence has already been handled by the suspicion.
    pub fn reset(&mut self) {
        self.score = 0.0;
        self.failure_fraction = 0.0;
    }
}
