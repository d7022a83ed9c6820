//! A token bucket for the messages of one proxy. Does no I/O and reads no clock.
use railhub::Seconds;

/// Messages per second that a proxy may send on average: a load report each second and a response to each delta, with
/// a margin for delayed messages that arrive together.
const MESSAGES_PER_SECOND: f64 = 50.0;
/// Messages that a proxy may send in one burst.
const MAX_MESSAGE_BURST: f64 = 500.0;

/// Limits the messages of one proxy.
pub struct MessageRateLimiter {
    tokens: f64,
    refilled_at: Seconds,
}

impl MessageRateLimiter {
    /// Creates a full bucket.
    pub fn new(now: Seconds) -> MessageRateLimiter {
        MessageRateLimiter { tokens: MAX_MESSAGE_BURST, refilled_at: now }
    }

    /// Counts a message and returns whether it is within the limit.
    pub fn allow(&mut self, now: Seconds) -> bool {
        let earned = (now - self.refilled_at).max(0.0) * MESSAGES_PER_SECOND;
        self.tokens = (self.tokens + earned).min(MAX_MESSAGE_BURST) - 1.0;
        self.refilled_at = now;
        self.tokens >= 0.0
    }
}

#[cfg(test)]
mod tests;
