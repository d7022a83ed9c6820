//! Settings of membership.
use crate::safeguard::Safeguard;
use crate::Seconds;
use std::net::SocketAddr;

/// Seconds after which a member that is gone is forgotten, unless the settings say otherwise.
const DEFAULT_FORGET_AFTER: Seconds = 600.0;

/// Settings of membership.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Addresses to join by, tried while no live member is known and now and then afterwards.
    pub seeds: Vec<SocketAddr>,
    /// Seconds after which a member that left or died is forgotten.
    pub forget_after: Seconds,
    /// A safeguard that a test leaves out.
    pub without: Option<Safeguard>,
}

impl Default for MembershipConfig {
    fn default() -> MembershipConfig {
        MembershipConfig { seeds: Vec::new(), forget_after: DEFAULT_FORGET_AFTER, without: None }
    }
}
