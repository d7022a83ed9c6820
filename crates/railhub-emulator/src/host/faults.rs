//! Faults that a scenario injects into a host.

/// Faults of a host. The default is a host without faults.
#[derive(Clone, Debug)]
pub struct HostFaults {
    /// Factor by which work takes longer.
    pub slowdown: f64,
    /// The host accepts connections and operations, but never executes or answers anything.
    pub hangs: bool,
    /// The host fails every operation and every health check.
    pub fails: bool,
    /// Fraction of the responses that are lost.
    pub response_loss: f64,
    /// Time until which the host is paused, in seconds.
    pub paused_until: f64,
    /// The host is draining: it fails health checks with status 503.
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
