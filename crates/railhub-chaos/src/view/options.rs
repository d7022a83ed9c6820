//! How a run is played, apart from its faults.
use railhub_membership::safeguard::Safeguard;

/// Members whose addresses each process is given to join by. Of any two that are apart, one has a third to join by.
pub const SEED_MEMBERS: u16 = 3;

/// How a run is played, apart from its faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// The safeguard of the membership protocol that is left out.
    pub without: Option<Safeguard>,
    /// Seconds after which a member that is gone is forgotten; 0 is the default of the program.
    pub forget_after: f64,
    /// Whether members send heartbeats to all and have one fixed timeout, as a baseline, instead of SWIM.
    pub uses_heartbeats: bool,
}
