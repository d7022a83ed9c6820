//! Lets the other coroutines run while a peer sends without pause: reads that find bytes never wait, and there is one
//! worker.
use railhub::Seconds;
use railhub_net::{now, seconds};

/// Seconds of reading after which others run, of the relay, discovery or a collector.
pub const KNOWN_PEER_MAX_READ_TIME: Seconds = 0.004;
/// Seconds of reading after which others run, of a peer that has not joined: many of those may send at once.
pub const UNIDENTIFIED_PEER_MAX_READ_TIME: Seconds = 0.000_25;
/// Seconds that others run. Yielding alone would not let the worker look at its sockets.
const READ_PAUSE: Seconds = 0.001;

/// How long one connection has been read without a pause.
pub struct ReadLimiter {
    started_at: Seconds,
    limit: Seconds,
}

impl ReadLimiter {
    /// Starts a stretch of reading of at most `limit` seconds.
    pub fn start(limit: Seconds) -> ReadLimiter {
        ReadLimiter { started_at: now(), limit }
    }

    /// Pauses the coroutine if the limit has passed. To be called after each read or line.
    pub fn pause_if_due(&mut self) {
        if now() - self.started_at > self.limit {
            may::coroutine::sleep(seconds(READ_PAUSE));
            self.started_at = now();
        }
    }
}
