//! Faults that a scenario injects into a host.

/// Faults of a host; none by default.
#[derive(Clone, Debug)]
pub struct HostFaults {
    /// How many times longer work takes.
    pub slowdown: f64,
    /// It accepts connections and operations, and does nothing.
    pub hangs: bool,
    /// It fails every operation and health check.
    pub fails: bool,
    /// Fraction of the responses that is lost.
    pub response_loss: f64,
    /// It is paused until this time, in seconds.
    pub paused_until: f64,
    /// It fails health checks as draining.
    pub drains: bool,
}

impl Default for HostFaults {
    fn default() -> HostFaults {
        HostFaults {
            slowdown: 1.0,
            hangs: false,
            fails: false,
            response_loss: 0.0,
            paused_until: 0.0,
            drains: false,
        }
    }
}
