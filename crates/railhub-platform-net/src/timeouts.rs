//! Time-outs for establishing a connection, and for the first answer of a slow peer on it.
use railhub::Seconds;

/// Seconds that establishing a connection to the relay or to discovery may take: both are on a nearby network, and
/// another attempt follows.
pub const CONNECT_TIMEOUT: Seconds = 0.5;

/// A time-out for the first answer on a connection. It is doubled each time it expires, up to a maximum, so that a peer
/// that is slow but available can eventually answer.
pub struct AdaptiveTimeout {
    initial: Seconds,
    max: Seconds,
    current: Seconds,
}

impl AdaptiveTimeout {
    /// A time-out that starts at `initial` seconds and grows to at most `max` seconds.
    pub fn new(initial: Seconds, max: Seconds) -> AdaptiveTimeout {
        AdaptiveTimeout { initial, max, current: initial }
    }

    /// The current time-out in seconds, for the next connection.
    pub fn current(&self) -> Seconds {
        self.current
    }

    /// Doubles the time-out, up to the maximum, after it has expired.
    pub fn double(&mut self) {
        self.current = (2.0 * self.current).min(self.max);
    }

    /// Resets the time-out after an answer.
    pub fn reset(&mut self) {
        self.current = self.initial;
    }
}
