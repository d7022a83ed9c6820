//! Options of a view run, apart from its faults.
use railhub_membership::safeguard::Safeguard;

/// Number of members whose addresses each process has in its settings, to join the cluster through. With three, at least
/// one of any two members that cannot reach each other knows a third one to join through.
pub const SEED_MEMBERS: u16 = 3;

/// Options of a view run, apart from its faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// The safeguard of the membership protocol that is disabled.
    pub without: Option<Safeguard>,
    /// Seconds after which a member that is gone is forgotten; 0 for the default of the program.
    pub forget_after: f64,
    /// Whether members use the baseline protocol, heartbeats to all with a fixed timeout, instead of SWIM.
    pub uses_heartbeats: bool,
}
