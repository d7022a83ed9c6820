//! How long to wait for a connection, and for a slow peer's first answer on it.
use railhub::Seconds;

/// Seconds a connection to the relay or to discovery may take to come up: both are on a near network, and another
/// attempt follows.
pub const CONNECT_TIMEOUT: Seconds = 0.5;

/// A time-out for the first answer on a connection. It doubles with each connection that it ended, up to a maximum, so
/// that a peer that is slow, but not away, answers at last.
pub struct AdaptiveTimeout {
    initial: Seconds,
    max: Seconds,
    current: Seconds,
}

impl AdaptiveTimeout {
    /// A time-out that starts at `initial` seconds and is `max` seconds at most.
    pub fn new(initial: Seconds, max: Seconds) -> AdaptiveTimeout {
        AdaptiveTimeout { initial, max, current: initial }
    }

    /// Seconds to wait for the first answer on the next connection.
    pub fn current(&self) -> Seconds {
        self.current
    }

    /// A connection timed out before its first answer.
    pub fn double(&mut self) {
        self.current = (2.0 * self.current).min(self.max);
    }

    /// The peer answered.
    pub fn reset(&mut self) {
        self.current = self.initial;
    }
}
