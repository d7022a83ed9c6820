//! How long a peer that took a connection may leave it unanswered.
use railhub::Seconds;

/// A time-out that doubles with each connection that it ended, up to a limit: a peer that is slow, but not away, is
/// heard at last.
pub struct ConnectBackoff {
    first: Seconds,
    longest: Seconds,
    current: Seconds,
}

impl ConnectBackoff {
    pub fn new(first: Seconds, longest: Seconds) -> ConnectBackoff {
        ConnectBackoff { first, longest, current: first }
    }

    pub fn span(&self) -> Seconds {
        self.current
    }

    /// A connection timed out before its first answer.
    pub fn lengthen(&mut self) {
        self.current = (2.0 * self.current).min(self.longest);
    }

    /// The peer answered.
    pub fn reset(&mut self) {
        self.current = self.first;
    }
}
