//! How well one member answers probes. A slow member acknowledges, only late, so no suspicion of it ends in its death:
//! late and missing acknowledgements are scored as hosts are (up at once, down step by step).
use crate::Seconds;

/// The time after which a direct probe is repeated through others, in multiples of the mean round trip.
const ACK_TIMEOUT_MULTIPLE: f64 = 8.0;
/// The shortest such time in seconds. A round trip takes a millisecond in one machine room, some ten to a busy node.
pub const MIN_ACK_TIMEOUT: Seconds = 0.08;
/// Seconds after which a round trip counts for 1/e in the mean.
const ROUND_TRIP_DECAY_TIME: Seconds = 10.0;
/// Score of a member that answers badly.
const MAX_SCORE: f64 = 100.0;
/// Points that the score falls in a second while the member answers well.
const SCORE_RECOVERY_PER_SECOND: f64 = 8.0;
/// How far a score must stand above the next one to make its member the outlier.
pub const OUTLIER_SCORE_GAP: f64 = 30.0;
/// Share of late or missing acknowledgements above which a member answers badly.
const MAX_FAILURE_FRACTION: f64 = 0.3;
/// Probes over which that share decays, so that one lost message does not make a slow member.
const FAILURE_WINDOW_PROBES: f64 = 6.0;

/// Round trips of the probes of one member, and the score that follows from them.
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
    /// The score of a member that is watched from `now` on.
    pub fn new(now: Seconds) -> ProbeScore {
        ProbeScore { scored_at: now, ..ProbeScore::default() }
    }

    /// 0 for a member that answers well, 100 for one that answers badly.
    pub fn score(&self) -> f64 {
        self.score
    }

    /// Counts an acknowledgement that came after `round_trip` seconds.
    pub fn record_round_trip(&mut self, now: Seconds, round_trip: Seconds) {
        let decay = (-(now - self.summed_at).max(0.0) / ROUND_TRIP_DECAY_TIME).exp();
        self.round_trips = self.round_trips * decay + 1.0;
        self.round_trip_sum = self.round_trip_sum * decay + round_trip;
        self.summed_at = now;
    }

    /// Seconds after which an acknowledgement is late: `max` at most, but never below [`MIN_ACK_TIMEOUT`].
    pub fn ack_timeout(&self, max: Seconds) -> Seconds {
        let mean = if self.round_trips > 0.0 { self.round_trip_sum / self.round_trips } else { 0.0 };
        (mean * ACK_TIMEOUT_MULTIPLE).clamp(MIN_ACK_TIMEOUT, max.max(MIN_ACK_TIMEOUT))
    }

    /// Counts a probe that ended in time, or late or not at all (`failed`), and updates the score.
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

    /// Forgets failures: the member was away, and that has had its consequences already.
    pub fn reset(&mut self) {
        self.score = 0.0;
        self.failure_fraction = 0.0;
    }
}
