//! The clock that leases go by.
use railhub_net::now;

/// A clock that may run fast or slow, and jump once, for tests. Leases, membership and what is written under leases go
/// by it; nothing else in a controller does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseClock {
    /// Seconds of this clock in a second of the machine's.
    pub speed: f64,
    /// Seconds after the start at which the clock jumps.
    pub jumps_after: f64,
    /// Seconds by which it jumps; 0: it does not.
    pub jumps_by: f64,
    /// The machine's clock at the start.
    pub started_at: f64,
}

impl LeaseClock {
    /// Seconds on this clock.
    pub fn now(&self) -> f64 {
        let elapsed = now() - self.started_at;
        let jump = if elapsed >= self.jumps_after { self.jumps_by } else { 0.0 };
        self.started_at + elapsed * self.speed + jump
    }
}
