//! How well a steward answers. A slow one answers, only late, so suspicion never gets to its end: late and missing
//! answers are scored as the project scores hosts (up at once, down step by step).
use crate::Seconds;

/// Times the usual time of an answer, and seconds at the least, after which a direct probe is asked for through
/// others. Loopback and one machine room answer in a millisecond, a busy steward in some ten.
const LATE_TIMES: f64 = 8.0;
pub const LATE_LEAST: Seconds = 0.08;
/// Seconds after which an answer time counts for 1/e in the usual one.
const MEMORY: Seconds = 10.0;
/// Score of one that does badly at once, steps down a second while it does well, and how far it must stand above
/// the next to be named: the design's figures for hosts.
const SCORE_MOST: f64 = 100.0;
const SCORE_FALLS: f64 = 8.0;
pub const GAP: f64 = 30.0;
/// Share of probes that end late or not at all from which on one does badly.
const BADLY: f64 = 0.3;
/// Probes that this share is taken over: decaying, so that one lost message does not make a slow steward.
const PROBES: f64 = 6.0;

/// How a steward answers our probes: decaying sums of times, the share that went badly, the score it drives.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeScore {
    count: f64,
    time: f64,
    at: Seconds,
    badly: f64,
    pub score: f64,
    scored_at: Seconds,
}

impl ProbeScore {
    pub fn since(now: Seconds) -> ProbeScore {
        ProbeScore { scored_at: now, ..ProbeScore::default() }
    }

    /// One came after `time` seconds.
    pub fn add(&mut self, now: Seconds, time: Seconds) {
        let left = (-(now - self.at).max(0.0) / MEMORY).exp();
        (self.count, self.time, self.at) = (self.count * left + 1.0, self.time * left + time, now);
    }

    /// Seconds after which an answer is late; `most` at the most.
    pub fn ack_timeout(&self, most: Seconds) -> Seconds {
        let mean = if self.count > 0.0 { self.time / self.count } else { 0.0 };
        (mean * LATE_TIMES).clamp(LATE_LEAST, most.max(LATE_LEAST))
    }

    /// Up at once for one that does badly, down step by step while it does well.
    pub fn judge(&mut self, now: Seconds, badly: bool) {
        let passed = (now - std::mem::replace(&mut self.scored_at, now)).max(0.0);
        self.badly += (f64::from(u8::from(badly)) - self.badly) / PROBES;
        self.score = match self.badly > BADLY {
            true => SCORE_MOST,
            false => (self.score - passed * SCORE_FALLS).max(0.0),
        };
    }

    /// It was away, which has been held against it already.
    pub fn reset(&mut self) {
        (self.score, self.badly) = (0.0, 0.0);
    }
}
