//! Lets the other coroutines run while a peer sends without pause. This is needed because a read that finds bytes does
//! not yield, and there is only one worker thread.
use railhub::Seconds;
use railhub_net::{now, seconds};

/// Seconds that the relay, discovery or a collector may be read without a pause.
pub const KNOWN_PEER_MAX_READ_TIME: Seconds = 0.004;
/// Seconds that a peer that has not joined may be read without a pause: short, as many such peers may send at once.
pub const UNIDENTIFIED_PEER_MAX_READ_TIME: Seconds = 0.000_25;
/// Length of a pause in seconds. Yielding alone would not make the worker poll its sockets.
const READ_PAUSE: Seconds = 0.001;

/// Limits how long a connection is read without a pause.
pub struct ReadLimiter {
    started_at: Seconds,
    limit: Seconds,
}

impl ReadLimiter {
    /// A limiter that allows `limit` seconds of reading between two pauses.
    pub fn start(limit: Seconds) -> ReadLimiter {
        ReadLimiter { started_at: now(), limit }
    }

    /// Pauses the coroutine if it has read for longer than the limit. To be called after each read or line.
    pub fn pause_if_due(&mut self) {
        if now() - self.started_at > self.limit {
            may::coroutine::sleep(seconds(READ_PAUSE));
            self.started_at = now();
        }
    }
}
