//! Membership settings.
use crate::safeguard::Safeguard;
use crate::Seconds;
use std::net::SocketAddr;

/// Default of [`MembershipConfig::forget_after`], in seconds.
const DEFAULT_FORGET_AFTER: Seconds = 600.0;

/// Membership settings.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Addresses of other nodes, probed to join the cluster: often while no live member is known, seldom afterwards.
    pub seeds: Vec<SocketAddr>,
    /// Seconds after which a member that left or died is forgotten.
    pub forget_after: Seconds,
    /// A safeguard that a test disables.
    pub without: Option<Safeguard>,
}

impl Default for MembershipConfig {
    fn default() -> MembershipConfig {
        MembershipConfig { seeds: Vec::new(), forget_after: DEFAULT_FORGET_AFTER, without: None }
    }
}
