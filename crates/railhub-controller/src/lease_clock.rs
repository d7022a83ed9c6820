//! The clock by which leases expire.
use railhub_net::now;

/// A clock that tests can make run fast or slow, or jump once. It is used only for leases, the membership and writes
/// under leases.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseClock {
    /// Seconds of this clock per second of the machine's clock.
    pub speed: f64,
    /// Seconds from the start until the clock jumps.
    pub jumps_after: f64,
    /// Seconds by which the clock jumps; 0 for no jump.
    pub jumps_by: f64,
    /// Time of the machine's clock at the start.
    pub started_at: f64,
}

impl LeaseClock {
    /// The time on this clock, in seconds.
    pub fn now(&self) -> f64 {
        let elapsed = now() - self.started_at;
        let jump = if elapsed >= self.jumps_after { self.jumps_by } else { 0.0 };
        self.started_at + elapsed * self.speed + jump
    }
}
